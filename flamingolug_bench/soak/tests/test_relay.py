"""Tests that relays lose nothing unless a fault is set."""

import socket
import unittest
from collections.abc import Callable

import gevent
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from flamingolug import http1
from flamingolug_standins import relay_program

_HOST = "127.0.0.1"
_DATA = b"x" * 300_000
_TIMEOUT_S = 5.0


def _receive_all(sock: gevent_socket.socket) -> bytes:
    received = b""
    while data := sock.recv(65536):
        received += data
    return received


class RelayTest(unittest.TestCase):
    def _connect(
        self, handle: Callable[[gevent_socket.socket, object], None]
    ) -> gevent_socket.socket:
        """Returns a connection through a relay to a server."""
        return self._connect_relay(handle)[1]

    def _connect_relay(
        self, handle: Callable[[gevent_socket.socket, object], None]
    ) -> tuple[relay_program.Relay, gevent_socket.socket]:
        """Returns a relay to a server, and a connection through it."""
        server = gevent_server.StreamServer(http1.listen(_HOST, 0), handle)
        server.start()
        self.addCleanup(server.stop, timeout=0)
        relay = relay_program.Relay(
            f"{_HOST}:0", f"{_HOST}:{server.server_port}"
        )
        relay.start()
        self.addCleanup(relay.stop)
        sock = gevent_socket.create_connection(
            (_HOST, relay._server.server_port)
        )
        self.addCleanup(sock.close)
        return relay, sock

    # Guards against a soak that ends when two faults reset a connection.
    def test_connection_is_reset_once_by_two_faults(self) -> None:
        relay, sock = self._connect_relay(lambda sock, peer: gevent.sleep(5.0))
        gevent.sleep(0.1)
        for _ in range(2):
            relay.set_fault(relay_program.Fault(reset_open=True))
        with self.assertRaises(ConnectionResetError):
            sock.recv(1)

    # Guards against a relay that drops an answer which a node writes just
    # before it closes the connection.
    def test_data_before_the_end_of_a_connection_is_delivered(self) -> None:
        def answer(sock: gevent_socket.socket, peer: object) -> None:
            del peer
            sock.sendall(_DATA)
            sock.close()

        with gevent.Timeout(_TIMEOUT_S):
            sock = self._connect(answer)
            gevent.sleep(0.1)
            self.assertEqual(len(_receive_all(sock)), len(_DATA))

    # Guards against a relay that ends both directions when one has ended.
    def test_half_closed_connection_carries_the_answer(self) -> None:
        def answer(sock: gevent_socket.socket, peer: object) -> None:
            del peer
            sock.sendall(_receive_all(sock))
            sock.close()

        with gevent.Timeout(_TIMEOUT_S):
            sock = self._connect(answer)
            sock.sendall(b"request")
            sock.shutdown(socket.SHUT_WR)
            self.assertEqual(_receive_all(sock), b"request")
