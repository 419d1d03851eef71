"""Use of the load that backend servers report with their responses.

Pattern: reported load as a hint. It scales what the gate has measured, and a
backend server whose reports are wrong draws neither all calls nor none.
"""

import unittest
from typing import Any

from flamingolug.gateway import _server_load
from flamingolug.gateway import _slots
from flamingolug.gateway.tests import test_decisions

_DECLARED_SLOTS = 20


class LoadTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = test_decisions.Clock()
        self.tracker = _server_load.LoadTracker(self.clock.now, _DECLARED_SLOTS)

    def record(self, in_flight: int = 3, **changes: Any) -> str:
        """Records a report of three running requests, with changes."""
        load = _server_load.ServerLoad(3, 0, _DECLARED_SLOTS)
        return self.tracker.record(load._replace(**changes), in_flight)

    def record_for(
        self, duration_s: float, in_flight: int, **changes: Any
    ) -> None:
        """Records a report each 10 ms."""
        for _ in range(int(duration_s / 0.01)):
            self.clock.time_s += 0.01
            self.record(in_flight, **changes)

    def test_impossible_report_is_ignored(self) -> None:
        cases: dict[str, dict[str, Any]] = {
            "contradictory": {"running": _DECLARED_SLOTS + 1},
            "out-of-range": {"slowness": 0.0},
        }
        for reason, changes in cases.items():
            with self.subTest(reason):
                self.assertEqual(self.record(**changes), reason)
                self.assertEqual(self.tracker.slowness, 1.0)
                self.assertEqual(self.tracker.slots, _DECLARED_SLOTS)

    def test_old_reports_are_ignored(self) -> None:
        self.record_for(1.0, 9, slowness=4.0, slots=10)
        self.assertAlmostEqual(self.tracker.slowness, 4.0, 1)
        self.assertEqual(self.tracker.slots, 10)
        self.assertEqual(self.tracker.unaccounted, 6)
        self.clock.time_s += _server_load.MAX_AGE_S
        self.assertEqual(self.tracker.slowness, 1.0)
        self.assertEqual(self.tracker.slots, _DECLARED_SLOTS)
        self.assertEqual(self.tracker.unaccounted, 0)

    def test_reported_slots_lower_the_limit_within_bounds(self) -> None:
        for slots, expected in ((10, 10), (1, 5), (900, _DECLARED_SLOTS)):
            with self.subTest(slots=slots):
                self.record(running=1, slots=slots)
                self.assertEqual(self.tracker.slots, expected)

    def test_answers_that_are_not_read_yet_are_not_unaccounted(self) -> None:
        for step in range(100):
            self.clock.time_s += 0.01
            self.record(in_flight=3 if step % 5 == 0 else 6)
        self.assertEqual(self.tracker.unaccounted, 0)


class SlowMachineTest(unittest.TestCase):
    """Machine that other work slows down for half a second at a time."""

    def setUp(self) -> None:
        self.clock = test_decisions.Clock()
        self.tracker = _server_load.LoadTracker(self.clock.now, _DECLARED_SLOTS)
        self.slots = _slots.Slots(
            _DECLARED_SLOTS, self.clock.now, lambda: self.tracker.slowness
        )

    def run_calls(self, count: int, hold_s: float, slowness: float) -> None:
        """Runs calls one after the other, each with a report."""
        for _ in range(count):
            call = test_decisions.make_call(time_s=self.clock.time_s)
            ticket = _slots.Ticket(call)
            self.assertTrue(self.slots.try_start(ticket))
            self.clock.time_s += hold_s
            load = _server_load.ServerLoad(0, 0, _DECLARED_SLOTS, slowness)
            self.tracker.record(load, 0)
            self.slots.release(ticket, True)

    def test_hold_time_follows_the_reported_slowness_at_once(self) -> None:
        self.run_calls(100, 0.08, 1.0)
        self.run_calls(5, 0.2, 2.5)
        self.assertGreater(self.slots.hold_s, 0.16)
        self.run_calls(5, 0.08, 1.0)
        self.assertLess(self.slots.hold_s, 0.11)

    def test_wrong_slowness_does_not_change_the_measured_hold_time(
        self,
    ) -> None:
        for slowness in (0.25, 10.0):
            with self.subTest(slowness=slowness):
                self.run_calls(150, 0.08, slowness)
                self.assertAlmostEqual(self.slots.hold_s, 0.08, 2)
