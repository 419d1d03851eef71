"""Incremental parsers of requests and responses, based on httptools."""

from collections import deque
from typing import Any
from typing import NamedTuple

import httptools

from flamingolug import errors

#: Names are in lower case; order and repeated fields are preserved.
Headers = list[tuple[bytes, bytes]]

#: Headers that are never forwarded: they apply to a single connection, or are
#: written anew (content-length).
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
#: Statuses that HTTP has; the parser accepts any three digits.
STATUSES = range(100, 600)
#: Maximum number of bytes outside the bodies of all responses to one request,
#: interim ones included.
MAX_RESPONSE_HEAD_BYTES = 128 * 1024
#: Maximum number of bytes by which the chunk headers of one response exceed its
#: body. Small chunks take much processor time for their size.
MAX_CHUNK_OVERHEAD_BYTES = 32 * 1024
#: Maximum number of header fields of one response. A short field takes many
#: times its size in memory.
MAX_RESPONSE_FIELDS = 512


def end_to_end_headers(headers: Headers) -> Headers:
    """Returns the headers that may be forwarded to another connection."""
    listed: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            listed.update(part.strip().lower() for part in value.split(b","))
    if not listed:
        return [pair for pair in headers if pair[0] not in CONNECTION_HEADERS]
    return [
        pair
        for pair in headers
        if pair[0] not in CONNECTION_HEADERS and pair[0] not in listed
    ]


class MessageLimits(NamedTuple):
    """Maximum sizes of a message."""

    header_bytes: int
    body_bytes: int


class Request(NamedTuple):
    """A complete request."""

    method: bytes
    #: Path and query as sent.
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool

    def header(self, name: bytes) -> bytes:
        """Returns the first value of `name`, empty if there is none."""
        return _first_value(self.headers, name)


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: Headers
    body: bytes
    #: Whether the connection may carry another request.
    reusable: bool

    def header(self, name: bytes) -> bytes:
        """Returns the first value of `name`, empty if there is none."""
        return _first_value(self.headers, name)


def _first_value(headers: Headers, name: bytes) -> bytes:
    for field_name, value in headers:
        if field_name == name:
            return value
    return b""


def _append(body: bytes | bytearray, data: bytes) -> bytes | bytearray:
    """Returns a body with `data` added, in one buffer.

    A list of parts would take many times the size of small parts.
    """
    if not body:
        return data
    if isinstance(body, bytes):
        body = bytearray(body)
    body += data
    return body


