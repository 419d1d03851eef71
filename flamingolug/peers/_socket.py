"""ZeroMQ socket for greenlets: non-blocking drains on the raw descriptor.

`zmq.green` costs about four times as much a message, because it sets up a
timer and a poll around each operation. This wrapper asks the socket first and
waits for the descriptor only when there is nothing to read.
"""

import zmq
from gevent import event
from gevent import hub

from flamingolug.peers import _traffic

_READ = 1


class GreenSocket:
    """One socket, read by one greenlet."""

    def __init__(
        self, sock: "zmq.Socket[bytes]", traffic: _traffic.Traffic
    ) -> None:
        """Wraps a socket that is bound or connected by the caller."""
        self._sock = sock
        self._traffic = traffic
        self._readable = event.Event()
        self._closed = False
        self._watcher = hub.get_hub().loop.io(
            int(sock.getsockopt(zmq.FD)), _READ
        )
        self._watcher.start(self._readable.set)

    def send(self, frames: list[bytes]) -> bool:
        """Hands a message to the library; False when it takes none now."""
        if self._closed:
            return False
        try:
            self._sock.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self._traffic.sent(frames)
        # The descriptor signals edges only: sending may swallow one.
        if self._has_input():
            self._readable.set()
        return True

    def receive(self) -> list[bytes] | None:
        """Returns the next message, or None once the socket is closed."""
        while not self._closed:
            try:
                frames = self._sock.recv_multipart(zmq.NOBLOCK)
                self._traffic.received(frames)
                return frames
            except zmq.Again:
                self._readable.clear()
            except zmq.ZMQError:
                return None
            if self._has_input():
                continue
            self._readable.wait()
        return None

    def close_with(self, monitor: "GreenSocket") -> None:
        """Closes the socket and the monitor that tells its events.

        The library's thread hands events to the monitor with a blocking send.
        A monitor that is closed while events can still occur stops that
        thread for good, and with it every link of the process.
        """
        if not self._closed:
            self._sock.disable_monitor()
        monitor.close()
        self.close()

    def close(self) -> None:
        """Closes the socket and wakes its reader."""
        if self._closed:
            return
        self._closed = True
        self._watcher.stop()
        self._watcher.close()
        self._sock.close(linger=0)
        self._readable.set()

    def _has_input(self) -> bool:
        return bool(int(self._sock.getsockopt(zmq.EVENTS)) & zmq.POLLIN)
