"""Logs never block a node and stay bounded under load."""

import logging
import os
import unittest

from flamingolug import telemetry


class BoundedHandlerTest(unittest.TestCase):
    """A reader of the log that stops."""

    def setUp(self) -> None:
        self.reading, writing = os.pipe()
        self.writing = writing
        self.handler = telemetry.BoundedHandler(writing)
        self.handler.setFormatter(logging.Formatter("%(message)s"))

    def tearDown(self) -> None:
        os.close(self.reading)
        os.close(self.writing)

    def _log(self, text: str) -> None:
        self.handler.emit(
            logging.LogRecord("x", logging.INFO, "", 0, text, None, None)
        )

    def test_a_stopped_reader_never_blocks_and_losses_are_told(self) -> None:
        for number in range(20_000):
            self._log(f"line {number} " + "x" * 50)
        self.assertGreater(self.handler.dropped, 0)
        os.set_blocking(self.reading, False)
        seen = b""
        for _ in range(200):
            try:
                seen += os.read(self.reading, 1 << 16)
            except BlockingIOError:
                self.handler.flush()
                if not self.handler.pending:
                    break
        dropped = self.handler.dropped
        self._log("after")
        seen += os.read(self.reading, 1 << 16)
        self.assertIn(b"line 0 ", seen)
        self.assertIn(f"event=log.dropped lines={dropped}".encode(), seen)
        self.assertTrue(seen.endswith(b"after\n"))


class LineLimitTest(unittest.TestCase):
    """Lines for each event and reason."""

    def test_lines_beyond_the_limit_are_counted(self) -> None:
        limit = telemetry.LineLimit(3)
        limit.take_left_out()
        allowed = [limit.allow("request.refused", "shed") for _ in range(10)]
        self.assertEqual(allowed.count(True), 3)
        self.assertTrue(limit.allow("request.refused", "deadline"))

    def test_no_limit_without_a_figure(self) -> None:
        limit = telemetry.LineLimit(0)
        self.assertTrue(all(limit.allow("e", "") for _ in range(100)))
