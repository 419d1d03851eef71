"""Tests of the soak: its invariants, its schedule and a short run."""

import signal
import subprocess
import sys
import unittest
from collections.abc import Sequence
from typing import NamedTuple

from flamingolug import http1
from flamingolug_bench import soak
from flamingolug_bench.soak import _faults
from flamingolug_bench.soak import _invariants
from flamingolug_bench.soak import _records
from flamingolug_bench.soak import _testbed

#: Seed and duration in seconds of the short run.
_SEED, _DURATION_S = 11, 6.0
#: Seed and duration of a short run in which the store returns from copies.
_DRILL_SEED, _DRILL_DURATION_S = 5, 3.0
#: Seed of a short run with planned operations only.
_PLANNED_SEED, _PLANNED_DURATION_S = 3, 10.0
#: Duration of a run of nodes with a known defect, seconds.
_VARIANT_DURATION_S = 4.0


def _record(status: int = 200, **changes: object) -> _records.RequestRecord:
    record = _records.RequestRecord("r1", "n0", 1, "pay", 10.0, 10.1, status)
    return record._replace(**changes)  # type: ignore[arg-type]


def _arrival(
    received_at: float = 10.0,
    executed: bool = True,
    finished_at: float | None = None,
    broke_off: bool = False,
    upstream_id: str = "i-n1-1",
) -> _testbed.Arrival:
    req = http1.Request(
        b"POST", b"/pay/x", [(b"x-attempt-id", b"r1")], b"", True
    )
    arrival = _testbed.Arrival(received_at, upstream_id, req)
    arrival.executed = executed
    arrival.finished_at = finished_at
    arrival.broke_off = broke_off
    return arrival


