"""Checks the invariants of a soak on what callers and upstreams observed.

Times `..._at` are seconds of `time.monotonic()`.
"""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from flamingolug_bench.soak import _faults
from flamingolug_bench.soak import _records
from flamingolug_bench.soak import _testbed

#: Seconds after the end of a fault from which time bounds apply again.
SETTLE_S = 3.0
#: A connection that a stopping node closes within this many seconds after the
#: request was sent may have been closed before the node read the request.
CLOSE_RACE_S = 0.2
#: Seconds after the end of the grace period in which a stop is still checked.
_STOP_MARGIN_S = 1.0
#: A request that was sent later than this after SIGTERM must not be accepted
#: if it may last longer than the grace period, seconds.
_LATE_REQUEST_S = 3.0
#: Last part of the grace period, in which requests still at work may be cut.
_FINAL_GRACE_RATIO = 5.0 / 6.0
#: Minimum fraction of the requests that must succeed after recovery.
MIN_RECOVERED_RATIO = 0.95
#: Seconds that the nodes have for recovery after the last fault has ended.
RECOVERY_S = 6.0
#: Statuses which guarantee that a request has not run and never will.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
#: Statuses of a node in the place of an answer; upstreams do not send them.
_OWN_FAILURE_STATUSES = (502, 504)
#: Maximum time from the gate to the upstream for a request, seconds.
_MAX_TRANSIT_S = 0.3


class Violation(NamedTuple):
    """One violation of an invariant."""

    #: Name of the invariant, as printed.
    invariant: str
    #: Identity of the request, upstream or instance concerned, or `all`.
    subject: str
    detail: str


class Observations(NamedTuple):
    """Everything that was recorded in a run."""

    records: Sequence[_records.RequestRecord]
    #: Requests that upstreams received, also those that they did not run.
    arrivals: Sequence[_testbed.Arrival]
    run_log: _faults.RunLog
    #: Time at which the last fault had ended.
    faults_ended_at: float


def find_violations(observed: Observations) -> list[Violation]:
    """Returns all violations of invariants."""
    run_counts: dict[str, int] = {}
    for arrival in observed.arrivals:
        if arrival.executed:
            run_counts[arrival.request_id] = (
                run_counts.get(arrival.request_id, 0) + 1
            )
    violations = _check_responses(observed, run_counts)
    violations += _check_run_counts(observed, run_counts)
    violations += _check_drains(observed)
    violations += _check_planned_stops(observed, run_counts)
    violations += _check_losses(observed)
    violations += _check_recovery(observed)
    return violations


def _check_responses(
    observed: Observations, run_counts: dict[str, int]
) -> list[Violation]:
    """Checks that responses are valid, in time and agree with the arrivals."""
    violations: list[Violation] = []
    for record in observed.records:
        if not record.valid:
            violations.append(
                Violation("own-answer", record.request_id, str(record.status))
            )
        if (
            record.status in _NOT_RUN_STATUSES
            and record.request_id in run_counts
        ):
            violations.append(
                Violation("not-run", record.request_id, f"ran, {record.status}")
            )
        if record.status == 200 and record.request_id not in run_counts:
            violations.append(
                Violation("own-answer", record.request_id, "never ran")
            )
        if record.status == _records.TIMED_OUT and not was_disrupted(
            observed.run_log,
            record.instance,
            record.sent_at - SETTLE_S,
            record.ended_at,
        ):
            violations.append(
                Violation("answered", record.request_id, "no answer in time")
            )
    return violations


def _check_run_counts(
    observed: Observations, run_counts: dict[str, int]
) -> list[Violation]:
    """Checks that no request ran more often than its kind permits."""
    violations: list[Violation] = []
    non_idempotent = {
        arrival.request_id
        for arrival in observed.arrivals
        if arrival.non_idempotent
    }
    for request_id, count in run_counts.items():
        limit = 1 if request_id in non_idempotent else _testbed.MAX_ATTEMPTS
        if count > limit:
            invariant = "once" if request_id in non_idempotent else "attempts"
            violations.append(Violation(invariant, request_id, f"{count} runs"))
    return violations


