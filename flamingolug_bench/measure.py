"""Figures of one run, computed from the callers' records."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from flamingolug import manifest
from flamingolug_bench import bound
from flamingolug_bench import load

#: Seconds over which recovery is judged.
RECOVERY_WINDOW_S = 1.0
RECOVERY_STEP_S = 0.1
#: Part of the share before the flood that counts as recovered.
RECOVERED = 0.99
_SLACK_S = 0.005


class Span(NamedTuple):
    """A part of a run, in seconds after its begin."""

    begin_s: float
    end_s: float

    def holds(self, record: load.Record) -> bool:
        """Returns whether a request arrived in this span."""
        return self.begin_s <= record.arrived_s < self.end_s


class Timeline(NamedTuple):
    """The three parts of a scene."""

    calm: Span
    flood: Span
    after: Span


def is_whole(record: load.Record, found: manifest.Manifest) -> bool:
    """Returns whether a request got its whole answer in time."""
    deadline_s = found.kinds[record.kind].deadline_ms / 1000.0
    return (
        record.outcome == "answered"
        and record.status == 200
        and record.own
        and record.took_s <= deadline_s + _SLACK_S
    )


def worth_of(records: Iterable[load.Record], found: manifest.Manifest) -> float:
    """Returns the worth of the whole answers."""
    return sum(
        found.kinds[each.kind].worth
        for each in records
        if is_whole(each, found)
    )


def count_kinds(records: Iterable[load.Record]) -> dict[str, int]:
    """Returns the number of requests by kind."""
    counts: dict[str, int] = {}
    for each in records:
        counts[each.kind] = counts.get(each.kind, 0) + 1
    return counts


def share_whole(
    records: Sequence[load.Record], found: manifest.Manifest
) -> float:
    """Returns the part of requests with a whole answer, 1 for none."""
    if not records:
        return 1.0
    return sum(is_whole(each, found) for each in records) / len(records)


def worth_share(
    records: Sequence[load.Record], found: manifest.Manifest
) -> float:
    """Returns the part of the offered worth that was served."""
    offered = sum(found.kinds[each.kind].worth for each in records)
    if offered == 0.0:
        return 1.0
    return worth_of(records, found) / offered


def goodput_of_bound(
    records: Sequence[load.Record],
    found: manifest.Manifest,
    slots: Mapping[str, int],
    span: Span,
) -> float:
    """Returns the served worth over what was possible in a span."""
    within = [each for each in records if span.holds(each)]
    best = bound.best_outcome(
        found, slots, count_kinds(within), span.end_s - span.begin_s
    )
    if best.worth == 0.0:
        return 1.0
    return worth_of(within, found) / best.worth


def recovery_s(
    records: Sequence[load.Record], found: manifest.Manifest, line: Timeline
) -> float:
    """Returns the seconds from the flood's end until service is as before.

    It is the first moment after which a window of one second serves the share
    of its worth that was served before the flood, less one part in a hundred.
    """
    before = worth_share(
        [each for each in records if line.calm.holds(each)], found
    )
    start = line.after.begin_s
    while start + RECOVERY_WINDOW_S <= line.after.end_s:
        span = Span(start, start + RECOVERY_WINDOW_S)
        within = [each for each in records if span.holds(each)]
        if worth_share(within, found) >= RECOVERED * before:
            return start - line.after.begin_s
        start += RECOVERY_STEP_S
    return line.after.end_s - line.after.begin_s


def rank_shares(
    records: Sequence[load.Record], found: manifest.Manifest
) -> dict[int, float]:
    """Returns the part of whole requests by urgency rank."""
    ranks: dict[int, list[load.Record]] = {}
    for each in records:
        ranks.setdefault(found.kinds[each.kind].rank, []).append(each)
    return {rank: share_whole(ranks[rank], found) for rank in sorted(ranks)}


def percentile(values: Sequence[float], part: float) -> float:
    """Returns the value below which `part` of the values lie."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)]