class Case(NamedTuple):
    """Recorded observations, and the invariants that they violate."""

    records: Sequence[_records.RequestRecord] = ()
    arrivals: Sequence[_testbed.Arrival] = ()
    departures: Sequence[_faults.Departure] = ()
    stops: Sequence[_faults.NodeStop] = ()
    intervals: Sequence[_faults.FaultInterval] = ()
    invariant: str = ""
    #: Another invariant that the same observations violate.
    second_invariant: str = ""


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
        [_record(_records.TIMED_OUT)], invariant="answered"
    ),
    "no response in time during a kill": Case(
        [_record(_records.TIMED_OUT)], intervals=[_KILL]
    ),
    "request within the drain period": Case(
        arrivals=[_arrival(11.0)], departures=[_faults.Departure("i-n1-1", 9.5)]
    ),
    "request after the drain period": Case(
        arrivals=[_arrival(13.0)],
        departures=[_faults.Departure("i-n1-1", 9.5)],
        invariant="drain",
    ),
    "connection closed by a planned stop": Case(
        [_record(_records.CLOSED_EARLY)],
        [_arrival()],
        stops=[_PLANNED_STOP],
        invariant="planned-stop",
        second_invariant="lost",
    ),
    "connection closed before the request was read": Case(
        [_record(_records.CLOSED_EARLY)], stops=[_PLANNED_STOP]
    ),
    "connection closed by a kill during the stop": Case(
        [_record(_records.CLOSED_EARLY)],
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


def _cut(**changes: object) -> _records.RequestRecord:
    return _record(_records.CLOSED_EARLY, **changes)


def _fault(
    instance: str, started_at: float, ended_at: float, planned: bool = False
) -> _faults.FaultInterval:
    return _faults.FaultInterval(
        "node-pause", instance, started_at, ended_at, planned
    )


_GATE_STOP = _faults.NodeStop("n1", 1, 9.0, 12.0, 0)
#: A stop that takes as long as the grace period permits.
_LONG_STOP = _faults.NodeStop("n0", 1, 9.0, 15.0, 0)
#: Cases of the check for lost requests; the invariant is `lost` or none.
_LOSS_CASES = {
    "kept connection closed after the request was passed on": Case(
        [_cut()], [_arrival()], invariant="lost"
    ),
    "closed in the middle of the answer": Case(
        [_cut(partial=True)], [_arrival(finished_at=10.05)], invariant="lost"
    ),
    "crossed the close and was not passed on": Case([_cut()]),
    "closed late, not passed on": Case([_cut(ended_at=10.3)], invariant="lost"),
    "closed within the limit, observed late": Case(
        [_cut(ended_at=10.3, lag_s=0.15)]
    ),
    "passed on, refused by the upstream, then closed": Case(
        [_cut()], [_arrival(executed=False)], invariant="lost"
    ),
    "sent behind another, not passed on": Case(
        [_cut(behind=True, ended_at=10.9)]
    ),
    "sent behind another, passed on": Case(
        [_cut(behind=True)], [_arrival()], invariant="lost"
    ),
    "behind a closing answer, not passed on": Case(
        [_record(_records.NOT_READ, behind=True)]
    ),
    "behind a closing answer, passed on": Case(
        [_record(_records.NOT_READ, behind=True)],
        [_arrival()],
        invariant="lost",
    ),
    "given up by the caller": Case(
        [_record(_records.ABANDONED, behind=True)], [_arrival()]
    ),
    "time-out of the route reached": Case([_cut(ended_at=11.5)], [_arrival()]),
    "deadline of a nested call reached": Case(
        [_cut(ended_at=10.5, budget_s=0.5)], [_arrival()]
    ),
    "before the deadline of a nested call": Case(
        [_cut(ended_at=10.4, budget_s=0.5)], [_arrival()], invariant="lost"
    ),
    "upstream broke off": Case([_cut()], [_arrival(broke_off=True)]),
    "fault within the settling time": Case(
        [_cut()], [_arrival()], intervals=[_fault("n0", 6.5, 7.1)]
    ),
    "fault before the settling time": Case(
        [_cut()],
        [_arrival()],
        intervals=[_fault("n0", 6.5, 6.9)],
        invariant="lost",
    ),
    "fault after the request in the same stop": Case(
        [_cut()],
        [_arrival()],
        stops=[_PLANNED_STOP],
        intervals=[_fault("n0", 10.5, 10.6)],
        invariant="lost",
    ),
    "fault of an unrelated instance": Case(
        [_cut()],
        [_arrival()],
        intervals=[_fault("n2", 9.9, 10.2)],
        invariant="lost",
    ),
    "fault of the instance of the upstream": Case(
        [_cut()], [_arrival()], intervals=[_fault("n1", 9.9, 10.2)]
    ),
    "fault of the store": Case(
        [_cut()],
        [_arrival()],
        intervals=[_fault(_faults.ALL_INSTANCES, 9.9, 10.2)],
    ),
    "planned operation": Case(
        [_cut()],
        [_arrival()],
        intervals=[_fault("n0", 9.9, 10.2, planned=True)],
        invariant="lost",
    ),
    "own failure of a stopping node": Case(
        [_record(502)], [_arrival()], stops=[_PLANNED_STOP], invariant="lost"
    ),
    "own time-out of a stopping node before the time-out of the route": Case(
        [_record(504)], [_arrival()], stops=[_PLANNED_STOP], invariant="lost"
    ),
    "own failure of a stopping node, not run": Case(
        [_record(502)], [_arrival(executed=False)], stops=[_PLANNED_STOP]
    ),
    "own failure while the node next to the upstream stops": Case(
        [_record(502)], [_arrival()], stops=[_GATE_STOP], invariant="lost"
    ),
    "own failure of another process of the instance": Case(
        [_record(502, start_count=2)], [_arrival()], stops=[_PLANNED_STOP]
    ),
    "own failure without a stop": Case([_record(502)], [_arrival()]),
    "own failure at the time-out of the route": Case(
        [_record(504, ended_at=11.6)], [_arrival()], stops=[_PLANNED_STOP]
    ),
    "failure of the upstream during a stop": Case(
        [_record(500)], [_arrival()], stops=[_PLANNED_STOP]
    ),
    "upstream still at work in the last sixth of the grace period": Case(
        [_record(502, sent_at=12.0, ended_at=14.6, budget_s=9.0)],
        [_arrival(12.1)],
        stops=[_LONG_STOP],
    ),
    "upstream done before the last sixth of the grace period": Case(
        [_record(502, sent_at=12.0, ended_at=14.6, budget_s=9.0)],
        [_arrival(12.1, finished_at=13.9)],
        stops=[_LONG_STOP],
        invariant="lost",
    ),
    "cut before the last sixth of the grace period": Case(
        [_record(502, sent_at=12.0, ended_at=13.9, budget_s=9.0)],
        [_arrival(12.1)],
        stops=[_LONG_STOP],
        invariant="lost",
    ),
    "sent late and cut in the last sixth of the grace period": Case(
        [_record(502, sent_at=12.1, ended_at=14.6, budget_s=9.0)],
        [_arrival(12.2)],
        stops=[_LONG_STOP],
        invariant="lost",
    ),
}


def _find_violated(case: Case) -> set[str]:
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
        _invariants.Observations(case.records, arrivals, run_log, 20.0)
    )
    return {violation.invariant for violation in violations}


