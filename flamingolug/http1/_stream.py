"""Non-blocking TCP streams, each read by one greenlet.

Several greenlets may wait to write, but concurrent calls of `send_all` can
interleave their data.

The I/O watcher of a stream stays registered between reads, so that a read that
has to wait takes two system calls instead of the four of a gevent socket.
"""

import errno
import fcntl
import select
import socket
import struct
import termios
from typing import Any
from typing import NamedTuple

import gevent
import greenlet
from gevent import socket as gevent_socket
from gevent import timeout as gevent_timeout

#: Milliseconds for which sent data may stay unacknowledged, or the window of
#: the peer closed, before the connection is considered lost. Must be below the
#: sum of the shortest usual deadline and the time of one retransmission.
USER_TIMEOUT_MS = 3000
#: Seconds of idleness before the first keep-alive probe.
KEEPALIVE_IDLE_S = 1
#: Seconds between keep-alive probes.
KEEPALIVE_INTERVAL_S = 1
#: Unanswered probes after which the connection is considered lost.
KEEPALIVE_PROBES = 2
#: Maximum number of connections that wait to be accepted; large enough for a
#: burst of new connections from all clients of one instance.
BACKLOG = 1024
#: Flags of libev for readable and writable descriptors.
_READ = 1
_WRITE = 2


class Queued(NamedTuple):
    """Bytes in the buffers of a socket."""

    #: Received bytes that have not been read.
    unread_bytes: int
    #: Sent bytes that the peer has not acknowledged.
    unsent_bytes: int


def listen(host: str, port: int) -> gevent_socket.socket:
    """Returns a listening socket."""
    sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    return sock


def _set_options(sock: socket.socket, peer_may_pause: bool) -> None:
    """Sets TCP_NODELAY and the time-outs that detect dead connections."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    if not peer_may_pause:
        sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def _query_size(descriptor: int, request: int) -> int:
    size: int = struct.unpack("i", fcntl.ioctl(descriptor, request, bytes(4)))[
        0
    ]
    return size


def has_input(sock: socket.socket | gevent_socket.socket) -> bool:
    """Returns whether data or the end of the stream has arrived."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    return bool(poller.poll(0))


def queued(sock: socket.socket | gevent_socket.socket) -> Queued:
    """Returns the bytes in the buffers of an open socket."""
    try:
        return Queued(
            _query_size(sock.fileno(), termios.FIONREAD),
            _query_size(sock.fileno(), termios.TIOCOUTQ),
        )
    except OSError:
        # The kernel keeps no buffers for a socket that was reset.
        return Queued(0, 0)


class Stream:
    """One TCP connection."""

    def __init__(
        self, sock: gevent_socket.socket, peer_may_pause: bool = False
    ) -> None:
        """Detaches a connected socket and wraps its descriptor.

        Args:
            sock: a connected socket.
            peer_may_pause: whether the peer may stop reading for longer than
                `USER_TIMEOUT_MS`. Keep-alive probes still detect a dead peer
                while no sent data is unacknowledged.

        Raises:
            OSError: the connection is already closed.
        """
        family = sock.family
        raw = socket.socket(family, socket.SOCK_STREAM, 0, sock.detach())
        raw.setblocking(False)
        try:
            _set_options(raw, peer_may_pause)
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
        """Returns the next bytes, empty once the peer has stopped sending.

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

    def send_now(self, data: bytes | memoryview) -> int:
        """Sends what fits the send buffer; returns the number of bytes sent.

        Raises:
            OSError: the connection was lost, or closed on this side.
        """
        if self.closed:
            raise OSError(errno.EBADF, "closed on this side")
        try:
            return self._raw.send(data)
        except BlockingIOError:
            return 0

    def send_all(
        self,
        data: bytes,
        stop_if_readable: bool = False,
        stall_timeout_s: float | None = None,
    ) -> bool:
        """Sends all data; returns whether it was sent completely.

        Args:
            data: bytes to send.
            stop_if_readable: whether to stop once `has_input` returns True.
            stall_timeout_s: seconds for which the connection may accept no
                data, None for no limit.

        Raises:
            OSError: the connection was lost, closed on this side, or accepted
                no data for `stall_timeout_s`.
        """
        sent = self.send_now(data)
        rest = memoryview(data)
        while sent < len(data):
            with gevent_timeout.Timeout(
                stall_timeout_s, OSError(errno.ETIMEDOUT, "peer does not read")
            ):
                self._wait_writable(stop_if_readable)
            if stop_if_readable and self.has_input():
                return False
            sent += self.send_now(rest[sent:])
        return True

    def has_input(self) -> bool:
        """Returns whether data or the end of the stream has arrived.

        Also True if the connection is closed on this side.
        """
        return self.closed or has_input(self._raw)

    def queued(self) -> Queued:
        """Returns the bytes in the socket's buffers, 0 once it is closed."""
        return Queued(0, 0) if self.closed else queued(self._raw)

    def shutdown_write(self) -> None:
        """Shuts down the sending direction of the connection.

        Raises:
            OSError: the connection was lost, or closed on this side.
        """
        if self.closed:
            raise OSError(errno.EBADF, "closed on this side")
        self._raw.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes the connection and wakes the greenlets that wait for it."""
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

    def _wake(self, waiter: greenlet.greenlet) -> None:
        if waiter is self._reader or waiter in self._writers:
            waiter.switch()

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
