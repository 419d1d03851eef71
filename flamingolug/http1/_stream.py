"""Non-blocking TCP streams for one reading task and any writing task.

The watcher of a stream stays registered between reads. A gevent socket takes
four system calls for a read that has to wait, this one takes two.
"""

import errno
import select
import socket
from typing import Any

import gevent
import greenlet
from gevent import socket as gevent_socket

#: Milliseconds that sent bytes may stay unacknowledged before the connection
#: counts as lost; below the shortest usual deadline plus one retransmission.
USER_TIMEOUT_MS = 3000
#: Seconds of idleness before the first keep-alive probe.
KEEPALIVE_IDLE_S = 1
#: Seconds between keep-alive probes.
KEEPALIVE_INTERVAL_S = 1
#: Unanswered probes after which the connection counts as lost.
KEEPALIVE_PROBES = 2
#: Connections that may wait to be accepted; a burst of fresh connections
#: from all clients of one instance fits.
BACKLOG = 1024
_READ = 1
_WRITE = 2


def listen(host: str, port: int) -> gevent_socket.socket:
    """Returns a listening socket."""
    sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    return sock


def _set_options(sock: socket.socket) -> None:
    """Sets no-delay and the timeouts that find silent connections."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Stream:
    """One TCP connection."""

    def __init__(self, sock: gevent_socket.socket) -> None:
        """Takes over a connected socket.

        Raises:
            OSError: the connection has ended already.
        """
        family = sock.family
        raw = socket.socket(family, socket.SOCK_STREAM, 0, sock.detach())
        raw.setblocking(False)
        try:
            _set_options(raw)
        except OSError:
            raw.close()
            raise
        self.closed = False
        self._raw = raw
        self._hub = gevent.get_hub()
        self._watcher: Any = self._hub.loop.io(raw.fileno(), _READ)
        self._watching = False
        self._reader: greenlet.greenlet | None = None
        self._writers: list[greenlet.greenlet] = []

    def recv(self, size: int) -> bytes:
        """Returns the next bytes, empty at the orderly end.

        Raises:
            OSError: the connection was lost, or closed on this side.
        """
        while True:
            if self.closed:
                raise OSError(errno.EBADF, "closed on this side")
            self._reader = greenlet.getcurrent()
            if not self._watching:
                self._watching = True
                self._watcher.start(self._on_readable)
            try:
                self._hub.switch()
            finally:
                self._reader = None
            if self.closed:
                raise OSError(errno.EBADF, "closed on this side")
            try:
                return self._raw.recv(size)
            except BlockingIOError:
                continue

    def send_now(self, data: bytes) -> int:
        """Sends what the connection takes at once; returns the bytes sent.

        Raises:
            OSError: the connection was lost, or closed on this side.
        """
        if self.closed:
            raise OSError(errno.EBADF, "closed on this side")
        try:
            return self._raw.send(data)
        except BlockingIOError:
            return 0

    def send_all(self, data: bytes, stop_if_readable: bool = False) -> bool:
        """Sends everything; returns whether it did.

        Args:
            data: what to send.
            stop_if_readable: whether to stop once there is something to read.

        Raises:
            OSError: the connection was lost, or closed on this side.
        """
        sent = self.send_now(data)
        while sent < len(data):
            self._wait_writable(stop_if_readable)
            if stop_if_readable and self.has_input():
                return False
            sent += self.send_now(data[sent:])
        return True

    def has_input(self) -> bool:
        """Returns whether bytes or the end of the connection have arrived."""
        if self.closed:
            return True
        poller = select.poll()
        poller.register(self._raw.fileno(), select.POLLIN | select.POLLRDHUP)
        return bool(poller.poll(0))

    def shutdown_write(self) -> None:
        """Tells the other side that nothing more is sent.

        Raises:
            OSError: the connection was lost, or closed on this side.
        """
        if self.closed:
            raise OSError(errno.EBADF, "closed on this side")
        self._raw.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes the connection and wakes the tasks that wait for it."""
        if self.closed:
            return
        self.closed = True
        self._watcher.stop()
        self._watcher.close()
        self._raw.close()
        if self._reader is not None:
            self._hub.loop.run_callback(self._wake, self._reader)
        for writer in self._writers:
            self._hub.loop.run_callback(self._wake, writer)

    def _wake(self, waiting: greenlet.greenlet) -> None:
        if waiting is self._reader or waiting in self._writers:
            waiting.switch()

    def _on_readable(self) -> None:
        reader = self._reader
        if reader is None:
            self._watching = False
            self._watcher.stop()
            return
        reader.switch()

    def _wait_writable(self, or_readable: bool) -> None:
        events = _WRITE | _READ if or_readable else _WRITE
        watcher = self._hub.loop.io(self._raw.fileno(), events)
        current = greenlet.getcurrent()
        self._writers.append(current)
        try:
            watcher.start(current.switch)
            self._hub.switch()
        finally:
            self._writers.remove(current)
            watcher.stop()
            watcher.close()
        if self.closed:
            raise OSError(errno.EBADF, "closed on this side")
