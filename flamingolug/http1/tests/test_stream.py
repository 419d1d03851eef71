"""Buffers of a stream on a loopback connection."""

import time
import unittest

import gevent
from gevent import socket as gevent_socket

from flamingolug import http1


class QueuedTest(unittest.TestCase):
    """Bytes that a close would discard or leave unconfirmed."""

    def setUp(self) -> None:
        listener = http1.listen("127.0.0.1", 0)
        self.addCleanup(listener.close)
        self.peer = gevent_socket.create_connection(listener.getsockname())
        self.addCleanup(self.peer.close)
        self.stream = http1.Stream(listener.accept()[0])
        self.addCleanup(self.stream.close)

    def wait_for(self, expected: http1.Queued) -> None:
        """Waits until the buffers have the expected sizes."""
        deadline = time.monotonic() + 5.0
        while self.stream.queued() != expected and time.monotonic() < deadline:
            gevent.sleep(0.01)
        self.assertEqual(self.stream.queued(), expected)

    def test_received_bytes_count_until_they_are_read(self) -> None:
        self.peer.sendall(b"12345")
        self.wait_for(http1.Queued(5, 0))
        self.stream.recv(100)
        self.wait_for(http1.Queued(0, 0))

    def test_sent_bytes_count_until_the_peer_has_room_for_them(self) -> None:
        while self.stream.send_now(bytes(1 << 20)):
            pass
        self.assertGreater(self.stream.queued().unsent_bytes, 0)

    def test_end_of_both_directions_leaves_nothing(self) -> None:
        self.stream.shutdown_write()
        self.peer.shutdown(gevent_socket.SHUT_WR)
        self.wait_for(http1.Queued(0, 0))

    def test_a_closed_stream_has_no_buffers(self) -> None:
        self.stream.close()
        self.assertEqual(self.stream.queued(), http1.Queued(0, 0))


class StallTest(unittest.TestCase):
    """Time-out of a write to a peer that reads slowly or not at all."""

    # Guards against writers that wait for ever, and against slow readers
    # that are taken for dead ones.
    def test_only_a_peer_that_reads_nothing_ends_the_write(self) -> None:
        for name, pause_s, is_sent in (
            ("reads slowly", 0.05, True),
            ("reads nothing", 60.0, False),
        ):
            with self.subTest(name):
                self.assertEqual(self._send_to_reader(pause_s), is_sent)

    def _send_to_reader(self, pause_s: float) -> bool:
        """Returns whether all data is sent to a peer that pauses."""
        listener = http1.listen("127.0.0.1", 0)
        self.addCleanup(listener.close)
        peer = gevent_socket.create_connection(listener.getsockname())
        self.addCleanup(peer.close)
        stream = http1.Stream(listener.accept()[0], peer_may_pause=True)
        self.addCleanup(stream.close)

        def read() -> None:
            while True:
                gevent.sleep(pause_s)
                peer.recv(1 << 20)

        reader = gevent.spawn(read)
        try:
            with gevent.Timeout(10.0):
                return stream.send_all(bytes(1 << 24), stall_timeout_s=0.5)
        except TimeoutError:
            return False
        finally:
            reader.kill()