class RequestReader:
    """Parses the bytes of a connection accepted from a client into requests.

    `error_status` is set to a 4xx status when the input is malformed, exceeds a
    limit, or requests an upgrade or a tunnel. The requests completed before
    remain in `ready`, also the one that requests an upgrade or a tunnel.
    """

    def __init__(self, limits: MessageLimits) -> None:
        """Starts at the beginning of a connection."""
        self.ready: deque[Request] = deque()
        #: Status of the error to answer with after the requests in `ready`, 0
        #: if none.
        self.error_status = 0
        #: Whether the client waits for `100 Continue`.
        self.wants_continue = False
        #: Whether a request has begun and is incomplete.
        self.partial = False
        self._limits = limits
        #: Whether the data that is being parsed begins a request, completes a
        #: head or a request, or has a part of a body.
        self._progressed = False
        #: Bytes received since data did so last. The parser reports a field
        #: only when it is complete, and no chunk headers.
        self._stalled_bytes = 0
        self._body: bytes | bytearray = b""
        self._parser: Any = httptools.HttpRequestParser(self)
        self._reset()

    def feed(self, data: bytes) -> None:
        """Parses bytes received from the connection."""
        if self.error_status:
            return
        self._progressed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.error_status = 400
        except httptools.HttpParserError:
            self.error_status = self.error_status or 400
        if self._progressed:
            self._stalled_bytes = 0
            return
        self._stalled_bytes += len(data)
        if self._stalled_bytes > self._limits.header_bytes:
            self.error_status = self.error_status or 431

    def discard(self) -> None:
        """Drops what is held; bytes received later are ignored."""
        self.error_status = self.error_status or 400
        self.ready.clear()
        self.partial = False
        self._reset()
        # The parser refers to this reader. Without the cycle, both are freed
        # at once.
        self._parser = None

    def on_message_begin(self) -> None:
        """Starts a new request."""
        self._reset()
        self._progressed = True
        self.partial = True

    def on_url(self, url: bytes) -> None:
        """Stores a part of the request target."""
        self._target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field; trailers are discarded."""
        self._count_head_bytes(len(name) + len(value) + 4)
        if not self._in_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Checks the declared body length and the `Expect` header."""
        self._progressed = True
        self._in_body = True
        length = _first_value(self._headers, b"content-length")
        if length.isdigit() and int(length) > self._limits.body_bytes:
            self._reject(413)
        if _first_value(self._headers, b"expect").lower() == b"100-continue":
            self.wants_continue = True

    def on_body(self, data: bytes) -> None:
        """Stores a part of the body."""
        self._progressed = True
        self._body = _append(self._body, data)
        if len(self._body) > self._limits.body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Appends the complete request to `ready`."""
        self._progressed = True
        self.partial = False
        self.wants_continue = False
        if self.error_status:
            return
        self.ready.append(
            Request(
                self._parser.get_method(),
                self._target,
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
            )
        )
        # An idle connection holds no request.
        self._reset()

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.header_bytes:
            self._reject(431)

    def _reject(self, status: int) -> None:
        self.error_status = status
        # Stops the parser, which raises HttpParserCallbackError, a subclass of
        # HttpParserError, in `feed`.
        raise errors.CodecError(f"request refused with {status}")

    def _reset(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body = b""
        self._head_bytes = 0
        self._in_body = False


class ResponseReader:
    """Parses the bytes of a connection to a server into responses.

    Attributes:
        ready: complete responses, in the order of their arrival.
        partial: whether a response has begun and is incomplete.
        broken: whether bytes were received that belong to no valid response.
        excess: which limit the responses to a request exceed, empty if none.
    """

    def __init__(self) -> None:
        """Starts at the beginning of a connection."""
        self.ready: deque[Response] = deque()
        self.partial = False
        self.broken = False
        self.excess = ""
        self._body: bytes | bytearray = b""
        self._parser: Any = httptools.HttpResponseParser(self)
        self._is_head_request = False
        #: Bytes outside bodies since the last request.
        self._head_bytes = 0
        #: Bytes of chunk headers and trailers, in total and since the last
        #: body data.
        self._framing_bytes = 0
        self._stalled_bytes = 0
        #: Body bytes in the data that is being parsed.
        self._fed_body_bytes = 0
        #: Whether a HEAD request was answered; no further response is accepted.
        self._head_answered = False
        self._reset()

    def start_exchange(self) -> None:
        """Starts to count the responses to a new request."""
        self._head_bytes = 0

    def discard(self) -> None:
        """Drops what is held; bytes received later are ignored."""
        self.broken = True
        self.ready.clear()
        self._reset()
        self._parser = None  # See `RequestReader.discard`.

    def expect(self, is_head_request: bool) -> None:
        """Prepares for the response to a request.

        Args:
            is_head_request: whether the request's method was HEAD.
        """
        self._is_head_request = is_head_request

    def feed(self, data: bytes) -> None:
        """Parses bytes received from the connection."""
        if self._head_answered or self.broken:
            self.broken = True
            return
        was_in_body = self.partial and self._in_body
        self._fed_body_bytes = 0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.broken = True
        self._count(len(data) - self._fed_body_bytes, was_in_body)

    def finish(self) -> None:
        """Handles the end of the stream.

        It completes a body of undeclared length.
        """
        if self.partial and self._in_body and not self._framed:
            self._complete(reusable=False)

    def on_message_begin(self) -> None:
        """Starts a new response."""
        self._reset()
        self.partial = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field; trailers are discarded."""
        if self._in_body:
            return
        self._headers.append((name.lower(), value))
        if len(self._headers) > MAX_RESPONSE_FIELDS:
            self.excess = "too many header fields"
            # Stops the parser, see `RequestReader._reject`.
            raise errors.CodecError(self.excess)

    def on_headers_complete(self) -> None:
        """Determines how the body is framed."""
        self._status = self._parser.get_status_code()
        if self._status not in STATUSES:
            # Stops the parser, see `RequestReader._reject`.
            raise errors.CodecError(f"status {self._status}")
        if self._status < 200:
            return
        self._in_body = True
        self._framed = self._status in NO_BODY or any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        if self._is_head_request:
            # The parser would treat the bytes that follow as the body.
            self._complete(reusable=False)
            self._head_answered = True

    def on_body(self, data: bytes) -> None:
        """Stores a part of the body."""
        self._body = _append(self._body, data)
        self._fed_body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Completes a response; interim (1xx) responses are discarded."""
        if not self.partial or self._status < 200:
            self._reset()
            return
        self._complete(self._framed and self._parser.should_keep_alive())

    def _count(self, size: int, was_in_body: bool) -> None:
        """Counts the bytes outside bodies in the data that was parsed."""
        if not was_in_body:
            self._head_bytes += size
        else:
            self._framing_bytes += size
            self._stalled_bytes += size
            if self._fed_body_bytes:
                self._stalled_bytes = 0
        overhead = self._framing_bytes - len(self._body)
        if self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
            self.excess = "head too large"
        elif self._stalled_bytes > MAX_RESPONSE_HEAD_BYTES:
            self.excess = "chunk header or trailers too large"
        elif overhead > MAX_CHUNK_OVERHEAD_BYTES:
            self.excess = "chunk headers larger than the body"

    def _complete(self, reusable: bool) -> None:
        self.ready.append(
            Response(
                self._status,
                self._headers,
                bytes(self._body),
                reusable,
            )
        )
        self.partial = False
        # An idle connection holds no response.
        self._reset()

    def _reset(self) -> None:
        self._headers: Headers = []
        self._body = b""
        self._framing_bytes = 0
        self._stalled_bytes = 0
        #: Whether the status or the headers determine where the body ends.
        self._framed = False
        self._in_body = False
        self._status = 0
