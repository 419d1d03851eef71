"""Delivery of answers on a caller's connection when an answer fails."""

import gc
import types
import unittest
from collections.abc import Callable
from typing import Any
from typing import cast
from unittest import mock

import gevent
from gevent import socket as gevent_socket

from flamingolug import http1
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _entry
from flamingolug.gateway import _metrics
from flamingolug.gateway import _request_state

_REQUEST = b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n"
_TIMEOUT_S = 1.0


def _raise_error() -> _request_state.Answer:
    raise ValueError("handler failed")


def _raise_timeout() -> _request_state.Answer:
    # Derived from BaseException, as the time-outs of the gate are.
    raise gevent.Timeout(1.0)


def _return_unformattable() -> _request_state.Answer:
    return _request_state.Answer(200, [(b"x-odd", cast(bytes, None))], b"1")


def _make_entry(
    handle: Callable[[_request_state.RequestState], _request_state.Answer],
) -> _entry.Entry:
    """Returns an entry whose requests are handled by a function."""
    handler = types.SimpleNamespace(
        stopping=False, stopping_since=None, handle=handle
    )
    return _entry.Entry(
        _entry.Dependencies(
            cast(Any, None),
            cast(Any, types.SimpleNamespace(active=None)),
            timing.GeventTimers(),
            cast(Any, handler),
            _metrics.Metrics(telemetry.Counters("n", "", 1.0)),
            b"id",
        )
    )


class FailedAnswerTest(unittest.TestCase):
    def _exchange(
        self, answer_second: Callable[[], _request_state.Answer]
    ) -> list[tuple[int, bytes]]:
        """Sends three pipelined requests; returns statuses and bodies."""

        def handle(
            state: _request_state.RequestState,
        ) -> _request_state.Answer:
            if state.request.target == b"/1":
                return answer_second()
            return _request_state.Answer(200, [], state.request.target[1:])

        entry = _make_entry(handle)
        listener = http1.listen("127.0.0.1", 0)
        caller = gevent_socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        serving = gevent.spawn(entry.serve, accepted, ("test", 0))
        # The error that is expected is not printed.
        hub = gevent.get_hub()
        hub.exception_stream, stream = None, hub.exception_stream
        try:
            caller.sendall(b"".join(_REQUEST % number for number in range(3)))
            return _read_answers(caller, 3)
        finally:
            hub.exception_stream = stream
            caller.close()
            listener.close()
            serving.join(timeout=1.0)

    # Guards against a missing answer whose place the later ones take.
    def test_failed_answer_is_replaced_by_502_in_its_place(self) -> None:
        cases = {
            "the handler raises an error": _raise_error,
            "the handler raises a time-out": _raise_timeout,
            "the answer can't be formatted": _return_unformattable,
        }
        for name, answer_second in cases.items():
            with self.subTest(name):
                answers = self._exchange(answer_second)
                self.assertEqual(
                    [status for status, _ in answers], [200, 502, 200]
                )
                self.assertEqual(answers[0][1], b"0")
                self.assertEqual(answers[2][1], b"2")


def _read_answers(
    caller: gevent_socket.socket, count: int
) -> list[tuple[int, bytes]]:
    """Reads until `count` answers are complete or none arrives in time."""
    reader = http1.ResponseReader()
    caller.settimeout(_TIMEOUT_S)
    while len(reader.ready) < count:
        try:
            data = caller.recv(65536)
        except TimeoutError:
            break
        if not data:
            break
        reader.feed(data)
    return [(each.status, each.body) for each in reader.ready]


class LingerTest(unittest.TestCase):
    # Guards against connections that a caller keeps open for ever.
    def test_closing_connection_ends_after_the_idle_time_out(self) -> None:
        cases = {"time-out passed": (0.1, False), "in time": (30.0, True)}
        for name, (idle_timeout_s, is_open) in cases.items():
            with self.subTest(name):
                limits = _entry.FIRST_LIMITS._replace(
                    idle_timeout_s=idle_timeout_s
                )
                with mock.patch.object(_entry, "FIRST_LIMITS", limits):
                    entry = self._answer_and_close()
                gevent.sleep(2 * _entry.SWEEP_INTERVAL_S)
                self.assertEqual(entry.has_connections, is_open)

    def _answer_and_close(self) -> _entry.Entry:
        """Returns an entry whose caller has read its last answer."""
        entry = _make_entry(lambda state: _request_state.Answer(200, [], b""))
        entry.start()
        listener = http1.listen("127.0.0.1", 0)
        caller = gevent_socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        listener.close()
        serving = gevent.spawn(entry.serve, accepted, ("test", 0))
        self.addCleanup(serving.join, 1.0)
        self.addCleanup(caller.close)
        caller.sendall(b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n")
        self.assertEqual(_read_answers(caller, 1), [(200, b"")])
        return entry


class MemoryTest(unittest.TestCase):
    # Guards against partial requests that outlive their connections.
    def test_partial_request_is_freed_with_its_connection(self) -> None:
        entry = _make_entry(lambda state: _request_state.Answer(200, [], b""))
        listener = http1.listen("127.0.0.1", 0)
        self.addCleanup(listener.close)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        before = _count_readers()
        for _ in range(3):
            caller = gevent_socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
            serving = gevent.spawn(entry.serve, accepted, ("test", 0))
            caller.sendall(
                b"PUT /x HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\nabc"
            )
            caller.close()
            serving.join(timeout=1.0)
        del accepted, serving
        self.assertEqual(_count_readers(), before)


def _count_readers() -> int:
    """Returns the number of readers of requests that exist."""
    return sum(
        isinstance(each, http1.RequestReader) for each in gc.get_objects()
    )
