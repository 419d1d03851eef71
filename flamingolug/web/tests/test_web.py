"""Tests of the HTTP client and the HTTP server."""

import signal
import socket as plain_socket
import subprocess
import sys
import time
import unittest
from collections.abc import Iterable
from typing import Any

import gevent
from gevent import server
from gevent import socket

from flamingolug import errors
from flamingolug import http1
from flamingolug import web

_HOST = "127.0.0.1"
_MAX_BODY_BYTES = 1_000
_TIMEOUT_S = 10.0
_BROKEN_RESPONSES = {
    "truncated body": b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
    "no response": b"",
    "not HTTP": b"hello\r\n\r\n",
    "status that HTTP does not have": (
        b"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok"
    ),
    "interim status that HTTP does not have": (
        b"HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    ),
    "truncated chunk": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"
    ),
}
_REJECTED_HEADERS = {
    "two lengths": b"Content-Length: 1\r\nContent-Length: 2\r\n",
    "list of lengths": b"Content-Length: 1, 2\r\n",
    "length and chunked coding": (
        b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"
    ),
    "unknown coding": b"Transfer-Encoding: gzip\r\n",
    "negative length": b"Content-Length: -1\r\n",
    "length that is no number": b"Content-Length: x\r\n",
}


def _echo(
    environ: web.Environ, start_response: web.StartResponse
) -> Iterable[bytes]:
    try:
        body = web.read_body(environ, _MAX_BODY_BYTES)
    except errors.BodyTooLargeError:
        start_response("413 Too Large", [("Content-Length", "0")])
        return [b""]
    if environ["PATH_INFO"] == "/slow":
        gevent.sleep(0.2)
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#: Beginnings of responses, and bytes that follow them without end.
_ENDLESS_RESPONSES = {
    "field": (b"HTTP/1.1 200 OK\r\nx: ", b"y"),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n"),
    "interim": (b"", _INTERIM),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"z"),
    "chunk extension": (_CHUNKED + b"2;", b"e"),
    "trailer": (_CHUNKED + b"2\r\nok\r\n0\r\nx: ", b"y"),
}


