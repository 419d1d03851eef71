"""Checks the invariants of a soak on what callers and upstreams observed.

Times `..._at` are seconds of `time.monotonic()`.
"""

import collections
from collections.abc import Sequence
from typing import NamedTuple

from flamingolug_bench.soak import _callers
from flamingolug_bench.soak import _faults
from flamingolug_bench.soak import _testbed

#: Seconds after the end of a fault from which time bounds apply again.
SETTLE_S = 3.0
#: A connection that a stopping node closes within this many seconds after the
#: request was sent may have been closed before the node read the request.
CLOSE_RACE_S = 0.2
#: Minimum fraction of the requests that must succeed after recovery.
MIN_RECOVERED_RATIO = 0.95
#: Seconds that the nodes have for recovery after the last fault has ended.
RECOVERY_S = 6.0
#: Statuses which guarantee that a request has not run and never will.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
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

    records: Sequence[_callers.RequestRecord]
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
        if record.status == _callers.TIMED_OUT and not was_disrupted(
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
            if record.status not in (_callers.CLOSED_EARLY, _callers.TIMED_OUT):
                continue
            outside_close_race = record.ended_at - record.sent_at > CLOSE_RACE_S
            if outside_close_race or record.request_id in run_counts:
                violations.append(
                    Violation("planned-stop", record.request_id, "cut off")
                )
    return violations


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
