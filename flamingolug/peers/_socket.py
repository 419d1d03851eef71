"""ZeroMQ socket for greenlets, based on non-blocking calls.

`zmq.green` takes about four times as long per message, because it sets up a
timer and a poll for each operation. This wrapper first tries to read from the
socket and waits for its file descriptor only when there is nothing to read.
"""

import zmq
from gevent import event
from gevent import hub

from flamingolug.peers import _traffic

#: Flag of libev for readable descriptors.
_READ = 1


class GreenSocket:
    """Wraps a ZeroMQ socket that a single greenlet reads."""

    def __init__(
        self, sock: "zmq.Socket[bytes]", traffic: _traffic.Traffic
    ) -> None:
        """Wraps a socket that the caller has bound or connected."""
        self._sock = sock
        self._traffic = traffic
        self._readable = event.Event()
        self._closed = False
        self._watcher = hub.get_hub().loop.io(
            int(sock.getsockopt(zmq.FD)), _READ
        )
        self._watcher.start(self._readable.set)

    def send(self, frames: list[bytes]) -> bool:
        """Queues a message.

        Returns:
            False if the socket is closed or ZeroMQ does not accept the message.
        """
        if self._closed:
            return False
        try:
            self._sock.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            return False
        self._traffic.record_sent(frames)
        # The descriptor is edge-triggered, and sending may consume an edge that
        # signals input.
        if self._has_input():
            self._readable.set()
        return True

    def receive(self) -> list[bytes] | None:
        """Waits for the next message; returns None if the socket is closed."""
        while not self._closed:
            try:
                frames = self._sock.recv_multipart(zmq.NOBLOCK)
                self._traffic.record_received(frames)
                return frames
            except zmq.Again:
                self._readable.clear()
            except zmq.ZMQError:
                return None
            if self._has_input():
                continue
            self._readable.wait()
        return None

    def close_with_monitor(self, monitor: "GreenSocket") -> None:
        """Closes the socket and the monitor that receives its events.

        The I/O thread of ZeroMQ sends events to the monitor with a blocking
        call. Closing the monitor while events can still occur blocks that
        thread forever, and with it every link of the process. So the socket
        stops sending events first.
        """
        if not self._closed:
            self._sock.disable_monitor()
        monitor.close()
        self.close()

    def close(self) -> None:
        """Closes the socket and wakes the greenlet that reads it."""
        if self._closed:
            return
        self._closed = True
        self._watcher.stop()
        self._watcher.close()
        self._sock.close(linger=0)
        self._readable.set()

    def _has_input(self) -> bool:
        return bool(int(self._sock.getsockopt(zmq.EVENTS)) & zmq.POLLIN)
