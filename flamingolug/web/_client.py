"""HTTP exchanges over pooled connections, parsed by geventhttpclient.

The library's own client sends a request again when a reused connection turns
out to be closed. That may run a non-idempotent request twice, so this module
keeps its own pool around the library's parser: one request is written at most
once, and a connection whose answer was not read to its end is closed.
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
CONNECT_TIMEOUT_S = 1.0
#: Seconds that an unused connection stays in the pool.
MAX_IDLE_S = 30.0


class Response(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Returns the first header called `name`, in any case, or ''."""
        wanted = name.lower()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value
        return ""


class Pool:
    """Connections to one HTTP server."""

    def __init__(self, host: str, port: int, max_idle: int = 64) -> None:
        """Creates an empty pool.

        Args:
            host: IP address of the server.
            port: its TCP port.
            max_idle: connections kept open while unused.
        """
        self.host = host
        self.port = port
        self.peer = f"{host}:{port}"
        self._max_idle = max_idle
        self._idle: list[tuple[Any, float]] = []

    def acquire(self) -> Any:
        """Returns a connection that is open as far as can be seen.

        Raises:
            BackendError: no connection could be made.
        """
        oldest = time.monotonic() - MAX_IDLE_S
        while self._idle:
            conn, since = self._idle.pop()
            if since < oldest or _readable(conn):
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
        """Keeps a connection whose last response was read to its end."""
        if len(self._idle) >= self._max_idle:
            conn.close()
            return
        self._idle.append((conn, time.monotonic()))

    def close(self) -> None:
        """Closes all unused connections."""
        while self._idle:
            self._idle.pop()[0].close()


def exchange(
    pool: Pool,
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]] = (),
    body: bytes = b"",
    *,
    timeout_s: float,
    max_body_bytes: int,
) -> Response:
    """Sends one request and reads its whole response.

    Raises:
        BackendError: with `sent` False when no byte was written.
        BodyTooLargeError: the response body passes `max_body_bytes`.
    """
    request = _format(pool.peer, method, target, headers, body)
    timeout = gevent.Timeout(timeout_s)
    timeout.start()
    conn: Any = None
    sent = False
    complete = False
    try:
        conn = pool.acquire()
        sent = True
        conn.sendall(request)
        response = _read(conn, method, pool.peer, max_body_bytes)
        complete = not response.should_close()
        return _reply(response)
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
            if complete:
                pool.release(conn)
            else:
                conn.close()


def _format(
    peer: str,
    method: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
) -> bytes:
    """Returns the bytes of a request, head and body in one piece."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {peer}"]
    for name, value in headers:
        lines.append(f"{name}: {value}")
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1") + body


def _read(
    conn: Any, method: str, peer: str, max_body_bytes: int
) -> http_response.HTTPResponse:
    """Reads one response to its end."""
    response = http_response.HTTPResponse(method, http_header.Headers)
    body = response._body_buffer
    while not response.message_complete:
        data = conn.recv(_READ_BYTES)
        if not data:
            raise errors.BackendError(
                f"connection closed after {len(body)} body bytes",
                step="read",
                peer=peer,
                sent=True,
            )
        response.feed(data)
        if len(body) > max_body_bytes:
            raise errors.BodyTooLargeError(
                f"response body passes {max_body_bytes} bytes",
                step="read",
                peer=peer,
            )
    return response


def _reply(response: http_response.HTTPResponse) -> Response:
    """Returns the typed form of a complete response."""
    return Response(
        status=response.status_code,
        headers=tuple(
            (str(name), str(value)) for name, value in response.items()
        ),
        body=bytes(response._body_buffer),
    )


def _readable(conn: Any) -> bool:
    """Returns whether an idle connection has data or was closed."""
    poll = select.poll()
    poll.register(conn.fileno(), select.POLLIN | select.POLLHUP)
    return bool(poll.poll(0))
