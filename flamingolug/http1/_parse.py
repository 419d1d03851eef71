"""Incremental readers of requests and responses, on httptools."""

from collections import deque
from typing import NamedTuple

import httptools

from flamingolug import errors

#: Names are lower case; order and repetition are kept.
Headers = list[tuple[bytes, bytes]]

#: Headers that concern one connection and are never forwarded.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"proxy-authenticate",
        b"proxy-authorization",
    )
)
#: Statuses whose responses have neither a body nor a length.
NO_BODY = (204, 304)


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers that may be forwarded to another connection."""
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    if not named:
        return [pair for pair in headers if pair[0] not in CONNECTION_HEADERS]
    return [
        pair
        for pair in headers
        if pair[0] not in CONNECTION_HEADERS and pair[0] not in named
    ]


class MessageLimits(NamedTuple):
    """How large a message may be."""

    header_bytes: int
    body_bytes: int


class Request(NamedTuple):
    """One whole request."""

    method: bytes
    #: Path and query as sent.
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool

    def header(self, name: bytes) -> bytes:
        """Returns the first value of `name`, empty if there is none."""
        return _first(self.headers, name)


class Response(NamedTuple):
    """One whole response."""

    status: int
    headers: Headers
    body: bytes
    #: Whether the connection may carry another request.
    reusable: bool

    def header(self, name: bytes) -> bytes:
        """Returns the first value of `name`, empty if there is none."""
        return _first(self.headers, name)


def _first(headers: Headers, name: bytes) -> bytes:
    for known, value in headers:
        if known == name:
            return value
    return b""


class RequestReader:
    """Turns the bytes of one client connection into requests.

    `status` is set to a 4xx once the bytes can't be read any further; the
    requests before that point stay in `ready`.
    """

    def __init__(self, limits: MessageLimits) -> None:
        """Starts at the beginning of a connection."""
        self.ready: deque[Request] = deque()
        #: Status to answer with after the requests in `ready`, 0 if none.
        self.status = 0
        #: Whether the client waits for `100 Continue`.
        self.wants_continue = False
        #: Whether a request has begun and is not complete.
        self.partial = False
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    def feed(self, data: bytes) -> None:
        """Takes in bytes from the connection."""
        if self.status:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.status = 400
        except httptools.HttpParserError:
            self.status = self.status or 400

    def on_message_begin(self) -> None:
        """Begins a request."""
        self._reset()
        self.partial = True

    def on_url(self, url: bytes) -> None:
        """Takes in a part of the target."""
        self._target += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes in a header field."""
        self._count(len(name) + len(value) + 4)
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Looks at what the head says of the body."""
        length = _first(self._headers, b"content-length")
        if length.isdigit() and int(length) > self._limits.body_bytes:
            self._fail(413)
        if _first(self._headers, b"expect").lower() == b"100-continue":
            self.wants_continue = True

    def on_body(self, data: bytes) -> None:
        """Takes in a part of the body."""
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            self._fail(413)

    def on_message_complete(self) -> None:
        """Hands over the request."""
        self.partial = False
        self.wants_continue = False
        if self.status:
            return
        body = self._body
        self.ready.append(
            Request(
                self._parser.get_method(),
                self._target,
                self._headers,
                body[0] if len(body) == 1 else b"".join(body),
                self._parser.should_keep_alive(),
            )
        )

    def _count(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.header_bytes:
            self._fail(431)

    def _fail(self, status: int) -> None:
        self.status = status
        raise errors.CodecError(f"request refused with {status}")

    def _reset(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0


class ResponseReader:
    """Turns the bytes of an upstream connection into responses.

    Attributes:
        ready: whole responses, in the order of their arrival.
        partial: whether a response has begun and is not whole.
        broken: whether the bytes behind `ready` are not a response.
    """

    def __init__(self) -> None:
        """Starts at the beginning of a connection."""
        self.ready: deque[Response] = deque()
        self.partial = False
        self.broken = False
        self._parser = httptools.HttpResponseParser(self)
        self._head_request = False
        self._ended = False
        self._clear()

    def expect(self, head: bool) -> None:
        """Prepares for the response to a request.

        Args:
            head: whether the request's method was HEAD.
        """
        self._head_request = head

    def feed(self, data: bytes) -> None:
        """Takes in bytes from the connection."""
        if self._ended:
            self.broken = True
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.broken = True

    def finish(self) -> None:
        """Notes an orderly end, which completes a body without length."""
        if self.partial and self._in_body and not self._framed:
            self._complete(reusable=False)

    def on_message_begin(self) -> None:
        """Begins a response."""
        self._clear()
        self.partial = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes in a header field."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Looks at how the body is framed."""
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        self._in_body = True
        self._framed = self._status in NO_BODY or any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        if self._head_request:
            # The parser would take what follows for the body.
            self._complete(reusable=False)
            self._ended = True

    def on_body(self, data: bytes) -> None:
        """Takes in a part of the body."""
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Ends a response; an interim one is dropped."""
        if not self.partial or self._status < 200:
            self._clear()
            return
        self._complete(self._framed and self._parser.should_keep_alive())

    def _complete(self, reusable: bool) -> None:
        body = self._body
        self.ready.append(
            Response(
                self._status,
                self._headers,
                body[0] if len(body) == 1 else b"".join(body),
                reusable,
            )
        )
        self.partial = False

    def _clear(self) -> None:
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._framed = False
        self._in_body = False
        self._status = 0