class FindViolationsTest(unittest.TestCase):
    def test_each_case_violates_only_the_stated_invariant(self) -> None:
        for name, case in _CASES.items():
            with self.subTest(name):
                self.assertEqual(
                    _find_violated(case),
                    {case.invariant, case.second_invariant} - {""},
                )

    # Guards against accepted requests that end without an answer (LOST).
    def test_lost_requests_are_found(self) -> None:
        for name, case in _LOSS_CASES.items():
            with self.subTest(name):
                # Cuts in a planned stop also violate `planned-stop`.
                self.assertEqual(
                    _find_violated(case) - {"planned-stop"},
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

    # Guards against faults that excuse every interrupted request of a run.
    def test_a_third_of_the_seeds_has_planned_operations_only(self) -> None:
        for seed in range(30):
            types = {
                scheduled.fault_type
                for scheduled in _faults.make_schedule(seed, 12.0, 6)
            }
            with self.subTest(seed=seed):
                self.assertEqual(
                    all(_faults.FAULT_TYPES[each].planned for each in types),
                    seed % 3 == 0,
                )
                if seed % 3 == 0:
                    self.assertLessEqual(
                        {"term-rolling", "configure-storm"}, types
                    )


class SignalsTest(unittest.TestCase):
    def _handles_signals(self, statements: str) -> bool:
        """Returns what the soak finds of a program that has begun with these.

        The program inherits the actions of this process.
        """
        program = f"import signal; {statements}; print(flush=True); input()"
        with subprocess.Popen(
            [sys.executable, "-c", program],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        ) as process:
            assert process.stdout is not None
            process.stdout.readline()
            handled = _testbed.handles_signals(process.pid)
            process.kill()
        return handled

    # Guards against signals to an interpreter that is still starting, which
    # end it.
    def test_actions_of_both_signals_are_replaced_in_a_running_node(
        self,
    ) -> None:
        # The caller of the tests may ignore SIGHUP, which is inherited.
        before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        hangup = "signal.signal(signal.SIGHUP, signal.SIG_IGN)"
        terminate = "signal.signal(signal.SIGTERM, print)"
        self.assertFalse(self._handles_signals(hangup))
        self.assertFalse(self._handles_signals(terminate))
        self.assertTrue(self._handles_signals(f"{hangup}; {terminate}"))

    # Guards against a soak that takes what nohup has set for the node's own.
    def test_inherited_action_is_no_sign_of_a_running_node(self) -> None:
        before = signal.signal(signal.SIGHUP, signal.SIG_IGN)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        self.assertFalse(self._handles_signals("pass"))


class SoakTest(unittest.TestCase):
    def test_short_run_violates_no_invariant(self) -> None:
        results = soak.run(_SEED, soak.SoakOptions(_DURATION_S), quiet=True)
        self.assertEqual(results["promises"], "-")
        self.assertNotEqual(results["requests"], 0)

    # Guards against departures, entries and configurations that are lost with
    # what the copy of the store does not have.
    def test_short_run_with_drills_violates_no_invariant(self) -> None:
        schedule = _faults.make_schedule(_DRILL_SEED, _DRILL_DURATION_S, 6)
        types = {each.fault_type for each in schedule}
        self.assertLessEqual({"store-drill", "departure-drill"}, types)
        results = soak.run(
            _DRILL_SEED, soak.SoakOptions(_DRILL_DURATION_S), quiet=True
        )
        self.assertEqual(results["promises"], "-")
        self.assertNotEqual(results["requests"], 0)

    # Guards against accepted requests that end without an answer around
    # overlapping stops, restarts, signals and configurations (LOST).
    def test_short_run_of_planned_operations_loses_no_request(self) -> None:
        results = soak.run(
            _PLANNED_SEED, soak.SoakOptions(_PLANNED_DURATION_S), quiet=True
        )
        self.assertEqual(results["promises"], "-")
        self.assertNotEqual(results["requests"], 0)

    # Guards against a soak that passes over requests lost by stops (LOST).
    def test_stop_that_cuts_requests_is_found(self) -> None:
        results = soak.run(
            _PLANNED_SEED,
            soak.SoakOptions(
                _VARIANT_DURATION_S,
                program=("flamingolug_bench.soak.variants", "stop-at-once"),
            ),
            quiet=True,
        )
        self.assertIn("lost", str(results["promises"]).split(","))
