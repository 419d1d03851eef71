"""HTTP/1.1 over non-blocking sockets in gevent's event loop."""

from flamingolug.http1._client import Connection
from flamingolug.http1._client import open_connection
from flamingolug.http1._client import open_stream
from flamingolug.http1._client import ResponseMemory
from flamingolug.http1._format import format_request
from flamingolug.http1._format import format_response
from flamingolug.http1._parse import CONNECTION_HEADERS
from flamingolug.http1._parse import end_to_end_headers
from flamingolug.http1._parse import Headers
from flamingolug.http1._parse import MessageLimits
from flamingolug.http1._parse import Request
from flamingolug.http1._parse import RequestReader
from flamingolug.http1._parse import Response
from flamingolug.http1._parse import ResponseReader
from flamingolug.http1._server import RequestHandler
from flamingolug.http1._server import serve_connection
from flamingolug.http1._stream import has_input
from flamingolug.http1._stream import listen
from flamingolug.http1._stream import Queued
from flamingolug.http1._stream import queued
from flamingolug.http1._stream import Stream

__all__ = [
    "CONNECTION_HEADERS",
    "Connection",
    "Headers",
    "MessageLimits",
    "Queued",
    "Request",
    "RequestHandler",
    "RequestReader",
    "Response",
    "ResponseMemory",
    "ResponseReader",
    "Stream",
    "end_to_end_headers",
    "format_request",
    "format_response",
    "has_input",
    "listen",
    "open_connection",
    "open_stream",
    "queued",
    "serve_connection",
]
