"""Computes the figures of one run from the records of the callers."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import NamedTuple

from flamingolug import manifest
from flamingolug_bench import bound
from flamingolug_bench import load

#: Length of the sliding window for the recovery time, and its step.
RECOVERY_WINDOW_S = 1.0
RECOVERY_STEP_S = 0.1
#: The deployment counts as recovered once the served share of the offered worth
#: is at least this fraction of that share before the flood.
RECOVERED_RATIO = 0.99
#: Tolerance on the deadline when a request is checked for success.
_DEADLINE_TOLERANCE_S = 0.005


class Span(NamedTuple):
    """A part of a run, in seconds from the start of its schedule."""

    begin_s: float
    end_s: float

    def contains(self, record: load.Record) -> bool:
        """Returns whether a request was scheduled in this span."""
        return self.begin_s <= record.scheduled_s < self.end_s


class Timeline(NamedTuple):
    """The parts of a scene: before, during and after the flood."""

    steady: Span
    flood: Span
    recovery: Span


def is_successful(
    record: load.Record, deployed_manifest: manifest.Manifest
) -> bool:
    """Returns whether a request got its own response in time."""
    deadline_s = deployed_manifest.kinds[record.kind].deadline_ms / 1000.0
    return (
        record.outcome == "answered"
        and record.status == 200
        and record.is_own_response
        and record.took_s <= deadline_s + _DEADLINE_TOLERANCE_S
    )


def served_worth(
    records: Iterable[load.Record], deployed_manifest: manifest.Manifest
) -> float:
    """Returns the total worth of the successful requests."""
    return sum(
        deployed_manifest.kinds[each.kind].worth
        for each in records
        if is_successful(each, deployed_manifest)
    )


def count_by_kind(records: Iterable[load.Record]) -> dict[str, int]:
    """Returns the number of requests by kind."""
    counts: dict[str, int] = {}
    for each in records:
        counts[each.kind] = counts.get(each.kind, 0) + 1
    return counts


def success_ratio(
    records: Sequence[load.Record], deployed_manifest: manifest.Manifest
) -> float:
    """Returns the share of successful requests, 1 without requests."""
    if not records:
        return 1.0
    return sum(
        is_successful(each, deployed_manifest) for each in records
    ) / len(records)


def served_worth_ratio(
    records: Sequence[load.Record], deployed_manifest: manifest.Manifest
) -> float:
    """Returns the served share of the offered worth, 1 if none was offered."""
    offered = sum(deployed_manifest.kinds[each.kind].worth for each in records)
    if offered == 0.0:
        return 1.0
    return served_worth(records, deployed_manifest) / offered


def goodput_of_bound(
    records: Sequence[load.Record],
    deployed_manifest: manifest.Manifest,
    slots: Mapping[str, int],
    span: Span,
) -> float:
    """Returns the worth served in a span relative to its upper bound."""
    in_span = [each for each in records if span.contains(each)]
    upper_bound = bound.compute_upper_bound(
        deployed_manifest,
        slots,
        count_by_kind(in_span),
        span.end_s - span.begin_s,
    )
    if upper_bound.worth == 0.0:
        return 1.0
    return served_worth(in_span, deployed_manifest) / upper_bound.worth


def recovery_s(
    records: Sequence[load.Record],
    deployed_manifest: manifest.Manifest,
    timeline: Timeline,
) -> float:
    """Returns the seconds from the end of the flood until recovery.

    The deployment has recovered at the start of the first window of one second
    in which the served share of the offered worth reaches 99 % of the share
    before the flood. Without one, the result is the length of the part after
    the flood.
    """
    steady_ratio = served_worth_ratio(
        [each for each in records if timeline.steady.contains(each)],
        deployed_manifest,
    )
    start_s = timeline.recovery.begin_s
    while start_s + RECOVERY_WINDOW_S <= timeline.recovery.end_s:
        span = Span(start_s, start_s + RECOVERY_WINDOW_S)
        in_span = [each for each in records if span.contains(each)]
        if (
            served_worth_ratio(in_span, deployed_manifest)
            >= RECOVERED_RATIO * steady_ratio
        ):
            return start_s - timeline.recovery.begin_s
        start_s += RECOVERY_STEP_S
    return timeline.recovery.end_s - timeline.recovery.begin_s


def success_ratio_by_rank(
    records: Sequence[load.Record], deployed_manifest: manifest.Manifest
) -> dict[int, float]:
    """Returns the share of successful requests by urgency rank."""
    by_rank: dict[int, list[load.Record]] = {}
    for each in records:
        by_rank.setdefault(deployed_manifest.kinds[each.kind].rank, []).append(
            each
        )
    return {
        rank: success_ratio(by_rank[rank], deployed_manifest)
        for rank in sorted(by_rank)
    }


def percentile(values: Sequence[float], fraction: float) -> float:
    """Returns the value below which `fraction` of the values lie.

    Returns 0 without values.
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
