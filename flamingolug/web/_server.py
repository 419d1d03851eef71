"""HTTP server on gevent.pywsgi with graceful stop and body limits."""

import contextlib
import socket as plain_socket
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import gevent
import msgspec
from gevent import pywsgi
from gevent import socket

from flamingolug import errors
from flamingolug import http1

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

_BACKLOG = 1024
#: Key of the WSGI environment that holds the socket of the connection.
SOCKET_KEY = "flamingolug.socket"
#: Key of the WSGI environment that holds `_Handler._abandon_body`.
_ABANDON_KEY = "flamingolug.abandon-body"
#: Seconds between checks, during a stop, for requests in progress.
_STOP_POLL_S = 0.02
#: Maximum seconds after the start of a stop in which callers may still send
#: requests on connections that they keep open.
KEEP_ALIVE_GRACE_S = 1.0
#: Seconds in which a caller of a half-closed connection must receive something
#: or close it.
LINGER_S = 5.0
_DISCARD_BYTES = 65536


def _reject_ambiguous_length(headers: Any) -> None:
    """Rejects a request whose body length could be interpreted in two ways.

    Raises:
        ValueError: the length is ambiguous or the transfer coding is not
            supported. pywsgi then responds with 400 and closes the connection.
    """
    lengths = headers.get_all("Content-Length") or []
    codings = headers.get_all("Transfer-Encoding") or []
    if len(lengths) + len(codings) > 1 or any("," in each for each in lengths):
        raise ValueError("ambiguous body length")
    if any(each.strip().lower() != "chunked" for each in codings):
        raise ValueError("unknown transfer coding")


class _Handler(pywsgi.WSGIHandler):
    """Handler that exposes its socket and records whether it is busy."""

    server: "_WsgiServer"

    def MessageClass(self, *arguments: Any) -> Any:  # noqa: N802
        """Parses and checks the headers; pywsgi prescribes the name."""
        headers = super().MessageClass(*arguments)
        _reject_ambiguous_length(headers)
        return headers

    def handle(self) -> None:
        """Serves one connection until either side closes it."""
        self.server.handlers.add(self)
        self.busy = False
        self.finished = False
        try:
            super().handle()
        finally:
            self.server.handlers.discard(self)

    def read_requestline(self) -> Any:
        """Reads the request line; the handler is busy once it has arrived."""
        self.busy = False
        line = super().read_requestline()
        if self.finished:
            # The request crossed the half-close; its response can't be sent.
            return ""
        self.busy = bool(line)
        return line

    def handle_one_request(self) -> Any:
        """Serves one request; lingers if it is the last one."""
        result = super().handle_one_request()
        if result is None:
            self._linger()
        return result

    def is_idle(self) -> bool:
        """Returns whether no request is in progress or has arrived."""
        return not (self.busy or http1.has_input(self.socket))

    @property
    def has_output(self) -> bool:
        """Whether the caller's host has not received everything."""
        return http1.queued(self.socket).unsent_bytes > 0

    def finish(self) -> None:
        """Half-closes the connection; further requests are not served."""
        self.busy = False
        self.finished = True
        with contextlib.suppress(OSError):
            self.socket.shutdown(plain_socket.SHUT_WR)

    def _linger(self) -> None:
        """Half-closes the connection and waits until the caller closes it.

        A close here would reset it if the caller has sent anything more, and
        the caller would lose what it has not read.
        """
        self.finish()
        unsent_bytes = http1.queued(self.socket).unsent_bytes
        while True:
            with (
                contextlib.suppress(OSError, gevent.Timeout),
                gevent.Timeout(LINGER_S),
            ):
                while self.socket.recv(_DISCARD_BYTES):
                    pass
                return
            left_bytes = http1.queued(self.socket).unsent_bytes
            if left_bytes >= unsent_bytes:
                return
            unsent_bytes = left_bytes

    def get_environ(self) -> Environ:
        """Returns the WSGI environment with the socket added."""
        environ: Environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[_ABANDON_KEY] = self._abandon_body
        return environ

    def _abandon_body(self) -> None:
        """Closes the connection after the response without reading the body.

        Otherwise pywsgi would read the body of a refused request to its end,
        however long the caller takes to send it.
        """
        self.close_connection = True
        stream: Any = self.wsgi_input
        # Unless this is set, pywsgi reads the rest of any body, chunked or not.
        stream._chunked_input_error = True

    def start_response(
        self, status: str, headers: list[tuple[str, str]], exc_info: Any = None
    ) -> Any:
        """Adds `Connection: close` once connections are to be closed."""
        if self.server.closes_connections:
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def log_error(self, msg: str, *args: object) -> None:
        """Suppresses log lines about invalid requests, which get status 400."""

    def log_request(self) -> None:
        """Suppresses the access log of pywsgi."""


