"""Server side of HTTP/1.1 connections that carry few and small requests."""

import contextlib
import logging
from collections.abc import Callable

import gevent
from gevent import socket as gevent_socket

from flamingolug import telemetry
from flamingolug.http1 import _format
from flamingolug.http1 import _parse
from flamingolug.http1 import _stream

_LOGGER = logging.getLogger(__name__)
_READ_BYTES = 16384
#: Seconds after the last response in which the caller may close its side.
LINGER_S = 2.0
_LIMITS = _parse.MessageLimits(16384, 16 * 1024 * 1024)

#: Handles a request; returns status, headers and body of the response.
RequestHandler = Callable[[_parse.Request], tuple[int, _parse.Headers, bytes]]


def serve_connection(
    sock: gevent_socket.socket, peer: tuple[str, int], handle: RequestHandler
) -> None:
    """Serves the requests of one connection sequentially."""
    reader = _parse.RequestReader(_LIMITS)
    stream: _stream.Stream | None = None
    try:
        stream = _stream.Stream(sock)
        while True:
            data = stream.recv(_READ_BYTES)
            if not data:
                return
            reader.feed(data)
            while reader.ready:
                req = reader.ready.popleft()
                status, headers, body = handle(req)
                close = not req.keep_alive
                stream.send_all(
                    _format.format_response(status, headers, body, close)
                )
                if close:
                    _linger(stream)
                    return
            if reader.error_status:
                stream.send_all(
                    _format.format_response(reader.error_status, [], b"", True)
                )
                _linger(stream)
                return
    except OSError as exc:
        telemetry.event(
            _LOGGER,
            "http.connection_lost",
            level=logging.DEBUG,
            peer=f"{peer[0]}:{peer[1]}",
            error=exc,
        )
    finally:
        reader.discard()
        if stream is not None:
            stream.close()


def _linger(stream: _stream.Stream) -> None:
    """Half-closes a connection and waits until the caller closes its side.

    A close while there is unread input would reset the connection, and the
    caller might lose the last response.
    """
    stream.shutdown_write()
    with contextlib.suppress(gevent.Timeout), gevent.Timeout(LINGER_S):
        while stream.recv(_READ_BYTES):
            pass
