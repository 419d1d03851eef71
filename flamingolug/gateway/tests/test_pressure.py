"""Pressure, bottleneck and depth that travel up a call chain.

Pattern: backpressure hop by hop. Each node adds what it measures itself.
"""

import unittest

from flamingolug.gateway import _link
from flamingolug.gateway import _model
from flamingolug.gateway import _pressure
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

    def test_depth_of_services_that_call_each_other_is_bounded(self) -> None:
        for _ in range(100):
            depth = self.callees.chain_depth
            self.callees.record("s", make_load(0.1, "", depth))
        self.assertEqual(self.callees.chain_depth, _pressure.MAX_CHAIN_DEPTH)

    def test_load_report_is_the_same_behind_a_link(self) -> None:
        load = make_load(1.25, "leaf", 2)
        frame = _link.load_to_frame(load)
        self.assertEqual(_link.load_from_frame(frame), load)