def _check_drains(observed: Observations) -> list[Violation]:
    """Checks that no request ran at an upstream after its drain period."""
    violations: list[Violation] = []
    for departure in observed.run_log.departures:
        last_allowed_at = (
            departure.acknowledged_at + _testbed.DRAIN_S + _MAX_TRANSIT_S
        )
        for arrival in observed.arrivals:
            if (
                arrival.upstream_id != departure.upstream_id
                or not arrival.executed
            ):
                continue
            if arrival.received_at > last_allowed_at:
                elapsed_s = arrival.received_at - departure.acknowledged_at
                violations.append(
                    Violation(
                        "drain",
                        departure.upstream_id,
                        f"after {elapsed_s:.2f} s from the acknowledgement",
                    )
                )
    return violations


def _check_planned_stops(
    observed: Observations, run_counts: dict[str, int]
) -> list[Violation]:
    """Checks that planned stops finish in time and interrupt no request."""
    violations: list[Violation] = []
    for stop in observed.run_log.stops:
        if was_disrupted(
            observed.run_log,
            stop.instance,
            stop.started_at - SETTLE_S,
            stop.ended_at,
        ):
            continue
        if stop.exit_code != 0:
            violations.append(
                Violation("exit", stop.instance, f"code {stop.exit_code}")
            )
        for record in observed.records:
            if (record.instance, record.start_count) != (
                stop.instance,
                stop.start_count,
            ):
                continue
            if (
                record.ended_at < stop.started_at
                or record.sent_at > stop.ended_at
            ):
                continue
            if record.status not in (_records.CLOSED_EARLY, _records.TIMED_OUT):
                continue
            if record.behind and record.request_id not in run_counts:
                # Such a request counts as not read.
                continue
            outside_close_race = _waited_s(record) > CLOSE_RACE_S
            if outside_close_race or record.request_id in run_counts:
                violations.append(
                    Violation("planned-stop", record.request_id, "cut off")
                )
    return violations


def _waited_s(record: _records.RequestRecord) -> float:
    """Returns for how long a connection was surely open after a request."""
    return record.ended_at - record.lag_s - record.sent_at


def _check_losses(observed: Observations) -> list[Violation]:
    """Checks that no accepted request is lost.

    A request is lost if its connection ends without a complete response after
    the request was passed on to an upstream or later than `CLOSE_RACE_S` after
    it was sent, or if a node that stops, at either end, answers in the place of
    an upstream that ran it.
    """
    arrivals: dict[str, list[_testbed.Arrival]] = {}
    for arrival in observed.arrivals:
        arrivals.setdefault(arrival.request_id, []).append(arrival)
    violations: list[Violation] = []
    for record in observed.records:
        own_arrivals = arrivals.get(record.request_id, [])
        loss = _describe_loss(observed.run_log, record, own_arrivals)
        if not loss or _is_loss_excused(observed.run_log, record, own_arrivals):
            continue
        elapsed_s = record.ended_at - record.sent_at
        nearest = _describe_planned_work(observed.run_log, record)
        violations.append(
            Violation(
                "lost",
                record.request_id,
                f"{loss} after {elapsed_s:.3f} s, {record.route} at"
                f" {record.instance}, {nearest}",
            )
        )
    return violations


