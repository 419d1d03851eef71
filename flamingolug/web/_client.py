"""HTTP client with a connection pool and the parser of geventhttpclient.

The client of geventhttpclient sends a request again when a reused connection
turns out to be closed, which may run a non-idempotent request twice. This
module therefore uses only the parser of the library. It writes each request at
most once, and closes a connection whose response was not read completely.
"""

import select
import socket as plain_socket
import time
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

import gevent
from gevent import socket
from geventhttpclient import header as http_header
from geventhttpclient import response as http_response

from flamingolug import errors

_READ_BYTES = 65_536
#: Maximum number of bytes of a response that are no body. Chunk headers may
#: take as much again as the body.
MAX_HEAD_BYTES = 131_072
#: Statuses that HTTP has; the parser accepts any three digits.
_STATUSES = range(100, 600)
CONNECT_TIMEOUT_S = 1.0
#: Seconds for which an unused connection may stay in the pool.
MAX_IDLE_S = 30.0


class Response(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Returns the value of the first header called `name`.

        Upper and lower case are not distinguished. Returns an empty string
        when there is no such header.
        """
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return ""


class Pool:
    """Pool of connections to one HTTP server."""

    def __init__(
        self, host: str, port: int, max_idle_connections: int = 64
    ) -> None:
        """Creates an empty pool.

        Args:
            host: IP address of the server.
            port: TCP port of the server.
            max_idle_connections: maximum number of unused connections in the
                pool.
        """
        self.host = host
        self.port = port
        self.peer = f"{host}:{port}"
        self._max_idle_connections = max_idle_connections
        #: Unused connections with the monotonic time of their release.
        self._idle: list[tuple[Any, float]] = []

    def acquire(self) -> Any:
        """Returns an unused connection that appears open, or a new one.

        Raises:
            BackendError: the connection could not be opened; nothing was sent.
        """
        oldest_release = time.monotonic() - MAX_IDLE_S
        while self._idle:
            conn, released_at = self._idle.pop()
            if released_at < oldest_release or _is_readable(conn):
                conn.close()
                continue
            return conn
        try:
            conn = socket.create_connection(
                (self.host, self.port), timeout=CONNECT_TIMEOUT_S
            )
        except OSError as exc:
            raise errors.BackendError(
                f"cannot connect: {exc}",
                step="connect",
                peer=self.peer,
                sent=False,
            ) from exc
        conn.settimeout(None)
        conn.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        return conn

    def release(self, conn: Any) -> None:
        """Returns a connection to the pool; closes it if the pool is full.

        The last response must have been read completely.
        """
        if len(self._idle) >= self._max_idle_connections:
            conn.close()
            return
        self._idle.append((conn, time.monotonic()))

    def close(self) -> None:
        """Closes all unused connections."""
        while self._idle:
            self._idle.pop()[0].close()


def send_request(
    pool: Pool,
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]] = (),
    body: bytes = b"",
    *,
    timeout_s: float,
    max_body_bytes: int,
) -> Response:
    """Sends a request once and returns its complete response.

    Raises:
        BackendError: no complete response was received; `sent` is False only
            if no byte of the request was written.
        BodyTooLargeError: the response exceeds `max_body_bytes` or
            `MAX_HEAD_BYTES`.
    """
    request = _format_request(pool.peer, method, target, headers, body)
    timeout = gevent.Timeout(timeout_s)
    timeout.start()
    conn: Any = None
    sent = False
    reusable = False
    try:
        conn = pool.acquire()
        sent = True
        conn.sendall(request)
        response = _read_response(conn, method, pool.peer, max_body_bytes)
        reusable = not response.should_close()
        return _to_response(response)
    except gevent.Timeout as exc:
        if exc is not timeout:
            raise
        raise errors.BackendError(
            f"no whole answer within {timeout_s:.3f} s",
            step="exchange",
            peer=pool.peer,
            sent=sent,
        ) from exc
    except OSError as exc:
        raise errors.BackendError(
            str(exc), step="exchange", peer=pool.peer, sent=sent
        ) from exc
    except http_response.HTTPParseError as exc:
        raise errors.BackendError(
            f"malformed answer: {exc}",
            step="exchange",
            peer=pool.peer,
            sent=True,
        ) from exc
    finally:
        timeout.close()
        if conn is not None:
            if reusable:
                pool.release(conn)
            else:
                conn.close()


def _format_request(
    peer: str,
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
) -> bytes:
    """Returns a request, head and body, as one byte string."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {peer}"]
    for name, value in headers:
        lines.append(f"{name}: {value}")
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1") + body


def _read_response(
    conn: Any, method: str, peer: str, max_body_bytes: int
) -> http_response.HTTPResponse:
    """Reads one response completely.

    Raises:
        BackendError: the server closed the connection too early, or the status
            is none of HTTP.
        BodyTooLargeError: the body exceeds `max_body_bytes`, or the rest of
            the response exceeds `MAX_HEAD_BYTES`.
    """
    response = http_response.HTTPResponse(method, http_header.Headers)
    body = response._body_buffer
    received = 0
    while not response.message_complete or response.status_code < 200:
        data = conn.recv(_READ_BYTES)
        if not data:
            raise errors.BackendError(
                f"connection closed after {len(body)} body bytes",
                step="read",
                peer=peer,
                sent=True,
            )
        received += len(data)
        response.feed(data)
        if response.headers_complete and response.status_code not in _STATUSES:
            raise errors.BackendError(
                f"status {response.status_code}",
                step="read",
                peer=peer,
                sent=True,
            )
        if received > MAX_HEAD_BYTES + 2 * len(body):
            raise errors.BodyTooLargeError(
                f"response head or chunk headers pass {MAX_HEAD_BYTES} bytes",
                step="read",
                peer=peer,
            )
        if len(body) > max_body_bytes:
            raise errors.BodyTooLargeError(
                f"response body passes {max_body_bytes} bytes",
                step="read",
                peer=peer,
            )
    return response


def _to_response(response: http_response.HTTPResponse) -> Response:
    """Returns a complete response as a `Response`."""
    return Response(
        status=response.status_code,
        headers=tuple(
            (str(name), str(value)) for name, value in response.items()
        ),
        body=bytes(response._body_buffer),
    )


def _is_readable(conn: Any) -> bool:
    """Returns whether an unused connection has data to read or was closed."""
    poll = select.poll()
    poll.register(conn.fileno(), select.POLLIN | select.POLLHUP)
    return bool(poll.poll(0))
