"""The calling side of one HTTP/1.1 connection."""

import select
import socket

from gevent import select as gevent_select
from gevent import socket as gevent_socket
from gevent import timeout as gevent_timeout

from flamingolug import errors
from flamingolug.http1 import _parse
from flamingolug.http1 import _stream

_READ_BYTES = 65536


class Connection:
    """A connection that carries one request at a time."""

    def __init__(self, sock: gevent_socket.socket, peer: str) -> None:
        """Takes over a connected socket."""
        self.peer = peer
        self.exchanges = 0
        self._sock = sock
        self._reader = _parse.ResponseReader()
        self._closed = False

    def close(self) -> None:
        """Closes the connection; a request in progress is given up."""
        if not self._closed:
            self._closed = True
            self._sock.close()

    @property
    def closed(self) -> bool:
        """Whether it has been closed on this side."""
        return self._closed

    def is_clean(self) -> bool:
        """Returns whether nothing has arrived since the last response."""
        if self._closed:
            return False
        poller = select.poll()
        poller.register(self._sock.fileno(), select.POLLIN | select.POLLRDHUP)
        return not poller.poll(0)

    def send(self, data: bytes) -> bool:
        """Sends a request.

        Returns:
            Whether all of it was sent before an answer began to arrive. If
            not, the connection must not be used again.

        Raises:
            BackendError: the connection failed while sending.
        """
        self.exchanges += 1
        try:
            sent = self._sock.send(data)
            while sent < len(data):
                readable, _, _ = gevent_select.select(
                    [self._sock], [self._sock], []
                )
                if readable:
                    return False
                sent += self._sock.send(data[sent:])
        except (OSError, ValueError) as exc:
            raise errors.BackendError(
                f"sending failed: {exc}", step="send", peer=self.peer, sent=True
            ) from exc
        return True

    def receive(self, head: bool, max_bytes: int) -> _parse.Response:
        """Reads the next response.

        Raises:
            BackendError: the response was cut short or is none.
        """
        reader = self._reader
        reader.expect(head)
        received = 0
        while not reader.done:
            try:
                data = self._sock.recv(_READ_BYTES)
            except (OSError, ValueError) as exc:
                raise self._lost(f"reset: {exc}") from exc
            if not data:
                if reader.finish():
                    break
                raise self._lost("closed before the response was complete")
            received += len(data)
            reader.feed(data)
            if reader.broken:
                raise self._lost("not a response")
            if received > max_bytes:
                raise self._lost("response too large")
        return reader.response()

    def _lost(self, message: str) -> errors.BackendError:
        return errors.BackendError(
            message, step="receive", peer=self.peer, sent=True
        )


def open_connection(
    host: str, port: int, timeout_s: float, local_host: str = ""
) -> Connection:
    """Opens a connection.

    Raises:
        BackendError: no connection within `timeout_s`; nothing was sent.
    """
    peer = f"{host}:{port}"
    sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        if local_host:
            sock.bind((local_host, 0))
        _stream.set_socket_options(sock)
        with gevent_timeout.Timeout(timeout_s, TimeoutError("connect")):
            sock.connect((host, port))
    except (OSError, TimeoutError) as exc:
        sock.close()
        raise errors.BackendError(
            f"no connection: {exc}", step="connect", peer=peer, sent=False
        ) from exc
    return Connection(sock, peer)
