"""Judges a soak by what callers, upstreams and the operator saw."""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from flamingolug_bench.soak import _callers
from flamingolug_bench.soak import _faults
from flamingolug_bench.soak import _place

#: Seconds without disruption after which bounds in time hold again.
TOUCH_S = 3.0
#: Seconds after which a caller has been kept waiting for nothing.
LOST_S = 0.2
#: Part of the requests that must be served once all disruption has ended.
RECOVERED_SHARE = 0.95
#: Seconds for the recovery.
RECOVERY_S = 6.0
#: Statuses that promise that a request has not run and never will.
_NOT_RUN = (408, 421, 429, 503)
#: Seconds that a request may be on its way from the gate to the upstream.
_ON_ITS_WAY_S = 0.3


class Broken(NamedTuple):
    """One broken promise."""

    promise: str
    #: Request, upstream or instance that shows it.
    subject: str
    detail: str


class Seen(NamedTuple):
    """Everything that a run left behind."""

    records: Sequence[_callers.Record]
    ledger: Sequence[_place.Arrival]
    tally: _faults.Tally
    #: When the last disruption had ended.
    calm_at: float


def judge(seen: Seen) -> list[Broken]:
    """Returns every broken promise."""
    ran: dict[str, int] = {}
    for arrival in seen.ledger:
        if arrival.ran:
            ran[arrival.request_id] = ran.get(arrival.request_id, 0) + 1
    broken = _judge_answers(seen, ran)
    broken += _judge_runs(seen, ran)
    broken += _judge_leaves(seen)
    broken += _judge_stops(seen, ran)
    broken += _judge_recovery(seen)
    return broken


def _judge_answers(seen: Seen, ran: dict[str, int]) -> list[Broken]:
    broken: list[Broken] = []
    for record in seen.records:
        if not record.own:
            broken.append(
                Broken("own-answer", record.request_id, str(record.status))
            )
        if record.status in _NOT_RUN and record.request_id in ran:
            broken.append(
                Broken("not-run", record.request_id, f"ran, {record.status}")
            )
        if record.status == 200 and record.request_id not in ran:
            broken.append(Broken("own-answer", record.request_id, "never ran"))
        if record.status == _callers.SILENT and not was_disrupted(
            seen.tally,
            record.instance,
            record.sent_at - TOUCH_S,
            record.ended_at,
        ):
            broken.append(
                Broken("answered", record.request_id, "no answer in time")
            )
    return broken


def _judge_runs(seen: Seen, ran: dict[str, int]) -> list[Broken]:
    broken: list[Broken] = []
    unsafe = {each.request_id for each in seen.ledger if each.unsafe}
    for request_id, count in ran.items():
        most = 1 if request_id in unsafe else _place.MAX_ATTEMPTS
        if count > most:
            promise = "once" if request_id in unsafe else "attempts"
            broken.append(Broken(promise, request_id, f"{count} runs"))
    return broken


def _judge_leaves(seen: Seen) -> list[Broken]:
    broken: list[Broken] = []
    for leave in seen.tally.leaves:
        last = leave.at + _place.DRAIN_S + _ON_ITS_WAY_S
        for arrival in seen.ledger:
            if arrival.upstream_id != leave.upstream_id or not arrival.ran:
                continue
            if arrival.at > last:
                late_s = arrival.at - leave.at
                broken.append(
                    Broken("drain", leave.upstream_id, f"after {late_s:.2f} s")
                )
    return broken


def _judge_stops(seen: Seen, ran: dict[str, int]) -> list[Broken]:
    """Planned stops of nodes interrupt nothing and end in time."""
    broken: list[Broken] = []
    for stop in seen.tally.stops:
        if was_disrupted(
            seen.tally, stop.instance, stop.began - TOUCH_S, stop.ended
        ):
            continue
        if stop.code != 0:
            broken.append(Broken("exit", stop.instance, f"code {stop.code}"))
        for record in seen.records:
            if (record.instance, record.start) != (stop.instance, stop.start):
                continue
            if record.ended_at < stop.began or record.sent_at > stop.ended:
                continue
            if record.status not in (_callers.CUT, _callers.SILENT):
                continue
            held = record.ended_at - record.sent_at > LOST_S
            if held or record.request_id in ran:
                broken.append(
                    Broken("planned-stop", record.request_id, "cut off")
                )
    return broken


def _judge_recovery(seen: Seen) -> list[Broken]:
    later = [
        record
        for record in seen.records
        if record.sent_at > seen.calm_at + RECOVERY_S
    ]
    served = sum(record.status == 200 for record in later)
    if served >= RECOVERED_SHARE * len(later):
        return []
    failed = collections.Counter(
        f"{record.instance}/{record.route}/{record.status}"
        for record in later
        if record.status != 200
    )
    detail = " ".join(f"{key}:{count}" for key, count in failed.most_common(6))
    return [
        Broken("recovery", "all", f"{served} of {len(later)} served, {detail}")
    ]


def was_disrupted(
    tally: _faults.Tally, instance: str, since: float, until: float
) -> bool:
    """Returns whether unplanned disruption concerns an instance in a span."""
    for interval in tally.intervals:
        if interval.planned:
            continue
        if interval.where not in (instance, _faults.EVERYWHERE):
            continue
        if interval.began <= until and interval.ended >= since:
            return True
    return False
