"""Pressure, bottleneck and depth that travel up a call chain.

Pattern: backpressure hop by hop. Each node adds what it measures itself.
"""

import unittest

from flamingolug.gateway import _link
from flamingolug.gateway import _model
from flamingolug.gateway import _pressure
from flamingolug.gateway import _slots
from flamingolug.gateway.tests import test_decisions


def make_load(
    pressure: float, bottleneck: str = "", chain_depth: int = 0
) -> _model.LoadReport:
    """Returns the load report of a called service."""
    return _model.LoadReport(
        1, 2, (0, 0, 0, 0), 0.1, 0.0, pressure, bottleneck, chain_depth
    )


class CalleePressureTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = test_decisions.Clock()
        self.callees = _pressure.CalleePressure(self.clock.now)

    def test_bottleneck_further_down_is_named(self) -> None:
        for _ in range(30):
            self.callees.record("near", make_load(3.0, "leaf", 1))
            self.callees.record("other", make_load(0.5))
        highest = self.callees.highest()
        self.assertEqual(highest.bottleneck, "leaf")
        self.assertAlmostEqual(highest.ratio, 3.0, 1)

    def test_silent_service_has_no_pressure(self) -> None:
        self.callees.record("near", make_load(3.0, "leaf"))
        self.clock.time_s += _pressure.MAX_AGE_S
        self.assertEqual(self.callees.highest().ratio, 0.0)

    def test_depth_is_one_more_than_the_deepest_called_service(self) -> None:
        self.assertEqual(self.callees.chain_depth, 0)
        self.callees.record("leaf", make_load(0.1))
        self.callees.record("near", make_load(0.1, "", 2))
        self.assertEqual(self.callees.chain_depth, 3)

    def test_service_that_calls_itself_has_the_depth_of_the_others(
        self,
    ) -> None:
        callees = _pressure.CalleePressure(self.clock.now, "own")
        for _ in range(5):
            callees.record("own", make_load(2.0, "own", callees.chain_depth))
            callees.record("leaf", make_load(0.1))
        self.assertEqual(callees.chain_depth, 1)
        self.assertEqual(callees.highest().bottleneck, "own")

    def test_depth_of_services_that_call_each_other_is_bounded(self) -> None:
        for _ in range(100):
            depth = self.callees.chain_depth
            self.callees.record("s", make_load(0.1, "", depth))
        self.assertEqual(self.callees.chain_depth, _pressure.MAX_CHAIN_DEPTH)

    def test_depth_that_was_too_high_falls_with_further_reports(self) -> None:
        self.callees.record("s", make_load(0.1, "", 9))
        self.assertEqual(self.callees.chain_depth, 10)
        for _ in range(300):
            self.callees.record("s", make_load(0.1, "", 1))
        self.assertEqual(self.callees.chain_depth, 2)

    def test_service_that_is_no_longer_called_does_not_count_in_the_depth(
        self,
    ) -> None:
        self.callees.record("called once", make_load(0.1, "", 9))
        self.clock.time_s += _pressure.CHAIN_DEPTH_MAX_AGE_S
        self.callees.record("leaf", make_load(0.1))
        self.assertEqual(self.callees.chain_depth, 1)

    def test_load_report_is_the_same_behind_a_link(self) -> None:
        load = make_load(1.25, "leaf", 2)
        frame = _link.load_to_frame(load)
        self.assertEqual(_link.load_from_frame(frame), load)


class ServicePressureTest(unittest.TestCase):
    """Pressure of a service at an entry, from all reports of its gates."""

    def setUp(self) -> None:
        self.clock = test_decisions.Clock()
        self.pressures = _pressure.ServicePressures(self.clock.now)

    def test_kinds_of_one_service_share_its_pressure(self) -> None:
        self.clock.time_s += 1.0
        self.pressures.of("s").record(_pressure.Pressure(2.0, "leaf", 0.5))
        shared = self.pressures.of("s")
        self.assertAlmostEqual(shared.ratio, 2.0, 1)
        self.assertEqual(shared.bottleneck, "leaf")
        self.assertEqual(shared.expired_ratio, 0.5)
        self.assertEqual(self.pressures.of("other").ratio, 0.0)

    def test_pressure_halves_while_no_gate_reports(self) -> None:
        pressure = self.pressures.of("s")
        self.clock.time_s += 1.0
        pressure.record(_pressure.Pressure(2.0, "leaf"))
        self.clock.time_s += _pressure.SILENCE_S
        before = pressure.ratio
        self.clock.time_s += _pressure.HALF_LIFE_S
        self.assertAlmostEqual(pressure.ratio, before / 2.0)

    def test_report_replaces_a_pressure_that_has_decayed(self) -> None:
        pressure = self.pressures.of("s")
        self.clock.time_s += 1.0
        pressure.record(_pressure.Pressure(4.0, "leaf", 0.5))
        self.clock.time_s += 2.0
        pressure.record(_pressure.Pressure(0.2, ""))
        self.assertLess(pressure.ratio, 0.21)
        self.assertEqual(pressure.expired_ratio, 0.0)


class ExpiredCallsTest(unittest.TestCase):
    """Calls that a gate refuses since they cannot end in time."""

    def test_only_calls_that_cannot_end_in_time_count(self) -> None:
        clock = test_decisions.Clock()
        slots = _slots.Slots(1, clock.now)
        for _ in range(50):
            call = test_decisions.make_call()
            ticket = _slots.Ticket(call)
            self.assertTrue(slots.try_start(ticket))
            slots.release(ticket, False)
        self.assertEqual(slots.expired_ratio, 0.0)
        for _ in range(50):
            call = test_decisions.make_call(remaining_s=0.001)
            self.assertIs(slots.try_start(_slots.Ticket(call)), False)
        self.assertGreater(slots.expired_ratio, 0.9)
