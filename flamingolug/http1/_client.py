"""Client side of HTTP/1.1 connections."""

import errno
import socket

from gevent import socket as gevent_socket
from gevent import timeout as gevent_timeout

from flamingolug import errors
from flamingolug.http1 import _parse
from flamingolug.http1 import _stream

_READ_BYTES = 65536
_NO_MEMORY = "largest of too many incomplete responses"


class ResponseMemory:
    """Limits what the incomplete responses of several connections hold.

    When they exceed the limit together, the largest one is refused. A response
    is therefore never refused because of larger ones.
    """

    def __init__(self, max_bytes: int) -> None:
        """Creates a limit of which nothing is used."""
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self._sizes: dict[Connection, int] = {}

    def add(self, conn: "Connection", size: int) -> None:
        """Adds bytes that a connection has received."""
        self._sizes[conn] = self._sizes.get(conn, 0) + size
        self.held_bytes += size
        while self.held_bytes > self.max_bytes:
            largest = max(self._sizes, key=self._sizes.__getitem__)
            self.remove(largest)
            largest.refuse_response()

    def remove(self, conn: "Connection") -> None:
        """Removes all bytes of a connection."""
        self.held_bytes -= self._sizes.pop(conn, 0)


class Connection:
    """Connection to a server that carries one request at a time."""

    def __init__(
        self,
        stream: _stream.Stream,
        peer: str,
        memory: ResponseMemory | None = None,
    ) -> None:
        """Wraps a connected stream and becomes responsible for closing it.

        Args:
            stream: the connected stream.
            peer: HOST:PORT of the server.
            memory: limit that the connection shares with others.
        """
        #: HOST:PORT of the server.
        self.peer = peer
        #: Requests sent so far.
        self.requests_sent = 0
        self._stream = stream
        self._reader = _parse.ResponseReader()
        self._memory = memory
        #: Whether the response was refused in favour of other connections.
        self._refused = False
        #: Bytes received since the last request was sent.
        self._received = 0

    def close(self) -> None:
        """Closes the connection; a request in progress is aborted."""
        self._stream.close()
        self._reader.discard()

    def refuse_response(self) -> None:
        """Closes the connection, whose response takes too much memory."""
        self._refused = True
        self.close()

    @property
    def closed(self) -> bool:
        """Whether the connection was closed on this side."""
        return self._stream.closed

    def is_clean(self) -> bool:
        """Returns whether the connection is open and has no unread input.

        The end of the stream counts as input.
        """
        return not self._stream.has_input()

    def send(self, data: bytes) -> bool:
        """Sends a request.

        Returns:
            False if sending stopped because input or the end of the stream
            arrived before the whole request was sent. The connection must then
            not be reused.

        Raises:
            BackendError: the connection failed during sending.
        """
        self.requests_sent += 1
        self._received = 0
        self._reader.start_exchange()
        try:
            return self._stream.send_all(data, stop_if_readable=True)
        except OSError as exc:
            raise errors.BackendError(
                f"sending failed: {exc}", step="send", peer=self.peer, sent=True
            ) from exc

    def receive(self, is_head_request: bool, max_bytes: int) -> _parse.Response:
        """Reads the next response.

        Args:
            is_head_request: whether the method of the request was HEAD.
            max_bytes: number of bytes received since the request was sent,
                above which a response that is still incomplete is refused.

        Raises:
            ResponseTooLargeError: the response, or all responses to the request
                together, exceed a limit.
            BackendError: the connection failed or was closed too early, or the
                response is malformed.
        """
        try:
            return self._receive(is_head_request, max_bytes)
        finally:
            if self._memory is not None:
                self._memory.remove(self)

    def _receive(
        self, is_head_request: bool, max_bytes: int
    ) -> _parse.Response:
        reader = self._reader
        reader.expect(is_head_request)
        while not reader.ready:
            if reader.excess:
                raise self._excess_error(reader.excess)
            if reader.broken:
                raise self._receive_error("malformed response")
            if self._received > max_bytes:
                raise self._excess_error("response too large")
            try:
                data = self._stream.recv(_READ_BYTES)
            except OSError as exc:
                if self._refused:
                    raise self._excess_error(_NO_MEMORY) from exc
                raise self._receive_error(f"reset: {exc}") from exc
            if data:
                self._received += len(data)
                reader.feed(data)
                if self._memory is not None and not reader.ready:
                    self._memory.add(self, len(data))
                    if self._refused:
                        raise self._excess_error(_NO_MEMORY)
                continue
            reader.finish()
            if not reader.ready:
                raise self._receive_error(
                    "closed before the response was complete"
                )
        response = reader.ready.popleft()
        if reader.ready or reader.partial or reader.broken or reader.excess:
            # The bytes after the response belong to no request.
            return response._replace(reusable=False)
        return response

    def _receive_error(self, message: str) -> errors.BackendError:
        return errors.BackendError(
            message, step="receive", peer=self.peer, sent=True
        )

    def _excess_error(self, message: str) -> errors.ResponseTooLargeError:
        return errors.ResponseTooLargeError(
            message, step="receive", peer=self.peer, sent=True
        )


def open_stream(
    host: str,
    port: int,
    timeout_s: float,
    local_host: str = "",
    peer_may_pause: bool = False,
) -> _stream.Stream:
    """Opens a TCP connection.

    Args:
        host: address of the server.
        port: TCP port of the server.
        timeout_s: time-out of opening the connection.
        local_host: local address of the connection, empty for any.
        peer_may_pause: as for `Stream`.

    Raises:
        OSError: the connection could not be opened; nothing was sent.
    """
    sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        if local_host:
            sock.bind((local_host, 0))
        with gevent_timeout.Timeout(timeout_s, TimeoutError("timed out")):
            sock.connect((host, port))
        return _stream.Stream(sock, peer_may_pause)
    except (OverflowError, ValueError) as exc:
        sock.close()
        raise OSError(errno.EINVAL, f"not an address: {exc}") from exc
    except OSError:
        sock.close()
        raise


def open_connection(
    host: str,
    port: int,
    timeout_s: float,
    local_host: str = "",
    *,
    peer_may_pause: bool = False,
    memory: ResponseMemory | None = None,
) -> Connection:
    """Opens an HTTP connection.

    Args:
        host: see `open_stream`.
        port: see `open_stream`.
        timeout_s: see `open_stream`.
        local_host: see `open_stream`.
        peer_may_pause: see `open_stream`.
        memory: limit that the connection shares with others.

    Raises:
        BackendError: the connection could not be opened; nothing was sent.
    """
    peer = f"{host}:{port}"
    try:
        stream = open_stream(host, port, timeout_s, local_host, peer_may_pause)
    except OSError as exc:
        raise errors.BackendError(
            f"no connection: {exc}", step="connect", peer=peer, sent=False
        ) from exc
    return Connection(stream, peer, memory)
