"""Parsing of requests and responses."""

import unittest
from typing import Any
from typing import NamedTuple

from flamingolug import http1

_LIMITS = http1.MessageLimits(512, 64)


class RequestCase(NamedTuple):
    """Input bytes of a connection and the expected result."""

    data: bytes
    #: Methods of the requests that are complete.
    methods: tuple[bytes, ...]
    #: Status to reject the rest with, 0 for none.
    error_status: int


class RequestReaderTest(unittest.TestCase):
    """Valid, incomplete, oversized and malformed requests."""

    def test_result_is_the_same_at_any_chunk_size(self) -> None:
        get = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n"
        cases = {
            "one": RequestCase(get, (b"GET",), 0),
            "pipelined": RequestCase(get * 3, (b"GET",) * 3, 0),
            "incomplete": RequestCase(get[:-2], (), 0),
            "not http": RequestCase(b"\x16\x03\x01\x02\x00", (), 400),
            "head too large": RequestCase(
                b"GET / HTTP/1.1\r\nx: " + b"y" * 600 + b"\r\n\r\n", (), 431
            ),
            "body too large by its length": RequestCase(
                b"POST / HTTP/1.1\r\ncontent-length: 65\r\n\r\n", (), 413
            ),
            "body too large in chunks": RequestCase(
                b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
                b"41\r\n" + b"z" * 65 + b"\r\n0\r\n\r\n",
                (),
                413,
            ),
            "length and chunks together": RequestCase(
                b"POST / HTTP/1.1\r\ncontent-length: 4\r\n"
                b"transfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1",
                (),
                400,
            ),
            "two lengths": RequestCase(
                b"POST / HTTP/1.1\r\ncontent-length: 1\r\n"
                b"content-length: 2\r\n\r\nab",
                (),
                400,
            ),
            "valid before malformed": RequestCase(
                get + b"\x00\x01", (b"GET",), 400
            ),
        }
        for name, case in cases.items():
            for chunk_size in (1, 7, 4096):
                with self.subTest(name, chunk_size=chunk_size):
                    reader = http1.RequestReader(_LIMITS)
                    for start in range(0, len(case.data), chunk_size):
                        reader.feed(case.data[start : start + chunk_size])
                    methods = tuple(req.method for req in reader.ready)
                    self.assertEqual(methods, case.methods)
                    self.assertEqual(reader.error_status, case.error_status)

    # Guards against requests without end that no limit applied to, since the
    # parser reports a field only when it is complete.
    def test_bytes_without_end_are_refused(self) -> None:
        chunked = b"PUT / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        cases = {
            "empty lines": (b"", b"\r\n"),
            "target": (b"GET /", b"a"),
            "field name": (b"GET / HTTP/1.1\r\n", b"x"),
            "field value": (b"GET / HTTP/1.1\r\nx: ", b"y"),
            "fields": (b"GET / HTTP/1.1\r\n", b"x: y\r\n"),
            "chunk extension": (chunked + b"2;", b"e"),
            "trailer": (chunked + b"2\r\nok\r\n0\r\nx: ", b"y"),
            "trailers": (chunked + b"2\r\nok\r\n0\r\n", b"x: y\r\n"),
        }
        for name, (begin, repeated) in cases.items():
            for count in (1, 10, 100):
                with self.subTest(name, count=count):
                    reader = http1.RequestReader(_LIMITS)
                    reader.feed(b"GET /a HTTP/1.1\r\n\r\n" + begin)
                    fed_bytes = 0
                    while not reader.error_status and fed_bytes < 4096:
                        reader.feed(repeated * count)
                        fed_bytes += len(repeated) * count
                    self.assertEqual(reader.error_status, 431)
                    self.assertEqual(len(reader.ready), 1)

    def test_connection_headers_are_not_forwarded(self) -> None:
        headers = [
            (b"connection", b"keep-alive, x-hop"),
            (b"keep-alive", b"timeout=5"),
            (b"x-hop", b"1"),
            (b"te", b"trailers"),
            (b"accept", b"*/*"),
        ]
        self.assertEqual(
            http1.end_to_end_headers(headers), [(b"accept", b"*/*")]
        )


class ResponseCase(NamedTuple):
    """All input bytes of a connection and the expected result."""

    data: bytes
    bodies: tuple[bytes, ...]
    broken: bool


class ResponseReaderTest(unittest.TestCase):
    """Complete, truncated and malformed responses."""

    def test_result_is_the_same_at_any_chunk_size(self) -> None:
        with_length = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
        cases = {
            "with length": ResponseCase(with_length, (b"ok",), False),
            "truncated": ResponseCase(with_length[:-1], (), False),
            "chunked": ResponseCase(
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                b"2\r\nok\r\n0\r\n\r\n",
                (b"ok",),
                False,
            ),
            "chunked and truncated": ResponseCase(
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                b"2\r\nok\r\n",
                (),
                False,
            ),
            "without length": ResponseCase(
                b"HTTP/1.1 200 OK\r\n\r\nall of it", (b"all of it",), False
            ),
            "interim before final": ResponseCase(
                b"HTTP/1.1 100 Continue\r\n\r\n" + with_length, (b"ok",), False
            ),
            "two": ResponseCase(with_length * 2, (b"ok", b"ok"), False),
            "bytes after a response": ResponseCase(
                with_length + b"junk!", (b"ok",), True
            ),
            "not a response": ResponseCase(b"hello there\r\n", (), True),
        }
        for name, case in cases.items():
            for chunk_size in (1, 5, 4096):
                with self.subTest(name, chunk_size=chunk_size):
                    reader = http1.ResponseReader()
                    reader.expect(False)
                    for start in range(0, len(case.data), chunk_size):
                        reader.feed(case.data[start : start + chunk_size])
                    reader.finish()
                    bodies = tuple(each.body for each in reader.ready)
                    self.assertEqual(bodies, case.bodies)
                    self.assertEqual(reader.broken, case.broken)

    def test_head_response_has_no_body_and_is_not_reusable(self) -> None:
        reader = http1.ResponseReader()
        reader.expect(True)
        reader.feed(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n")
        response = reader.ready.popleft()
        self.assertEqual(response.body, b"")
        self.assertFalse(response.reusable)


class TrailerTest(unittest.TestCase):
    """Fields after a chunked body."""

    # Guards against an answer whose seal came in a trailer and counted as a
    # field of its head.
    def test_trailers_are_no_header_fields(self) -> None:
        message = (
            b"transfer-encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\nx-response-seal: s\r\n\r\n"
        )
        cases: dict[str, tuple[Any, bytes]] = {
            "response": (http1.ResponseReader(), b"HTTP/1.1 200 OK\r\n"),
            "request": (http1.RequestReader(_LIMITS), b"PUT / HTTP/1.1\r\n"),
        }
        for name, (reader, begin) in cases.items():
            with self.subTest(name):
                reader.feed(begin + message)
                received = reader.ready.popleft()
                self.assertEqual(received.body, b"ok")
                self.assertEqual(received.header(b"x-response-seal"), b"")