def _describe_loss(
    run_log: _faults.RunLog,
    record: _records.RequestRecord,
    arrivals: Sequence[_testbed.Arrival],
) -> str:
    """Returns how a request was lost, empty if it was not."""
    if record.status in (_records.CLOSED_EARLY, _records.NOT_READ):
        if arrivals:
            return "partial answer" if record.partial else "passed on, cut"
        if record.behind:
            return ""
        return "read, cut" if _waited_s(record) > CLOSE_RACE_S else ""
    if record.status not in _OWN_FAILURE_STATUSES:
        return ""
    instances = {
        instance_of(arrival.upstream_id)
        for arrival in arrivals
        if arrival.executed
    }
    for stop in run_log.stops:
        is_entry = (stop.instance, stop.start_count) == (
            record.instance,
            record.start_count,
        )
        if not (instances and is_entry) and stop.instance not in instances:
            continue
        last_at = stop.started_at + _testbed.GRACE_S + _STOP_MARGIN_S
        if stop.started_at <= record.ended_at <= last_at:
            side = "entry" if is_entry else "gate"
            return f"ran, answered {record.status} by a stopping {side}"
    return ""


def _is_loss_excused(
    run_log: _faults.RunLog,
    record: _records.RequestRecord,
    arrivals: Sequence[_testbed.Arrival],
) -> bool:
    """Returns whether a request may end without the answer of its upstream."""
    if record.ended_at - record.sent_at >= record.budget_s:
        return True
    if any(arrival.broke_off for arrival in arrivals):
        return True
    involved = {record.instance} | {
        instance_of(arrival.upstream_id) for arrival in arrivals
    }
    if any(
        was_disrupted(run_log, name, record.sent_at - SETTLE_S, record.ended_at)
        for name in involved
    ):
        return True
    for stop in run_log.stops:
        if (stop.instance, stop.start_count) != (
            record.instance,
            record.start_count,
        ):
            continue
        if record.sent_at > stop.started_at + _LATE_REQUEST_S:
            continue
        final_at = stop.started_at + _testbed.GRACE_S * _FINAL_GRACE_RATIO
        if record.ended_at >= final_at and any(
            arrival.finished_at is None or arrival.finished_at >= final_at
            for arrival in arrivals
        ):
            return True
    return False


def _describe_planned_work(
    run_log: _faults.RunLog, record: _records.RequestRecord
) -> str:
    """Returns the planned operations near the end of a request."""
    parts = [
        f"{stop.instance} SIGTERM {record.ended_at - stop.started_at:+.2f} s"
        for stop in run_log.stops
        if stop.started_at <= record.ended_at <= stop.ended_at + _STOP_MARGIN_S
    ]
    parts += [
        f"{interval.instance} {interval.fault_type}"
        for interval in run_log.intervals
        if interval.planned
        and interval.started_at <= record.ended_at
        and interval.ended_at >= record.sent_at
        and not interval.fault_type.startswith(("term", "node-term"))
    ]
    return "; ".join(parts) or "no planned work"


def instance_of(upstream_id: str) -> str:
    """Returns the name of the instance of an upstream."""
    return upstream_id.removeprefix("i-").rpartition("-")[0]


def _check_recovery(observed: Observations) -> list[Violation]:
    """Checks that enough requests succeed after the recovery time."""
    after_recovery = [
        record
        for record in observed.records
        if record.sent_at > observed.faults_ended_at + RECOVERY_S
    ]
    served = sum(record.status == 200 for record in after_recovery)
    if served >= MIN_RECOVERED_RATIO * len(after_recovery):
        return []
    failed = collections.Counter(
        f"{record.instance}/{record.route}/{record.status}"
        for record in after_recovery
        if record.status != 200
    )
    detail = " ".join(f"{key}:{count}" for key, count in failed.most_common(6))
    return [
        Violation(
            "recovery",
            "all",
            f"{served} of {len(after_recovery)} served, {detail}",
        )
    ]


def was_disrupted(
    run_log: _faults.RunLog, instance: str, begin: float, end: float
) -> bool:
    """Returns whether a fault affected an instance in a period.

    Planned operations do not count.
    """
    for interval in run_log.intervals:
        if interval.planned:
            continue
        if interval.instance not in (instance, _faults.ALL_INSTANCES):
            continue
        if interval.started_at <= end and interval.ended_at >= begin:
            return True
    return False
