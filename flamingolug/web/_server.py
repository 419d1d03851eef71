"""HTTP server on gevent.pywsgi with orderly stop and body limits."""

import socket as plain_socket
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import gevent
import msgspec
from gevent import pywsgi
from gevent import socket

from flamingolug import errors

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

_BACKLOG = 1024
#: Key of the environment under which the client's socket is found.
SOCKET_KEY = "flamingolug.socket"
_ABANDON_KEY = "flamingolug.abandon-body"
#: Seconds between looks at whether requests are still in progress.
_STOP_POLL_S = 0.02
#: Seconds in which callers may still use connections that they keep open.
KEEP_ALIVE_GRACE_S = 1.0


def _refuse_ambiguous(headers: Any) -> None:
    """Refuses a body length that can be read in two ways.

    Raises:
        ValueError: the library answers 400 and closes the connection.
    """
    lengths = headers.get_all("Content-Length") or []
    codings = headers.get_all("Transfer-Encoding") or []
    if len(lengths) + len(codings) > 1 or any("," in each for each in lengths):
        raise ValueError("ambiguous body length")
    if any(each.strip().lower() != "chunked" for each in codings):
        raise ValueError("unknown transfer coding")


class _Handler(pywsgi.WSGIHandler):
    """Handler that shares its socket and knows whether it is idle."""

    server: "_WsgiServer"

    def MessageClass(self, *arguments: Any) -> Any:  # noqa: N802
        """Reads the headers; the library's name for it."""
        headers = super().MessageClass(*arguments)
        _refuse_ambiguous(headers)
        return headers

    def handle(self) -> None:
        """Serves one connection until either side ends it."""
        self.server.handlers.add(self)
        self.busy = False
        try:
            super().handle()
        finally:
            self.server.handlers.discard(self)

    def read_requestline(self) -> Any:
        """Reads the first line; the connection counts as busy after it."""
        self.busy = False
        line = super().read_requestline()
        self.busy = bool(line)
        return line

    def get_environ(self) -> Environ:
        """Returns the WSGI environment with the socket added."""
        environ: Environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[_ABANDON_KEY] = self._abandon_body
        return environ

    def _abandon_body(self) -> None:
        """Closes the connection after the answer, the body left unread.

        The library would else read a refused body to its end, however long
        the caller takes to send it.
        """
        self.close_connection = True
        stream: Any = self.wsgi_input
        stream._chunked_input_error = True

    def start_response(
        self, status: str, headers: list[tuple[str, str]], exc_info: Any = None
    ) -> Any:
        """Asks the caller to close the connection while stopping."""
        if self.server.stopping:
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def log_error(self, msg: str, *args: object) -> None:
        """Drops the library's own error lines; answers carry the error."""

    def log_request(self) -> None:
        """Drops the library's access log."""


class _WsgiServer(pywsgi.WSGIServer):
    """WSGI server that tracks its handlers."""

    def __init__(self, listener: Any, application: Application) -> None:
        self.handlers: set[_Handler] = set()
        self.stopping = False
        super().__init__(
            listener,
            application,
            log=None,
            error_log=None,
            handler_class=_Handler,
        )


class Server:
    """HTTP server on one address."""

    def __init__(self, host: str, port: int, application: Application) -> None:
        """Binds the address; `start` begins to accept."""
        listener = socket.socket(
            plain_socket.AF_INET6 if ":" in host else plain_socket.AF_INET
        )
        listener.setsockopt(
            plain_socket.SOL_SOCKET, plain_socket.SO_REUSEADDR, 1
        )
        # Accepted sockets inherit it. Without it the head and the body of a
        # response, sent apart, wait for the client's delayed acknowledgement.
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

    def announce_stop(self) -> None:
        """Asks callers, with each further answer, to close connections."""
        self._server.stopping = True

    def stop(self, timeout_s: float) -> int:
        """Stops accepting, finishes what is in progress, closes the rest.

        Returns:
            The number of requests that were cut off at the timeout.
        """
        server = self._server
        server.stopping = True
        server.stop_accepting()
        try:
            with gevent.Timeout(max(timeout_s, KEEP_ALIVE_GRACE_S)):
                gevent.sleep(min(KEEP_ALIVE_GRACE_S, timeout_s))
                while any(each.busy for each in server.handlers):
                    gevent.sleep(_STOP_POLL_S)
        except gevent.Timeout:
            pass
        cut_off = sum(1 for each in server.handlers if each.busy)
        server.stop(timeout=0)
        return cut_off


def read_body(environ: Environ, max_bytes: int) -> bytes:
    """Returns the whole request body.

    Raises:
        BodyTooLargeError: it is longer than `max_bytes`; a declared length
            is refused before any of it is read.
        BackendError: the caller closed before the end.
    """
    declared = environ.get("CONTENT_LENGTH") or ""
    stream = environ["wsgi.input"]
    if declared:
        length = int(declared)
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
    """Raises BodyTooLargeError when `length` passes `max_bytes`."""
    if length > max_bytes:
        environ[_ABANDON_KEY]()
        raise errors.BodyTooLargeError(
            f"request body of {length} bytes passes {max_bytes}", step="read"
        )


def header_pairs(environ: Environ) -> list[tuple[str, str]]:
    """Returns the request headers with names in lower case."""
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
    """Answers with `value` as JSON."""
    body = msgspec.json.encode(value)
    start_response(
        status,
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ],
    )
    return [body]
