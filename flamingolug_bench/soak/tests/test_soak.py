"""The soak judges rightly and follows its seed; a short run is clean."""

import unittest
from collections.abc import Sequence
from typing import NamedTuple

from flamingolug import http1
from flamingolug_bench import soak
from flamingolug_bench.soak import _callers
from flamingolug_bench.soak import _faults
from flamingolug_bench.soak import _place
from flamingolug_bench.soak import _promises

#: Seed of the short run and its length, seconds.
_SEED, _SECONDS = 11, 6.0


def _record(status: int = 200, **changes: object) -> _callers.Record:
    record = _callers.Record("r1", "n0", 1, "pay", 10.0, 10.1, status)
    return record._replace(**changes)  # type: ignore[arg-type]


def _arrival(at: float = 10.0, ran: bool = True) -> _place.Arrival:
    req = http1.Request(
        b"POST", b"/pay/x", [(b"x-attempt-id", b"r1")], b"", True
    )
    arrival = _place.Arrival(at, "i-1", req)
    arrival.ran = ran
    return arrival


class Case(NamedTuple):
    """What a run left behind, and the promise that it breaks."""

    records: Sequence[_callers.Record] = ()
    ledger: Sequence[_place.Arrival] = ()
    leaves: Sequence[_faults.Leave] = ()
    stops: Sequence[_faults.Stop] = ()
    intervals: Sequence[_faults.Interval] = ()
    promise: str = ""


_STOP = _faults.Stop("n0", 1, 9.0, 12.0, 0)
_KILL = _faults.Interval("node-kill", "n0", 9.5, 9.6, False)
_CASES = {
    "served": Case([_record()], [_arrival()]),
    "another's answer": Case(
        [_record(own=False)], [_arrival()], promise="own-answer"
    ),
    "an answer without a run": Case([_record()], promise="own-answer"),
    "run twice": Case([_record()], [_arrival(), _arrival()], promise="once"),
    "refused and not run": Case([_record(503)], [_arrival(ran=False)]),
    "refused, but ran": Case([_record(503)], [_arrival()], promise="not-run"),
    "unknown, and ran": Case([_record(502)], [_arrival()]),
    "no answer in time": Case([_record(_callers.SILENT)], promise="answered"),
    "no answer beside a kill": Case(
        [_record(_callers.SILENT)], intervals=[_KILL]
    ),
    "work within the drain": Case(
        ledger=[_arrival(11.0)], leaves=[_faults.Leave("i-1", 9.5)]
    ),
    "work after the drain": Case(
        ledger=[_arrival(13.0)],
        leaves=[_faults.Leave("i-1", 9.5)],
        promise="drain",
    ),
    "cut off by a planned stop": Case(
        [_record(_callers.CUT)],
        [_arrival()],
        stops=[_STOP],
        promise="planned-stop",
    ),
    "cut off before it was read": Case([_record(_callers.CUT)], stops=[_STOP]),
    "cut off by a kill during the stop": Case(
        [_record(_callers.CUT)], [_arrival()], stops=[_STOP], intervals=[_KILL]
    ),
    "a stop that had to be forced": Case(
        stops=[_STOP._replace(code=-9)], promise="exit"
    ),
    "not recovered": Case(
        [_record(503, sent_at=40.0), _record(sent_at=40.0, request_id="r2")],
        [_arrival(ran=False)],
        promise="recovery",
    ),
}


class JudgeTest(unittest.TestCase):
    def test_each_broken_promise_is_seen_as_what_it_is(self) -> None:
        for name, case in _CASES.items():
            with self.subTest(name):
                tally = _faults.Tally()
                tally.intervals += case.intervals
                tally.leaves += case.leaves
                tally.stops += case.stops
                ledger = list(case.ledger)
                for record in case.records:
                    if record.request_id != "r1":
                        extra = _arrival()
                        extra.request_id = record.request_id
                        ledger.append(extra)
                broken = _promises.judge(
                    _promises.Seen(case.records, ledger, tally, 20.0)
                )
                self.assertEqual(
                    {each.promise for each in broken}, {case.promise} - {""}
                )


class PlanTest(unittest.TestCase):
    def test_the_schedule_follows_from_the_seed(self) -> None:
        self.assertEqual(_faults.plan(3, 20.0, 6), _faults.plan(3, 20.0, 6))
        self.assertNotEqual(_faults.plan(3, 20.0, 6), _faults.plan(4, 20.0, 6))

    def test_many_seeds_play_every_kind(self) -> None:
        played = {
            step.kind
            for seed in range(40)
            for step in _faults.plan(seed, 12.0, 6)
        }
        self.assertEqual(played, set(_faults.KINDS))


class SoakTest(unittest.TestCase):
    def test_a_short_run_breaks_no_promise(self) -> None:
        figures = soak.run(_SEED, soak.Plan(_SECONDS), quiet=True)
        self.assertEqual(figures["promises"], "-")
        self.assertNotEqual(figures["requests"], 0)
