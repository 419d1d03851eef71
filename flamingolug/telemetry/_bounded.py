"""A log handler that never blocks, and a rate limit for log lines."""

import logging
import os
import time
from collections import deque

#: Maximum bytes of log lines that are buffered while the reader of the log does
#: not read. This is about one minute of log lines in normal operation.
MAX_BUFFERED_BYTES = 256 * 1024
#: Lines per second that are written for each pair of event and reason. Further
#: lines are only counted.
LINES_PER_SECOND = 5
#: Maximum number of pairs of event and reason that are counted separately
#: within one second. Any further pairs are counted by event alone.
MAX_PAIRS = 512


class BoundedHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking.

    Lines that the descriptor does not accept yet are buffered, up to
    `MAX_BUFFERED_BYTES`. Lines beyond that are dropped and counted.
    """

    def __init__(self, descriptor: int) -> None:
        """Creates a handler and makes the descriptor non-blocking."""
        super().__init__()
        #: Dropped lines that have not been reported in the log yet.
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        os.set_blocking(descriptor, False)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of buffered lines."""
        return self._buffered_bytes

    def emit(self, record: logging.LogRecord) -> None:
        """Writes or buffers a record.

        If the buffer is full, the record is dropped and counted.
        """
        line = self.format(record).encode(errors="backslashreplace") + b"\n"
        if self.dropped and not self._lines:
            notice = f"event=log.dropped lines={self.dropped}\n".encode()
            self.dropped = 0
            self._enqueue(notice)
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._enqueue(line)
        self.flush()

    def flush(self) -> None:
        """Writes buffered lines until the descriptor accepts no more."""
        while self._lines:
            line = self._lines.popleft()
            self._buffered_bytes -= len(line)
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # The log can no longer be written, so neither these lines nor
                # a report of their loss would reach a reader.
                self.dropped += 1 + len(self._lines)
                self._lines.clear()
                self._buffered_bytes = 0
                return
            if written < len(line):
                remainder = line[written:]
                self._lines.appendleft(remainder)
                self._buffered_bytes += len(remainder)
                return

    def _enqueue(self, line: bytes) -> None:
        self._lines.append(line)
        self._buffered_bytes += len(line)


class LineLimit:
    """Limits the log lines per second for each pair of event and reason."""

    def __init__(self, lines_per_second: int = LINES_PER_SECOND) -> None:
        """Creates a limit.

        Args:
            lines_per_second: lines allowed for each pair, 0 for no limit.
        """
        self.lines_per_second = lines_per_second
        self._current_second = 0
        self._counts: dict[tuple[str, str], int] = {}

    def allow(self, name: str, reason: str) -> bool:
        """Counts a line and returns whether it may be written.

        Call `pop_suppressed` before each `allow`, because nothing else resets
        the counts.
        """
        if not self.lines_per_second:
            return True
        key = (name, reason)
        if key not in self._counts and len(self._counts) >= MAX_PAIRS:
            key = (name, "")
        count = self._counts.get(key, 0) + 1
        self._counts[key] = count
        return count <= self.lines_per_second

    def pop_suppressed(self) -> dict[tuple[str, str], int]:
        """Returns the number of suppressed lines by event and reason.

        Resets all counts. Does nothing and returns an empty dict if it has
        already been called within the current second.
        """
        second = int(time.monotonic())
        if second == self._current_second:
            return {}
        self._current_second = second
        counts, self._counts = self._counts, {}
        suppressed: dict[tuple[str, str], int] = {}
        for key, count in counts.items():
            if count > self.lines_per_second:
                suppressed[key] = count - self.lines_per_second
        return suppressed
