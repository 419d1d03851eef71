"""The calling side of one HTTP/1.1 connection."""

import socket

from gevent import socket as gevent_socket
from gevent import timeout as gevent_timeout

from flamingolug import errors
from flamingolug.http1 import _parse
from flamingolug.http1 import _stream

_READ_BYTES = 65536


class Connection:
    """A connection that carries one request at a time."""

    def __init__(self, stream: _stream.Stream, peer: str) -> None:
        """Takes over a connected stream."""
        self.peer = peer
        #: Requests sent so far.
        self.exchanges = 0
        self._stream = stream
        self._reader = _parse.ResponseReader()

    def close(self) -> None:
        """Closes the connection; a request in progress is given up."""
        self._stream.close()

    @property
    def closed(self) -> bool:
        """Whether it has been closed on this side."""
        return self._stream.closed

    def is_clean(self) -> bool:
        """Returns whether nothing has arrived since the last response."""
        return not self._stream.has_input()

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
            return self._stream.send_all(data, stop_if_readable=True)
        except OSError as exc:
            raise errors.BackendError(
                f"sending failed: {exc}", step="send", peer=self.peer, sent=True
            ) from exc

    def receive(self, head: bool, max_bytes: int) -> _parse.Response:
        """Reads the next response.

        Raises:
            BackendError: the response was cut short or is none.
        """
        reader = self._reader
        reader.expect(head)
        received = 0
        while not reader.ready:
            if reader.broken:
                raise self._lost("not a response")
            if received > max_bytes:
                raise self._lost("response too large")
            try:
                data = self._stream.recv(_READ_BYTES)
            except OSError as exc:
                raise self._lost(f"reset: {exc}") from exc
            if data:
                received += len(data)
                reader.feed(data)
                continue
            reader.finish()
            if not reader.ready:
                raise self._lost("closed before the response was complete")
        response = reader.ready.popleft()
        if reader.ready or reader.partial or reader.broken:
            # Bytes that belong to no request follow.
            return response._replace(reusable=False)
        return response

    def _lost(self, message: str) -> errors.BackendError:
        return errors.BackendError(
            message, step="receive", peer=self.peer, sent=True
        )


def connect(
    host: str, port: int, timeout_s: float, local_host: str = ""
) -> _stream.Stream:
    """Opens a stream.

    Raises:
        OSError: there is no connection; nothing was sent.
    """
    sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        if local_host:
            sock.bind((local_host, 0))
        with gevent_timeout.Timeout(timeout_s, TimeoutError("connect")):
            sock.connect((host, port))
        return _stream.Stream(sock)
    except OSError:
        sock.close()
        raise


def open_connection(
    host: str, port: int, timeout_s: float, local_host: str = ""
) -> Connection:
    """Opens a connection.

    Raises:
        BackendError: no connection within `timeout_s`; nothing was sent.
    """
    peer = f"{host}:{port}"
    try:
        stream = connect(host, port, timeout_s, local_host)
    except OSError as exc:
        raise errors.BackendError(
            f"no connection: {exc}", step="connect", peer=peer, sent=False
        ) from exc
    return Connection(stream, peer)
