"""Client side of connections: limits on what a server may send."""

import gc
import tracemalloc
import unittest
import weakref
from typing import Any

import gevent
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from flamingolug import errors
from flamingolug import http1

_MIB = 1024 * 1024
_MAX_BYTES = 8 * _MIB
_LARGEST_BYTES = 64 * _MIB
#: What the kernel may buffer on a loopback connection.
_KERNEL_BYTES = 12 * _MIB
_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n"


class EndlessServer:
    """Sends a beginning, then the same bytes until the connection ends."""

    def __init__(self, begin: bytes, repeated: bytes) -> None:
        """Starts listening on a free loopback port."""
        self.sent_bytes = 0
        self._begin = begin
        self._repeated = repeated * (65536 // len(repeated) + 1)
        listener = http1.listen("127.0.0.1", 0)
        self._port: int = listener.getsockname()[1]
        self._server = gevent_server.StreamServer(listener, self._serve)
        self._server.start()

    def connect(self) -> http1.Connection:
        """Opens a connection and sends a request on it."""
        conn = http1.open_connection("127.0.0.1", self._port, 1.0)
        conn.send(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        return conn

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop(timeout=0)

    def _serve(self, sock: gevent_socket.socket, peer: object) -> None:
        del peer
        try:
            sock.recv(65536)
            sock.sendall(self._begin)
            while True:
                sock.sendall(self._repeated)
                self.sent_bytes += len(self._repeated)
        except OSError:
            return
        finally:
            sock.close()


class EndlessResponseTest(unittest.TestCase):
    """A server that sends without end."""

    # Guards against a head, interim responses, chunk headers or trailers
    # without end, which were read up to the limit of a body or beyond.
    def test_bytes_without_end_are_refused_after_the_limit(self) -> None:
        interim = b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
        cases = {
            "empty lines": (b"\r\n", b"\r\n", 0),
            "status line": (b"HTTP/1.1 200 ", b"O", 0),
            "field name": (_HEAD, b"x", 0),
            "field value": (_HEAD + b"x: ", b"y", 0),
            "fields": (_HEAD, b"x: y\r\n", 0),
            "short fields": (_HEAD, b"x:\r\n", 0),
            "interim": (interim, interim, 0),
            "chunk extension": (_CHUNKED + b"2;", b"e", 0),
            "trailer": (_CHUNKED + b"2\r\nok\r\n0\r\nx: ", b"y", 0),
            "trailers": (_CHUNKED + b"2\r\nok\r\n0\r\n", b"x: y\r\n", 0),
            "body without length": (_HEAD + b"\r\n", b"z", _MAX_BYTES),
            "body with length": (
                _HEAD + b"content-length: 99999999999\r\n\r\n",
                b"z",
                _MAX_BYTES,
            ),
            "small chunks": (_CHUNKED, b"2\r\nok\r\n", 0),
            "chunks": (_CHUNKED, b"8\r\n--ok--ok\r\n", _MAX_BYTES),
        }
        for name, (begin, repeated, read_bytes) in cases.items():
            with self.subTest(name):
                server = EndlessServer(begin, repeated)
                conn = server.connect()
                with (
                    gevent.Timeout(20.0),
                    self.assertRaises(errors.ResponseTooLargeError),
                ):
                    conn.receive(False, read_bytes or _LARGEST_BYTES)
                conn.close()
                server.stop()
                self.assertLess(server.sent_bytes, read_bytes + _KERNEL_BYTES)

    def test_limit_holds_for_all_responses_to_one_request(self) -> None:
        foreign = _HEAD + b"content-length: 1000\r\n\r\n" + b"z" * 1000
        server = EndlessServer(foreign, foreign)
        self.addCleanup(server.stop)
        conn = server.connect()
        self.addCleanup(conn.close)
        received = 0
        with self.assertRaises(errors.ResponseTooLargeError):
            while received < 4 * _MAX_BYTES:
                received += len(conn.receive(False, _MAX_BYTES).body)
        self.assertLess(received, 2 * _MAX_BYTES)

    def test_largest_of_too_many_incomplete_responses_is_refused(self) -> None:
        server = EndlessServer(b"", b"z")
        self.addCleanup(server.stop)
        large, small = server.connect(), server.connect()
        memory = http1.ResponseMemory(_MIB)
        memory.add(large, _MIB - 1)
        memory.add(small, 2)
        self.assertEqual((large.closed, small.closed), (True, False))
        self.assertEqual(memory.held_bytes, 2)
        small.close()

    def test_bytes_after_a_response_are_not_read(self) -> None:
        response = _HEAD + b"content-length: 2\r\n\r\nok"
        server = EndlessServer(response, b"z")
        self.addCleanup(server.stop)
        conn = server.connect()
        self.assertEqual(conn.receive(False, _MAX_BYTES).body, b"ok")
        gevent.sleep(0.1)
        self.assertFalse(conn.is_clean())
        self.assertLess(server.sent_bytes, _KERNEL_BYTES)
        conn.close()

    # Guards against closed connections whose parsers, which are in a reference
    # cycle, kept the bytes of a refused response until a collection.
    def test_closed_connection_frees_what_it_received(self) -> None:
        server = EndlessServer(_HEAD + b"\r\n", b"z")
        self.addCleanup(server.stop)
        conn = server.connect()
        reader = weakref.ref(conn._reader)
        gc.disable()
        self.addCleanup(gc.enable)
        with self.assertRaises(errors.ResponseTooLargeError):
            conn.receive(False, _MIB)
        conn.close()
        del conn
        self.assertIsNone(reader())

    # Guards against idle connections that kept their last message.
    def test_idle_connection_holds_no_message(self) -> None:
        length = b"content-length: %d\r\n\r\n" % _MIB
        cases: dict[str, tuple[Any, bytes]] = {
            "response": (http1.ResponseReader(), _HEAD),
            "request": (
                http1.RequestReader(http1.MessageLimits(1024, _MIB)),
                b"PUT / HTTP/1.1\r\n",
            ),
        }
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for name, (reader, begin) in cases.items():
            with self.subTest(name):
                reader.feed(begin + length + b"z")
                reader.feed(b"z" * (_MIB - 1))
                self.assertEqual(len(reader.ready.popleft().body), _MIB)
                self.assertLess(tracemalloc.get_traced_memory()[0], _MIB / 2)

    # Guards against bodies in small chunks that took many times their size.
    def test_small_chunks_take_no_more_than_the_received_bytes(self) -> None:
        chunked = b"transfer-encoding: chunked\r\n\r\n"
        cases: dict[str, tuple[Any, bytes]] = {
            "response": (http1.ResponseReader(), _HEAD),
            "request": (
                http1.RequestReader(http1.MessageLimits(1024, _MIB)),
                b"PUT / HTTP/1.1\r\n",
            ),
        }
        for name, (reader, begin) in cases.items():
            with self.subTest(name):
                chunks = b"2\r\nok\r\n" * (_MIB // 7)
                tracemalloc.start()
                reader.feed(begin + chunked)
                reader.feed(chunks)
                held_bytes = tracemalloc.get_traced_memory()[0]
                tracemalloc.stop()
                self.assertLess(held_bytes, _MIB)
                reader.feed(b"0\r\n\r\n")
                body = reader.ready.popleft().body
                self.assertEqual(body, b"ok" * (_MIB // 7))
