"""How the server side of a connection ends."""

import unittest

import gevent
from gevent import socket as gevent_socket

from flamingolug import http1

_BODY_BYTES = 300_000
_SMALL_BUFFER_BYTES = 4096


class EndTest(unittest.TestCase):
    def read_slowly(self, request: bytes, rest: bytes) -> http1.Response:
        """Sends a request, later the rest; returns the response."""
        listener = http1.listen("127.0.0.1", 0)
        self.addCleanup(listener.close)
        caller = gevent_socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(
            gevent_socket.SOL_SOCKET,
            gevent_socket.SO_RCVBUF,
            _SMALL_BUFFER_BYTES,
        )
        caller.connect(listener.getsockname())
        accepted, peer = listener.accept()
        serving = gevent.spawn(
            http1.serve_connection,
            accepted,
            peer,
            lambda req: (200, [], bytes(_BODY_BYTES)),
        )
        caller.sendall(request)
        gevent.sleep(0.1)
        caller.sendall(rest)
        gevent.sleep(0.1)
        reader = http1.ResponseReader()
        reader.expect(False)
        while not reader.ready:
            data = caller.recv(16384)
            self.assertTrue(data, "the response is cut")
            reader.feed(data)
            gevent.sleep(0.001)
        caller.close()
        serving.join(1.0)
        self.assertTrue(serving.ready())
        return reader.ready[0]

    # Guards against a close that resets a response the caller still reads.
    def test_last_response_is_read_to_its_end(self) -> None:
        response = self.read_slowly(
            b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
            b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
        )
        self.assertEqual(len(response.body), _BODY_BYTES)