class _WsgiServer(pywsgi.WSGIServer):
    """WSGI server that tracks the handlers of its open connections."""

    def __init__(self, listener: Any, application: Application) -> None:
        self.handlers: set[_Handler] = set()
        self.closes_connections = False
        super().__init__(
            listener,
            application,
            log=None,
            error_log=None,
            handler_class=_Handler,
        )

    def finish_idle(self) -> bool:
        """Half-closes idle connections.

        Returns:
            Whether requests are in progress or responses on their way.
        """
        for handler in self.handlers:
            if not handler.finished and handler.is_idle():
                handler.finish()
        return any(
            not each.finished or each.has_output for each in self.handlers
        )


class Server:
    """HTTP server that runs a WSGI application on one address."""

    def __init__(self, host: str, port: int, application: Application) -> None:
        """Binds the address; `start` begins to accept connections."""
        listener = socket.socket(
            plain_socket.AF_INET6 if ":" in host else plain_socket.AF_INET
        )
        listener.setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_REUSEADDR, 1
        )
        # Accepted sockets inherit this option. The head and the body of a
        # response are sent separately. Without the option, the body would wait
        # for the client's delayed acknowledgement of the head.
        listener.setsockopt(
            plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1
        )
        listener.bind((host, port))
        listener.listen(_BACKLOG)
        self.port = int(listener.getsockname()[1])
        self._server = _WsgiServer(listener, application)

    def start(self) -> None:
        """Begins to accept connections."""
        self._server.start()

    def request_connection_close(self) -> None:
        """Adds `Connection: close` to all further responses."""
        self._server.closes_connections = True

    def stop(self, timeout_s: float) -> int:
        """Stops accepting, finishes requests in progress and closes.

        Lasts until callers have received all responses.

        Args:
            timeout_s: seconds to wait at most for that, but at least
                `KEEP_ALIVE_GRACE_S`. A lower value shortens only the period in
                which callers may still send requests.

        Returns:
            The number of requests that were cut off at the time-out.
        """
        server = self._server
        server.closes_connections = True
        server.stop_accepting()
        try:
            with gevent.Timeout(max(timeout_s, KEEP_ALIVE_GRACE_S)):
                gevent.sleep(min(KEEP_ALIVE_GRACE_S, timeout_s))
                while server.finish_idle():
                    gevent.sleep(_STOP_POLL_S)
        except gevent.Timeout:
            pass
        cut_off = sum(1 for each in server.handlers if each.busy)
        server.stop(timeout=0)
        return cut_off


def read_body(environ: Environ, max_bytes: int) -> bytes:
    """Returns the complete request body.

    Raises:
        BodyTooLargeError: the body exceeds `max_bytes`. If its length is
            declared, the error is raised before any of the body is read.
        BackendError: the caller closed the connection before the end of a body
            of declared length.
        OSError: a chunked body is malformed or ends early.
    """
    declared_length = environ.get("CONTENT_LENGTH") or ""
    stream = environ["wsgi.input"]
    if declared_length:
        length = int(declared_length)
        _check_size(environ, length, max_bytes)
        if length == 0:
            return b""
        body: bytes = stream.read(length)
        if len(body) < length:
            raise errors.BackendError(
                f"body ended after {len(body)} of {length} bytes",
                step="read",
                peer=str(environ.get("REMOTE_ADDR", "")),
                sent=False,
            )
        return body
    if "HTTP_TRANSFER_ENCODING" not in environ:
        return b""
    body = stream.read(max_bytes + 1)
    _check_size(environ, len(body), max_bytes)
    return body


def _check_size(environ: Environ, length: int, max_bytes: int) -> None:
    """Abandons a body that is too long.

    Raises:
        BodyTooLargeError: `length` exceeds `max_bytes`.
    """
    if length > max_bytes:
        environ[_ABANDON_KEY]()
        raise errors.BodyTooLargeError(
            f"request body of {length} bytes passes {max_bytes}", step="read"
        )


def header_pairs(environ: Environ) -> list[tuple[str, str]]:
    """Returns the headers except Content-Length, with lower-case names."""
    pairs: list[tuple[str, str]] = []
    for key, value in environ.items():
        if key.startswith("HTTP_"):
            pairs.append((key[5:].replace("_", "-").lower(), value))
    if environ.get("CONTENT_TYPE"):
        pairs.append(("content-type", environ["CONTENT_TYPE"]))
    return pairs


def json_response(
    start_response: StartResponse, status: str, value: object
) -> list[bytes]:
    """Starts a response with `value` as JSON and returns its body."""
    body = msgspec.json.encode(value)
    start_response(
        status,
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ],
    )
    return [body]
