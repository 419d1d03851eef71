"""Tests of outcome verification, the figures and a short fault run."""

import unittest

from flamingolug_bench import bound
from flamingolug_bench import faults
from flamingolug_bench import flood
from flamingolug_bench import load
from flamingolug_bench import measure
from flamingolug_standins import backend

_MANIFEST = flood.load_manifest(flood.KYPARISSI)
_KIND = "confirm-shipment"


def _record(**changes: object) -> load.Record:
    record = load.Record(
        kind=_KIND,
        caller="c",
        scheduled_s=0.0,
        took_s=0.1,
        outcome="answered",
        status=200,
        reason="",
        attempts=1,
        attempts_max=1,
        tries=1,
        key="key",
        is_own_response=True,
        size=1,
        all_not_run=False,
    )
    for name, value in changes.items():
        setattr(record, name, value)
    return record


def _ledger_entry(
    completed: bool = True, disowned: bool = False
) -> backend.LedgerEntry:
    return backend.LedgerEntry("root", "key", _KIND, completed, disowned)


_CASES: dict[str, tuple[load.Record, list[backend.LedgerEntry], str | None]] = {
    "answered and executed once": (_record(), [_ledger_entry()], None),
    "executed twice": (
        _record(),
        [_ledger_entry(), _ledger_entry()],
        "doubled",
    ),
    "disowned by the backend server, then executed": (
        _record(),
        [_ledger_entry(completed=False, disowned=True), _ledger_entry()],
        None,
    ),
    "interrupted, then executed": (
        _record(),
        [_ledger_entry(completed=False), _ledger_entry()],
        "doubled",
    ),
    "response to another request": (
        _record(is_own_response=False),
        [_ledger_entry()],
        "wrong",
    ),
    "answered but not executed": (_record(), [], "lost"),
    "reported as not run and not executed": (
        _record(outcome="not-run"),
        [],
        None,
    ),
    "reported as not run but executed": (
        _record(outcome="not-run"),
        [_ledger_entry(completed=False)],
        "false_not_run",
    ),
    "reported as unknown": (
        _record(outcome="unknown"),
        [_ledger_entry()],
        "unknown",
    ),
}


class VerifyOutcomesTest(unittest.TestCase):
    def test_outcomes_are_classified_by_the_ledger(self) -> None:
        for name, (record, ledger, expected) in _CASES.items():
            with self.subTest(name):
                counts = faults.verify_outcomes(
                    _MANIFEST, [record], ledger
                )._asdict()
                reported = {
                    key
                    for key in ("doubled", "wrong", "lost", "false_not_run")
                    if counts[key]
                }
                reported |= {"unknown"} if counts["unknown"] else set()
                self.assertEqual(reported, {expected} - {None})


class FiguresTest(unittest.TestCase):
    def test_more_urgent_kind_takes_all_slot_time(self) -> None:
        slots = {"shopfront": 1, "orders": 1, "archive": 1, "library": 1}
        upper_bound = bound.compute_upper_bound(
            _MANIFEST, slots, {"renew-box": 1_000, "browse-scents": 1_000}, 8.0
        )
        # A request of renew-box holds the only slot of shopfront for 80 ms.
        self.assertAlmostEqual(upper_bound.served["renew-box"], 100.0)
        self.assertAlmostEqual(upper_bound.served["browse-scents"], 0.0)

    def test_recovery_is_measured_from_the_end_of_the_flood(self) -> None:
        timeline = measure.Timeline(
            measure.Span(0.0, 1.0),
            measure.Span(1.0, 2.0),
            measure.Span(2.0, 6.0),
        )
        records = [
            _record(
                scheduled_s=step / 100.0,
                status=503 if 100 <= step < 300 else 200,
            )
            for step in range(600)
        ]
        self.assertAlmostEqual(
            measure.recovery_s(records, _MANIFEST, timeline), 1.0, delta=0.11
        )


class FaultsTest(unittest.TestCase):
    def test_a_short_run_is_clean_by_the_ledgers(self) -> None:
        figures = faults.run(seed=1, duration_s=9.0)
        for name in ("doubled", "wrong", "lost", "false_not_run"):
            with self.subTest(name):
                self.assertEqual(figures[name], 0)
        self.assertNotEqual(figures["faults"], 0)
