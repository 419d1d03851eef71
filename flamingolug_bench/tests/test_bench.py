"""The bench judges rightly, and a short run under faults comes out clean."""

import unittest

from flamingolug_bench import bound
from flamingolug_bench import faults
from flamingolug_bench import flood
from flamingolug_bench import load
from flamingolug_bench import measure
from flamingolug_standins import backend

_FOUND = flood.load_manifest(flood.KYPARISSI)
_KIND = "confirm-shipment"


def _record(**changes: object) -> load.Record:
    record = load.Record(
        kind=_KIND,
        caller="c",
        arrived_s=0.0,
        took_s=0.1,
        outcome="answered",
        status=200,
        reason="",
        attempts=1,
        attempts_max=1,
        tries=1,
        key="key",
        own=True,
        size=1,
        all_not_run=False,
    )
    for name, value in changes.items():
        setattr(record, name, value)
    return record


def _ran(completed: bool = True, disowned: bool = False) -> backend.LedgerEntry:
    return backend.LedgerEntry("root", "key", _KIND, completed, disowned)


_CASES: dict[str, tuple[load.Record, list[backend.LedgerEntry], str | None]] = {
    "answered and run once": (_record(), [_ran()], None),
    "run twice": (_record(), [_ran(), _ran()], "doubled"),
    "disowned by the backend server, then run": (
        _record(),
        [_ran(completed=False, disowned=True), _ran()],
        None,
    ),
    "cut off, then run": (
        _record(),
        [_ran(completed=False), _ran()],
        "doubled",
    ),
    "another's answer": (_record(own=False), [_ran()], "wrong"),
    "answered but not run": (_record(), [], "lost"),
    "told not run, and was not": (_record(outcome="not-run"), [], None),
    "told not run, but was": (
        _record(outcome="not-run"),
        [_ran(completed=False)],
        "false_not_run",
    ),
    "unknown": (_record(outcome="unknown"), [_ran()], "unknown"),
}


class JudgeTest(unittest.TestCase):
    def test_each_fault_is_seen_as_what_it_is(self) -> None:
        for name, (record, ledger, expected) in _CASES.items():
            with self.subTest(name):
                verdicts = faults.judge(_FOUND, [record], ledger)._asdict()
                seen = {
                    key
                    for key in ("doubled", "wrong", "lost", "false_not_run")
                    if verdicts[key]
                }
                seen |= {"unknown"} if verdicts["unknown"] else set()
                self.assertEqual(seen, {expected} - {None})


class BoundTest(unittest.TestCase):
    def test_the_more_urgent_is_served_first(self) -> None:
        slots = {"shopfront": 1, "orders": 1, "archive": 1, "library": 1}
        best = bound.best_outcome(
            _FOUND, slots, {"renew-box": 1_000, "browse-scents": 1_000}, 8.0
        )
        self.assertAlmostEqual(best.served["renew-box"], 100.0)
        self.assertAlmostEqual(best.served["browse-scents"], 0.0)

    def test_recovery_is_when_service_is_as_before(self) -> None:
        line = measure.Timeline(
            measure.Span(0.0, 1.0),
            measure.Span(1.0, 2.0),
            measure.Span(2.0, 6.0),
        )
        records = [
            _record(
                arrived_s=step / 100.0,
                status=503 if 100 <= step < 300 else 200,
            )
            for step in range(600)
        ]
        self.assertAlmostEqual(
            measure.recovery_s(records, _FOUND, line), 1.0, delta=0.11
        )


class FaultsTest(unittest.TestCase):
    def test_a_short_run_is_clean_by_the_ledgers(self) -> None:
        figures = faults.run(seed=1, duration_s=9.0)
        for name in ("doubled", "wrong", "lost", "false_not_run"):
            with self.subTest(name):
                self.assertEqual(figures[name], 0)
        self.assertNotEqual(figures["faults"], 0)
