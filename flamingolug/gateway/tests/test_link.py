"""Queued bytes of a connection between two nodes."""

import logging
import types
import unittest
from typing import Any

import gevent

from flamingolug import http1
from flamingolug import store
from flamingolug.gateway import _frames
from flamingolug.gateway import _link
from flamingolug.gateway import _pressure


class _Stream:
    """A stream that accepts as many bytes at once as the test says."""

    def __init__(self, accepts: int) -> None:
        self.closed = False
        self.accepts = accepts

    def send_now(self, data: bytes) -> int:
        return min(self.accepts, len(data))

    def send_all(self, data: bytes) -> bool:
        del data
        gevent.sleep(60.0)
        return True

    def queued(self) -> http1.Queued:
        return http1.Queued(0, 0)

    def close(self) -> None:
        self.closed = True


class QueuedBytesTest(unittest.TestCase):
    """Frames that a close drops are counted and logged."""

    def setUp(self) -> None:
        # The test run disables logging.
        self.addCleanup(logging.disable, logging.root.manager.disable)
        logging.disable(logging.NOTSET)

    def test_frames_that_are_not_written_at_a_close_are_logged(self) -> None:
        size = len(_frames.encode(_frames.CancelFrame(1)))
        cases = {
            "before the flush": (0, False, size),
            "socket accepts nothing": (0, True, size),
            "socket accepts a part": (2, True, size - 2),
        }
        for name, (accepts, flushed, queued) in cases.items():
            with self.subTest(name):
                stream: Any = _Stream(accepts)
                connection = _link.FrameConnection(stream, "peer:1")
                connection.send(_frames.CancelFrame(1))
                if flushed:
                    gevent.sleep(0.001)
                self.assertEqual(connection.queued_bytes, queued)
                with self.assertLogs("flamingolug.gateway") as logs:
                    connection.close()
                self.assertIn(
                    f"event=link.undelivered peer=peer:1 queued={queued}",
                    logs.output[0],
                )

    def test_written_frames_are_not_queued(self) -> None:
        stream: Any = _Stream(1 << 20)
        connection = _link.FrameConnection(stream, "peer:1")
        connection.send(_frames.CancelFrame(1))
        gevent.sleep(0.001)
        self.assertEqual(connection.queued_bytes, 0)
        with self.assertNoLogs("flamingolug.gateway"):
            connection.close()


class ProbeTest(unittest.TestCase):
    """Probes of links that carry no calls.

    Pattern: probe budget. The probes of a node do not grow with its links.
    """

    def setUp(self) -> None:
        self.time_s = 100.0
        self.sent: list[_frames.Frame] = []
        deps: Any = types.SimpleNamespace(
            timers=types.SimpleNamespace(now=lambda: self.time_s),
            metrics=types.SimpleNamespace(
                counters=types.SimpleNamespace(add=lambda *names: None)
            ),
            version=lambda: 1,
            entries_position=lambda: store.Position(1, 1),
        )
        # The link connects when this greenlet waits, which it never does.
        self.link = _link.Link(("127.0.0.1", 1), deps)
        connection: Any = types.SimpleNamespace(
            send=self.sent.append, close=lambda: None
        )
        self.link._connection = connection

    def check_for(self, duration_s: float, idle_probe_s: float) -> None:
        """Checks the link each quarter of a second."""
        ends_at = self.time_s + duration_s
        while self.time_s < ends_at:
            self.time_s += _link.CHECK_INTERVAL_S
            self.link.check(idle_probe_s)

    def test_probes_of_all_links_are_limited(self) -> None:
        for links in (1, 16, 30, 100, 729):
            with self.subTest(links=links):
                interval_s = _link.idle_probe_interval_s(links)
                self.assertGreaterEqual(interval_s, _link.IDLE_PROBE_S)
                self.assertLessEqual(
                    links / interval_s, _link.MAX_PROBES_PER_S + 1e-9
                )

    def test_few_links_are_probed_each_two_seconds(self) -> None:
        self.assertEqual(_link.idle_probe_interval_s(16), _link.IDLE_PROBE_S)

    def test_silent_link_ends_after_its_probe_and_not_before(self) -> None:
        for idle_probe_s in (2.0, 12.0):
            with self.subTest(idle_probe_s=idle_probe_s):
                self.setUp()
                self.check_for(idle_probe_s, idle_probe_s)
                self.assertEqual(self.sent, [])
                self.check_for(
                    _link.PROBE_RESPONSE_TIMEOUT_S - 0.25, idle_probe_s
                )
                self.assertEqual(len(self.sent), 1)
                self.assertFalse(self.link.ended)
                self.check_for(1.0, idle_probe_s)
                self.assertTrue(self.link.ended)


class LoadReportTest(unittest.TestCase):
    """Load reports of a peer whose figures cannot be right.

    Pattern: clamp at the boundary. A wrong report must neither widen a limit
    nor have an effect for long.
    """

    def test_impossible_figures_of_a_peer_are_limited(self) -> None:
        for depth, pressure, expired in (
            (-5, -100, -50),
            (10**6, 10**8, 10**4),
        ):
            with self.subTest(depth=depth):
                frame = _frames.LoadFrame(
                    1, 2, [0], 100, 0, pressure, "s", depth, expired
                )
                load = _link.load_from_frame(frame)
                self.assertIn(load.chain_depth, range(16))
                self.assertTrue(0.0 <= load.expired_ratio <= 1.0)
                self.assertTrue(
                    0.0 <= load.pressure <= _link.MAX_REPORTED_PRESSURE
                )

    def test_effect_of_one_wrong_report_ends(self) -> None:
        frame = _frames.LoadFrame(1, 2, [0], 100, 0, 10**8, "s", 10**6, 100)
        load = _link.load_from_frame(frame)
        time_s = 100.0
        pressure = _pressure.ServicePressure(lambda: time_s)
        pressure.record(_pressure.Pressure(load.pressure, "s", 1.0))
        depth = _pressure.follow_depth(0.0, load.chain_depth)
        for _ in range(300):
            depth = _pressure.follow_depth(depth, 0)
        self.assertEqual(depth, 0.0)
        for _ in range(5):
            time_s += 0.25
            pressure.record(_pressure.Pressure(0.2, ""))
        self.assertLess(pressure.ratio, 0.9)
