"""An HTTP client with a connection pool, and a WSGI server."""

from flamingolug.web._client import Pool
from flamingolug.web._client import Response
from flamingolug.web._client import send_request
from flamingolug.web._server import Environ
from flamingolug.web._server import header_pairs
from flamingolug.web._server import json_response
from flamingolug.web._server import KEEP_ALIVE_GRACE_S
from flamingolug.web._server import read_body
from flamingolug.web._server import Server
from flamingolug.web._server import StartResponse

__all__ = [
    "KEEP_ALIVE_GRACE_S",
    "Environ",
    "Pool",
    "Response",
    "Server",
    "StartResponse",
    "header_pairs",
    "json_response",
    "read_body",
    "send_request",
]
