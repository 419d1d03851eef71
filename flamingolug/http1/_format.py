"""Formats requests and responses as bytes."""

from flamingolug.http1 import _parse

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def format_request(
    method: bytes, target: bytes, headers: _parse.Headers, body: bytes
) -> bytes:
    """Returns a request, with content-length if it may have a body."""
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if body or method in (b"POST", b"PUT", b"PATCH"):
        parts += (b"content-length: ", str(len(body)).encode(), b"\r\n")
    parts += (b"\r\n", body)
    return b"".join(parts)


def format_response(
    status: int,
    headers: _parse.Headers,
    body: bytes,
    close: bool,
    is_head_request: bool = False,
) -> bytes:
    """Returns a response.

    Args:
        status: status code.
        headers: end-to-end headers.
        body: the whole body.
        close: whether the connection is closed after the response.
        is_head_request: whether it answers a HEAD request and thus has no body.
    """
    reason = _REASONS.get(status, b"")
    parts = [b"HTTP/1.1 ", str(status).encode(), b" ", reason, b"\r\n"]
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
    if status not in _parse.NO_BODY:
        parts += (b"content-length: ", str(len(body)).encode(), b"\r\n")
    if close:
        parts.append(b"connection: close\r\n")
    parts.append(b"\r\n")
    if not is_head_request and status not in _parse.NO_BODY:
        parts.append(body)
    return b"".join(parts)
