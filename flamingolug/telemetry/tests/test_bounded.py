"""Tests of the log handler that never blocks and of the line limit."""

import logging
import os
import unittest

from flamingolug import telemetry


class BoundedHandlerTest(unittest.TestCase):
    """A handler that writes to a pipe whose reader has stopped."""

    def setUp(self) -> None:
        self.read_descriptor, write_descriptor = os.pipe()
        self.write_descriptor = write_descriptor
        self.handler = telemetry.BoundedHandler(write_descriptor)
        self.handler.setFormatter(logging.Formatter("%(message)s"))

    def tearDown(self) -> None:
        os.close(self.read_descriptor)
        os.close(self.write_descriptor)

    def _log(self, text: str) -> None:
        self.handler.emit(
            logging.LogRecord("x", logging.INFO, "", 0, text, None, None)
        )

    def test_writing_to_a_stopped_reader_does_not_block_and_losses_are_logged(
        self,
    ) -> None:
        for number in range(20_000):
            self._log(f"line {number} " + "x" * 50)
        self.assertGreater(self.handler.dropped, 0)
        os.set_blocking(self.read_descriptor, False)
        output = b""
        for _ in range(200):
            try:
                output += os.read(self.read_descriptor, 1 << 16)
            except BlockingIOError:
                self.handler.flush()
                if not self.handler.buffered_bytes:
                    break
        dropped = self.handler.dropped
        self._log("after")
        output += os.read(self.read_descriptor, 1 << 16)
        self.assertIn(b"line 0 ", output)
        self.assertIn(f"event=log.dropped lines={dropped}".encode(), output)
        self.assertTrue(output.endswith(b"after\n"))


class LineLimitTest(unittest.TestCase):
    """The number of lines allowed for each event and reason."""

    def test_lines_beyond_the_limit_of_a_reason_are_not_allowed(self) -> None:
        limit = telemetry.LineLimit(3)
        limit.pop_suppressed()
        allowed = [limit.allow("request.refused", "shed") for _ in range(10)]
        self.assertEqual(allowed.count(True), 3)
        self.assertTrue(limit.allow("request.refused", "deadline"))

    def test_limit_of_zero_allows_every_line(self) -> None:
        limit = telemetry.LineLimit(0)
        self.assertTrue(all(limit.allow("e", "") for _ in range(100)))
