"""Tests of the soak: its invariants, its schedule and a short run."""

import unittest
from collections.abc import Sequence
from typing import NamedTuple

from flamingolug import http1
from flamingolug_bench import soak
from flamingolug_bench.soak import _callers
from flamingolug_bench.soak import _faults
from flamingolug_bench.soak import _invariants
from flamingolug_bench.soak import _testbed

#: Seed and duration in seconds of the short run.
_SEED, _DURATION_S = 11, 6.0


def _record(status: int = 200, **changes: object) -> _callers.RequestRecord:
    record = _callers.RequestRecord("r1", "n0", 1, "pay", 10.0, 10.1, status)
    return record._replace(**changes)  # type: ignore[arg-type]


def _arrival(
    received_at: float = 10.0, executed: bool = True
) -> _testbed.Arrival:
    req = http1.Request(
        b"POST", b"/pay/x", [(b"x-attempt-id", b"r1")], b"", True
    )
    arrival = _testbed.Arrival(received_at, "i-1", req)
    arrival.executed = executed
    return arrival


class Case(NamedTuple):
    """Recorded observations, and the invariant that they violate, if any."""

    records: Sequence[_callers.RequestRecord] = ()
    arrivals: Sequence[_testbed.Arrival] = ()
    departures: Sequence[_faults.Departure] = ()
    stops: Sequence[_faults.NodeStop] = ()
    intervals: Sequence[_faults.FaultInterval] = ()
    invariant: str = ""


_PLANNED_STOP = _faults.NodeStop("n0", 1, 9.0, 12.0, 0)
_KILL = _faults.FaultInterval("node-kill", "n0", 9.5, 9.6, False)
_CASES = {
    "served": Case([_record()], [_arrival()]),
    "response of another request": Case(
        [_record(valid=False)], [_arrival()], invariant="own-answer"
    ),
    "success without a run": Case([_record()], invariant="own-answer"),
    "non-idempotent request run twice": Case(
        [_record()], [_arrival(), _arrival()], invariant="once"
    ),
    "refused and not run": Case([_record(503)], [_arrival(executed=False)]),
    "refused, but ran": Case([_record(503)], [_arrival()], invariant="not-run"),
    "outcome unknown, and ran": Case([_record(502)], [_arrival()]),
    "no response in time": Case(
        [_record(_callers.TIMED_OUT)], invariant="answered"
    ),
    "no response in time during a kill": Case(
        [_record(_callers.TIMED_OUT)], intervals=[_KILL]
    ),
    "request within the drain period": Case(
        arrivals=[_arrival(11.0)], departures=[_faults.Departure("i-1", 9.5)]
    ),
    "request after the drain period": Case(
        arrivals=[_arrival(13.0)],
        departures=[_faults.Departure("i-1", 9.5)],
        invariant="drain",
    ),
    "connection closed by a planned stop": Case(
        [_record(_callers.CLOSED_EARLY)],
        [_arrival()],
        stops=[_PLANNED_STOP],
        invariant="planned-stop",
    ),
    "connection closed before the request was read": Case(
        [_record(_callers.CLOSED_EARLY)], stops=[_PLANNED_STOP]
    ),
    "connection closed by a kill during the stop": Case(
        [_record(_callers.CLOSED_EARLY)],
        [_arrival()],
        stops=[_PLANNED_STOP],
        intervals=[_KILL],
    ),
    "planned stop that ended by SIGKILL": Case(
        stops=[_PLANNED_STOP._replace(exit_code=-9)], invariant="exit"
    ),
    "not recovered": Case(
        [_record(503, sent_at=40.0), _record(sent_at=40.0, request_id="r2")],
        [_arrival(executed=False)],
        invariant="recovery",
    ),
}


class FindViolationsTest(unittest.TestCase):
    def test_each_case_violates_only_the_stated_invariant(self) -> None:
        for name, case in _CASES.items():
            with self.subTest(name):
                run_log = _faults.RunLog()
                run_log.intervals += case.intervals
                run_log.departures += case.departures
                run_log.stops += case.stops
                arrivals = list(case.arrivals)
                # Cases list only the arrivals of r1; all other requests ran.
                for record in case.records:
                    if record.request_id != "r1":
                        other = _arrival()
                        other.request_id = record.request_id
                        arrivals.append(other)
                violations = _invariants.find_violations(
                    _invariants.Observations(
                        case.records, arrivals, run_log, 20.0
                    )
                )
                self.assertEqual(
                    {violation.invariant for violation in violations},
                    {case.invariant} - {""},
                )


class ScheduleTest(unittest.TestCase):
    def test_schedules_are_equal_only_for_equal_seeds(self) -> None:
        self.assertEqual(
            _faults.make_schedule(3, 20.0, 6), _faults.make_schedule(3, 20.0, 6)
        )
        self.assertNotEqual(
            _faults.make_schedule(3, 20.0, 6), _faults.make_schedule(4, 20.0, 6)
        )

    def test_schedules_of_many_seeds_cover_all_fault_types(self) -> None:
        covered = {
            scheduled.fault_type
            for seed in range(40)
            for scheduled in _faults.make_schedule(seed, 12.0, 6)
        }
        self.assertEqual(covered, set(_faults.FAULT_TYPES))


class SoakTest(unittest.TestCase):
    def test_short_run_violates_no_invariant(self) -> None:
        results = soak.run(_SEED, soak.SoakOptions(_DURATION_S), quiet=True)
        self.assertEqual(results["promises"], "-")
        self.assertNotEqual(results["requests"], 0)
