"""HTTP: whole or an error, limits, ambiguous requests, orderly stop."""

import socket as plain_socket
import unittest
from collections.abc import Iterable
from typing import Any

import gevent
from gevent import server
from gevent import socket

from flamingolug import errors
from flamingolug import web

_HOST = "127.0.0.1"
_LIMIT = 1_000
_WAIT_S = 10.0
_BROKEN_ANSWERS = {
    "body cut short": b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
    "no answer": b"",
    "not HTTP": b"hello\r\n\r\n",
    "chunk cut short": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"
    ),
}
_REFUSED_HEADS = {
    "two lengths": b"Content-Length: 1\r\nContent-Length: 2\r\n",
    "list of lengths": b"Content-Length: 1, 2\r\n",
    "length and chunks": (
        b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"
    ),
    "unknown coding": b"Transfer-Encoding: gzip\r\n",
    "negative length": b"Content-Length: -1\r\n",
    "no number": b"Content-Length: x\r\n",
}


def _echo(
    environ: web.Environ, start_response: web.StartResponse
) -> Iterable[bytes]:
    try:
        body = web.read_body(environ, _LIMIT)
    except errors.BodyTooLargeError:
        start_response("413 Too Large", [("Content-Length", "0")])
        return [b""]
    if environ["PATH_INFO"] == "/slow":
        gevent.sleep(0.2)
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


class ClientTest(unittest.TestCase):
    def _answering(self, data: bytes) -> web.Pool:
        """Returns a pool to a server that answers `data` and closes."""

        def serve(sock: Any, address: object) -> None:
            del address
            self.requests += 1
            sock.recv(65_536)
            sock.sendall(data)
            sock.close()

        self.requests = 0
        listener = server.StreamServer((_HOST, 0), serve)
        listener.start()
        self.addCleanup(listener.stop)
        return web.Pool(_HOST, int(listener.server_port or 0))

    def test_what_is_not_whole_is_an_error_and_sent_once(self) -> None:
        for name, data in _BROKEN_ANSWERS.items():
            with self.subTest(name):
                pool = self._answering(data)
                with self.assertRaises(errors.BackendError) as caught:
                    web.exchange(
                        pool,
                        "POST",
                        "/",
                        timeout_s=_WAIT_S,
                        max_body_bytes=_LIMIT,
                    )
                self.assertTrue(caught.exception.sent)
                self.assertEqual(self.requests, 1)

    def test_a_reused_connection_that_closed_is_not_used(self) -> None:
        pool = self._answering(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        )
        for _ in range(3):
            reply = web.exchange(
                pool, "POST", "/", timeout_s=_WAIT_S, max_body_bytes=_LIMIT
            )
            self.assertEqual(reply.body, b"ok")
            gevent.sleep(0.01)

    def test_nobody_listening_is_known_as_not_sent(self) -> None:
        with plain_socket.socket() as free:
            free.bind((_HOST, 0))
            pool = web.Pool(_HOST, free.getsockname()[1])
            with self.assertRaises(errors.BackendError) as caught:
                web.exchange(
                    pool, "GET", "/", timeout_s=_WAIT_S, max_body_bytes=1
                )
        self.assertFalse(caught.exception.sent)


class ServerTest(unittest.TestCase):
    def setUp(self) -> None:
        """Starts an echoing server."""
        self.server = web.Server(_HOST, 0, _echo)
        self.server.start()
        self.pool = web.Pool(_HOST, self.server.port)

    def tearDown(self) -> None:
        """Stops it."""
        self.server.stop(0.0)

    def _raw(self, data: bytes) -> bytes:
        """Sends bytes and returns all that comes until the end."""
        sock = socket.create_connection((_HOST, self.server.port))
        sock.sendall(data)
        received = b""
        with gevent.Timeout(_WAIT_S):
            while piece := sock.recv(65_536):
                received += piece
        sock.close()
        return received

    def test_a_body_that_can_be_read_two_ways_is_refused(self) -> None:
        for name, head in _REFUSED_HEADS.items():
            with self.subTest(name):
                answer = self._raw(
                    b"POST / HTTP/1.1\r\nHost: x\r\n" + head + b"\r\nab"
                )
                self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)

    def test_a_body_over_the_limit_is_refused_before_it_is_read(self) -> None:
        answer = self._raw(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer)

    def test_others_are_not_disturbed(self) -> None:
        self._raw(b"\x00\xff garbage\r\n\r\n")
        reply = web.exchange(
            self.pool,
            "POST",
            "/",
            (),
            b"x" * _LIMIT,
            timeout_s=_WAIT_S,
            max_body_bytes=_LIMIT,
        )
        self.assertEqual(len(reply.body), _LIMIT)

    def test_a_stop_finishes_what_is_in_progress(self) -> None:
        task = gevent.spawn(
            web.exchange,
            self.pool,
            "POST",
            "/slow",
            (),
            b"body",
            timeout_s=_WAIT_S,
            max_body_bytes=_LIMIT,
        )
        gevent.sleep(0.05)
        cut_off = self.server.stop(_WAIT_S)
        reply = task.get()
        self.assertEqual((cut_off, reply.body), (0, b"body"))
        self.assertEqual(reply.header("connection"), "close")
