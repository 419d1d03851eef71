"""Queued bytes of a connection between two nodes."""

import logging
import unittest
from typing import Any

import gevent

from flamingolug import http1
from flamingolug.gateway import _frames
from flamingolug.gateway import _link


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
