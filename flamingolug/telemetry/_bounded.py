"""A log handler that never blocks, and a limit on lines for each cause."""

import logging
import os
import time
from collections import deque

#: Bytes kept for a reader of the log that has stopped; about a minute of an
#: ordinary day's lines.
MAX_BUFFERED_BYTES = 256 * 1024
#: Lines a second for each event and reason; the rest is counted.
LINES_PER_SECOND = 5
#: Pairs of event and reason that are told apart.
MAX_KEYS = 512


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor; what does not fit is counted."""

    def __init__(self, descriptor: int) -> None:
        """Takes over a descriptor and makes it non-blocking."""
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered = 0
        os.set_blocking(descriptor, False)

    @property
    def pending(self) -> int:
        """Bytes that wait for the reader."""
        return self._buffered

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or keeps it until the reader goes on."""
        line = self.format(record).encode(errors="backslashreplace") + b"\n"
        if self.dropped and not self._lines:
            note = f"event=log.dropped lines={self.dropped}\n".encode()
            self.dropped = 0
            self._keep(note)
        if self._buffered + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
        else:
            self._keep(line)
        self.flush()

    def flush(self) -> None:
        """Writes what is kept, as far as the reader takes it."""
        while self._lines:
            line = self._lines.popleft()
            self._buffered -= len(line)
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody can read this log any more, so nobody can be told.
                self.dropped += 1 + len(self._lines)
                self._lines.clear()
                self._buffered = 0
                return
            if written < len(line):
                rest = line[written:]
                self._lines.appendleft(rest)
                self._buffered += len(rest)
                return

    def _keep(self, line: bytes) -> None:
        self._lines.append(line)
        self._buffered += len(line)


class LineLimit:
    """Allows a number of lines a second for each event and reason."""

    def __init__(self, lines_per_second: int = LINES_PER_SECOND) -> None:
        """Starts with nothing written; 0 lines stand for no limit."""
        self.lines_per_second = lines_per_second
        self._second = 0
        self._counts: dict[tuple[str, str], int] = {}

    def allow(self, name: str, reason: str) -> bool:
        """Counts a line; returns whether it may be written."""
        if not self.lines_per_second:
            return True
        key = (name, reason)
        if key not in self._counts and len(self._counts) >= MAX_KEYS:
            key = (name, "")
        count = self._counts.get(key, 0) + 1
        self._counts[key] = count
        return count <= self.lines_per_second

    def take_left_out(self) -> dict[tuple[str, str], int]:
        """Begins a new second; returns what the last one left out."""
        second = int(time.monotonic())
        if second == self._second:
            return {}
        self._second = second
        counts, self._counts = self._counts, {}
        left_out: dict[tuple[str, str], int] = {}
        for key, count in counts.items():
            if count > self.lines_per_second:
                left_out[key] = count - self.lines_per_second
        return left_out