class ClientTest(unittest.TestCase):
    def _start_server(
        self, data: bytes, repeated: bytes = b"", delayed: bytes = b""
    ) -> web.Pool:
        """Starts a server that sends `data` and closes each connection.

        Sends `delayed` a little later. If there are bytes to repeat, sends
        them until the client closes.

        Returns:
            A client pool for the server.
        """

        def serve(sock: Any, address: object) -> None:
            del address
            self.request_count += 1
            sock.recv(65_536)
            sock.sendall(data)
            if delayed:
                gevent.sleep(0.05)
                sock.sendall(delayed)
            try:
                while repeated:
                    sock.sendall(repeated * (65_536 // len(repeated)))
                    self.sent_bytes += 65_536
            except OSError:
                pass
            sock.close()

        self.sent_bytes = 0
        self.request_count = 0
        listener = server.StreamServer((_HOST, 0), serve)
        listener.start()
        self.addCleanup(listener.stop)
        return web.Pool(_HOST, int(listener.server_port or 0))

    def test_broken_response_raises_error_and_request_is_sent_once(
        self,
    ) -> None:
        for name, data in _BROKEN_RESPONSES.items():
            with self.subTest(name):
                pool = self._start_server(data)
                with self.assertRaises(errors.BackendError) as caught:
                    web.send_request(
                        pool,
                        "POST",
                        "/",
                        timeout_s=_TIMEOUT_S,
                        max_body_bytes=_MAX_BODY_BYTES,
                    )
                self.assertTrue(caught.exception.sent)
                self.assertEqual(self.request_count, 1)

    # Guards against an interim response that was taken for the final one.
    def test_final_response_is_returned_after_interim_ones(self) -> None:
        final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        # In one piece, and with a pause before the final response.
        cases = ((_INTERIM * 2 + final, b""), (_INTERIM, final))
        for data, delayed in cases:
            pool = self._start_server(data, delayed=delayed)
            response = web.send_request(
                pool,
                "POST",
                "/",
                timeout_s=_TIMEOUT_S,
                max_body_bytes=_MAX_BODY_BYTES,
            )
            self.assertEqual((response.status, response.body), (200, b"ok"))
            self.assertEqual(response.header("link"), "")

    # Guards against heads, interim responses, chunk extensions and trailers
    # without end, to which no limit applied.
    def test_response_without_end_is_refused_after_the_limit(self) -> None:
        for name, (data, repeated) in _ENDLESS_RESPONSES.items():
            with self.subTest(name):
                pool = self._start_server(data, repeated)
                with self.assertRaises(errors.BodyTooLargeError):
                    web.send_request(
                        pool,
                        "POST",
                        "/",
                        timeout_s=_TIMEOUT_S / 5,
                        max_body_bytes=_MAX_BODY_BYTES,
                    )
                self.assertLess(self.sent_bytes, 12 * 1024 * 1024)

    def test_connection_closed_by_server_is_not_reused(self) -> None:
        pool = self._start_server(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        )
        for _ in range(3):
            response = web.send_request(
                pool,
                "POST",
                "/",
                timeout_s=_TIMEOUT_S,
                max_body_bytes=_MAX_BODY_BYTES,
            )
            self.assertEqual(response.body, b"ok")
            gevent.sleep(0.01)

    def test_request_to_closed_port_is_reported_as_not_sent(self) -> None:
        with plain_socket.socket() as not_listening:
            not_listening.bind((_HOST, 0))
            pool = web.Pool(_HOST, not_listening.getsockname()[1])
            with self.assertRaises(errors.BackendError) as caught:
                web.send_request(
                    pool, "GET", "/", timeout_s=_TIMEOUT_S, max_body_bytes=1
                )
        self.assertFalse(caught.exception.sent)


class ServerTest(unittest.TestCase):
    def setUp(self) -> None:
        """Starts a server that returns the request body."""
        self.server = web.Server(_HOST, 0, _echo)
        self.server.start()
        self.pool = web.Pool(_HOST, self.server.port)

    def tearDown(self) -> None:
        """Stops the server."""
        self.server.stop(0.0)

    def _send_and_receive(self, data: bytes) -> bytes:
        """Sends bytes and returns all that the server sends until it closes."""
        sock = socket.create_connection((_HOST, self.server.port))
        sock.sendall(data)
        received = b""
        with gevent.Timeout(_TIMEOUT_S):
            while chunk := sock.recv(65_536):
                received += chunk
        sock.close()
        return received

    def test_ambiguous_or_invalid_body_length_is_rejected(self) -> None:
        for name, head in _REJECTED_HEADERS.items():
            with self.subTest(name):
                response = self._send_and_receive(
                    b"POST / HTTP/1.1\r\nHost: x\r\n" + head + b"\r\nab"
                )
                self.assertTrue(response.startswith(b"HTTP/1.1 400"), response)

    def test_body_over_the_limit_is_rejected_before_it_is_read(self) -> None:
        response = self._send_and_receive(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 413"), response)

    def test_malformed_request_does_not_affect_other_connections(self) -> None:
        self._send_and_receive(b"\x00\xff garbage\r\n\r\n")
        response = web.send_request(
            self.pool,
            "POST",
            "/",
            (),
            b"x" * _MAX_BODY_BYTES,
            timeout_s=_TIMEOUT_S,
            max_body_bytes=_MAX_BODY_BYTES,
        )
        self.assertEqual(len(response.body), _MAX_BODY_BYTES)

    def test_stop_waits_for_requests_in_progress(self) -> None:
        request = gevent.spawn(
            web.send_request,
            self.pool,
            "POST",
            "/slow",
            (),
            b"body",
            timeout_s=_TIMEOUT_S,
            max_body_bytes=_MAX_BODY_BYTES,
        )
        gevent.sleep(0.05)
        cut_off = self.server.stop(_TIMEOUT_S)
        response = request.get()
        self.assertEqual((cut_off, response.body), (0, b"body"))
        self.assertEqual(response.header("connection"), "close")


#: A server that answers with `_LARGE_BYTES` and stops on SIGTERM. It prints its
#: port, then the path of each request.
_PROGRAM = """\
import signal
import gevent
from gevent import event
from flamingolug import web

def answer(environ, start_response):
    print(environ["PATH_INFO"], flush=True)
    start_response("200 OK", [("Content-Length", "300000")])
    return [b"b" * 300000]

stop = event.Event()
gevent.signal_handler(signal.SIGTERM, stop.set)
server = web.Server("127.0.0.1", 0, answer)
server.start()
print(server.port, flush=True)
stop.wait()
raise SystemExit(server.stop(5.0))
"""
_LARGE_BYTES = 300_000
#: Receive buffer of a caller that reads slowly; most of a response of
#: `_LARGE_BYTES` stays in the buffer of the sender.
_SMALL_BUFFER_BYTES = 4096


class StopTest(unittest.TestCase):
    """A process that stops while callers read responses slowly."""

    def setUp(self) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-c", _PROGRAM], stdout=subprocess.PIPE, text=True
        )
        self.addCleanup(self._end)
        self.port = int(self._read_line())

    def _end(self) -> None:
        self.process.kill()
        self.process.wait()
        if self.process.stdout is not None:
            self.process.stdout.close()

    def _read_line(self) -> str:
        assert self.process.stdout is not None
        return self.process.stdout.readline().strip()

    def _connect(self) -> Any:
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(
            plain_socket.SOL_SOCKET,
            plain_socket.SO_RCVBUF,
            _SMALL_BUFFER_BYTES,
        )
        sock.connect((_HOST, self.port))
        return sock

    def _read_rest(self, sock: Any) -> list[http1.Response]:
        """Reads slowly until the connection ends; returns the responses."""
        reader = http1.ResponseReader()
        with gevent.Timeout(_TIMEOUT_S):
            while data := sock.recv(65_536):
                reader.feed(data)
                gevent.sleep(0.001)
        return list(reader.ready)

    def _stop_while_reading(self, fields: bytes, after_s: float) -> None:
        """Stops the process; sends a request behind an answer being read."""
        sock = self._connect()
        sock.sendall(b"GET /first HTTP/1.1\r\nHost: x\r\n" + fields + b"\r\n")
        self.assertEqual(self._read_line(), "/first")
        gevent.sleep(0.2)
        self.process.send_signal(signal.SIGTERM)
        gevent.sleep(after_s)
        sock.sendall(b"GET /behind HTTP/1.1\r\nHost: x\r\n\r\n")
        gevent.sleep(0.1)
        responses = self._read_rest(sock)
        self.assertEqual([len(each.body) for each in responses], [_LARGE_BYTES])
        sock.close()
        ends_at = time.monotonic() + _TIMEOUT_S
        while self.process.poll() is None and time.monotonic() < ends_at:
            gevent.sleep(0.02)
        self.assertEqual(self.process.returncode, 0)
        self.assertEqual(self._read_line(), "")

    # Guards against an exit that resets an answer which its caller still reads.
    def test_answer_of_an_idle_connection_is_read_to_its_end(self) -> None:
        self._stop_while_reading(b"", web.KEEP_ALIVE_GRACE_S + 0.5)

    # Guards against a close behind the last answer that resets it.
    def test_answer_that_closes_its_connection_is_read_to_its_end(self) -> None:
        self._stop_while_reading(b"Connection: close\r\n", 0.1)
