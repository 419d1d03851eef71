"""Log events and counters of connections that end with work pending."""

import logging
import types
import unittest
from collections.abc import Callable
from typing import Any

import gevent
from gevent import event
from gevent import queue

from flamingolug import http1
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _entry
from flamingolug.gateway import _metrics
from flamingolug.gateway import _request_state


class _Stream:
    """A stream whose input, output and buffers the test controls."""

    def __init__(self) -> None:
        self.closed = False
        self.half_closed = False
        self.input: queue.Queue[bytes | Exception] = queue.Queue()
        self.output: list[bytes] = []
        self.send_error: Exception | None = None
        self.queues = http1.Queued(0, 0)

    def has_input(self) -> bool:
        return self.queues.unread_bytes > 0

    def recv(self, size: int) -> bytes:
        del size
        data = self.input.get()
        if isinstance(data, Exception):
            raise data
        return data

    def send_all(self, data: bytes, stall_timeout_s: float) -> bool:
        del stall_timeout_s
        if self.send_error is not None:
            raise self.send_error
        self.output.append(data)
        return True

    def queued(self) -> http1.Queued:
        return self.queues

    def shutdown_write(self) -> None:
        self.half_closed = True

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.input.put(OSError("closed on this side"))


class _Handler:
    """A handler that answers requests when the test says so."""

    def __init__(self) -> None:
        self.stopping = False
        self.stopping_since: float | None = None
        self.answers: dict[
            bytes, event.AsyncResult[_request_state.Answer | BaseException]
        ] = {}

    def handle(
        self, state: _request_state.RequestState
    ) -> _request_state.Answer:
        request_id = state.request.header(b"id")
        result = self.answers.setdefault(request_id, event.AsyncResult())
        if request_id.startswith(b"passed"):
            state.offers = 1
        answer = result.get()
        assert answer is not None
        if isinstance(answer, BaseException):
            raise answer
        return answer

    def answer(
        self,
        request_id: bytes,
        answer: _request_state.Answer | BaseException | None = None,
    ) -> None:
        """Answers a request with status 200 unless told otherwise."""
        self.answers[request_id].set(
            answer or _request_state.Answer(200, [], b"")
        )


class _Caller:
    """A connection to an entry, with its log lines and counters."""

    def __init__(self) -> None:
        self.timers = timing.ManualTimers()
        self.handler = _Handler()
        self.stream = _Stream()
        self.counters = telemetry.Counters("n", "", 1.0)
        handler: Any = self.handler
        watcher: Any = types.SimpleNamespace(active=None)
        cfg: Any = None
        stream: Any = self.stream
        deps = _entry.Dependencies(
            cfg,
            watcher,
            self.timers,
            handler,
            _metrics.Metrics(self.counters),
            b"id",
        )
        self.connection = _entry.CallerConnection(stream, "peer:1", deps)
        self.task = gevent.spawn(self.connection.run)
        #: Checks the connection as the clock advances.
        self.entry = _entry.Entry(deps)
        self.entry.start()
        self.entry._connections.add(self.connection)

    def send(self, *request_ids: str) -> None:
        """Sends requests in one write and lets the entry read them."""
        self.stream.input.put(
            b"".join(
                f"GET / HTTP/1.1\r\nid: {each}\r\n\r\n".encode()
                for each in request_ids
            )
        )
        self.settle()

    def answer(self, request_id: bytes) -> None:
        """Answers a request and lets the entry write the response."""
        self.handler.answer(request_id)
        self.settle()

    def begin_stop(self) -> None:
        """Marks the node as stopping."""
        self.handler.stopping = True
        self.handler.stopping_since = self.timers.now()

    def settle(self) -> None:
        """Runs all greenlets that are ready."""
        for _ in range(5):
            gevent.sleep(0)

    def count(self, name: str) -> dict[object, object]:
        """Returns the values of a counter by reason."""
        rows = self.counters.snapshot()[name]
        return {row["reason"]: row["value"] for row in rows}


class _LogTest(unittest.TestCase):
    def setUp(self) -> None:
        # The test run disables logging.
        self.addCleanup(logging.disable, logging.root.manager.disable)
        logging.disable(logging.NOTSET)
        # Tracebacks of greenlets that are meant to crash.
        hub = gevent.get_hub()
        stream = hub.exception_stream
        hub.exception_stream = None
        self.addCleanup(setattr, hub, "exception_stream", stream)
        self.caller = _Caller()

    def collect(self, action: Callable[[_Caller], None]) -> dict[str, Any]:
        """Runs an action; returns the fields of each event by its name."""
        logger = logging.getLogger("flamingolug")
        with self.assertLogs(logger) as logs:
            # assertLogs fails without any line.
            logger.info("event=started")
            action(self.caller)
            self.caller.settle()
        lines = telemetry.read_lines(
            "ts=1.0 level=INFO node=n " + record.getMessage()
            for record in logs.records
        )
        return {line.event: line.fields for line in lines}


def _close_by_caller(caller: _Caller) -> None:
    caller.timers.advance(1.5)
    caller.stream.input.put(b"")


def _fail_read(caller: _Caller) -> None:
    caller.stream.input.put(TimeoutError(110, "timed out"))


def _fail_write(caller: _Caller) -> None:
    caller.stream.send_error = ConnectionResetError(104, "reset")
    caller.answer(b"passed-1")


def _crash_read(caller: _Caller) -> None:
    caller.stream.input.put(ValueError("defect"))


def _crash_write(caller: _Caller) -> None:
    caller.stream.send_error = ValueError("defect")
    caller.answer(b"passed-1")


def _interrupt(caller: _Caller) -> None:
    caller.timers.advance(1.0)
    caller.begin_stop()
    caller.timers.advance(5.0)
    caller.send("late")
    caller.connection.report_end("interrupted", "")
    # The end of the connection after that is not logged again.
    caller.stream.input.put(b"")


class CutRequestsTest(_LogTest):
    """Requests that were read and never answered."""

    def test_each_way_to_lose_an_answer_has_its_own_reason(self) -> None:
        cases: dict[
            str, tuple[Callable[[_Caller], None], int, dict[str, str]]
        ] = {
            "caller-closed": (_close_by_caller, 2, {"oldest_s": "1.5"}),
            "read-failed": (
                _fail_read,
                2,
                {"error": "[Errno 110] timed out", "writing": "False"},
            ),
            "write-failed": (
                _fail_write,
                2,
                {"error": "[Errno 104] reset", "writing": "True"},
            ),
            "crashed": (_crash_read, 2, {"error": "ValueError('defect')"}),
            "answer-crashed": (
                _crash_write,
                2,
                {"error": "ValueError('defect')", "writing": "True"},
            ),
            "interrupted": (
                _interrupt,
                3,
                {"stopping_s": "5.000", "since_stop": "1"},
            ),
        }
        for reason, (action, pending, fields) in cases.items():
            with self.subTest(reason):
                self.caller = _Caller()
                self.caller.send("first")
                self.caller.answer(b"first")
                self.caller.send("passed-1", "waiting-2")
                logged = self.collect(action)["caller.cut"]
                expected = {
                    "reason": reason,
                    "pending": str(pending),
                    "passed_on": "1",
                    "answered": "1",
                    **fields,
                }
                self.assertEqual(logged, logged | expected)
                ids = ["passed-1", "waiting-2", "late"][:pending]
                self.assertEqual(logged["ids"].split(","), ids)
                self.assertEqual(
                    self.caller.count(_metrics.CUT_REQUESTS),
                    {reason: pending},
                )

    def test_exception_of_the_reading_greenlet_is_logged_when_idle(
        self,
    ) -> None:
        events = self.collect(_crash_read)
        self.assertEqual(
            events["caller.crashed"]["error"], "ValueError('defect')"
        )
        self.assertNotIn("caller.cut", events)

    def test_error_that_is_no_exception_subclass_is_logged(self) -> None:
        class Expired(BaseException):
            pass

        self.caller.send("r1")
        events = self.collect(
            lambda caller: caller.handler.answer(b"r1", Expired())
        )
        self.assertEqual(events["request.crashed"]["id"], "r1")

    def test_requests_behind_the_closing_response_count_as_not_started(
        self,
    ) -> None:
        def stop(caller: _Caller) -> None:
            caller.begin_stop()
            caller.answer(b"r1")
            caller.send("r2", "r3")
            caller.stream.input.put(b"")

        self.caller.send("r1")
        logged = self.collect(stop)["caller.cut"]
        self.assertEqual(logged["reason"], "not-started")
        self.assertEqual((logged["pending"], logged["not_started"]), ("0", "2"))
        self.assertEqual(logged["ids"], "r2,r3")
        self.assertEqual(
            self.caller.count(_metrics.CUT_REQUESTS), {"not-started": 2}
        )

    # Guards against memory that input behind the closing response fills.
    def test_input_behind_the_closing_response_is_discarded(self) -> None:
        caller = self.caller
        caller.begin_stop()
        caller.send("r1")
        caller.answer(b"r1")
        request = b"GET / HTTP/1.1\r\nid: r2\r\n\r\n"
        for _ in range(20):
            caller.stream.input.put(request * 1000)
        for _ in range(5):
            caller.settle()
        count = len(caller.connection._reader.ready)
        self.assertGreater(count, 0)
        self.assertLess(count * len(request), 2 * _entry.MAX_BYTES_BEHIND)

    def test_connection_that_ends_idle_is_not_logged(self) -> None:
        def end(caller: _Caller) -> None:
            caller.send("r1")
            caller.answer(b"r1")
            caller.stream.input.put(b"")

        self.assertEqual(list(self.collect(end)), ["started"])

    def test_logged_ids_are_bounded(self) -> None:
        count = _entry.MAX_LOGGED_IDS + 3
        self.caller.send(*(f"r{number}" for number in range(count)))
        logged = self.collect(
            lambda caller: caller.connection.report_end("interrupted", "")
        )["caller.cut"]
        self.assertEqual(logged["pending"], str(count))
        self.assertEqual(len(logged["ids"].split(",")), _entry.MAX_LOGGED_IDS)


class UndeliveredTest(_LogTest):
    """Connections that are closed before their output is confirmed."""

    def test_close_with_unread_or_unsent_bytes_or_an_open_caller_is_logged(
        self,
    ) -> None:
        cases: dict[str, tuple[http1.Queued, bool, str]] = {
            "idle and empty": (http1.Queued(0, 0), False, ""),
            "unread input": (http1.Queued(70, 5), False, "unread"),
            "unsent output": (http1.Queued(0, 5), False, "unsent"),
            "caller still open": (http1.Queued(0, 0), True, "caller-open"),
        }
        for name, (queues, lingers, reason) in cases.items():
            with self.subTest(name):
                self.caller = _Caller()
                self.caller.send("r1")
                if lingers:
                    self.caller.begin_stop()
                self.caller.answer(b"r1")
                self.caller.stream.queues = queues
                events = self.collect(
                    lambda caller: caller.connection.close("stopping")
                )
                if not reason:
                    self.assertNotIn("caller.undelivered", events)
                    continue
                fields = events["caller.undelivered"]
                self.assertEqual(
                    (fields["reason"], fields["id"], fields["by"]),
                    (reason, "r1", "stopping"),
                )
                self.assertEqual(fields["unread"], str(queues.unread_bytes))
                self.assertEqual(
                    self.caller.count(_metrics.UNDELIVERED), {reason: 1}
                )


class IdleTest(unittest.TestCase):
    """Connections that a stop or the idle time-out may close."""

    # Guards against a reset of a request that has arrived but was not read.
    def test_connection_with_unread_input_is_not_idle(self) -> None:
        cases = {
            "idle": (http1.Queued(0, 0), True, False),
            "unread input": (http1.Queued(70, 0), False, True),
            # May be half-closed, but the node must not end.
            "unsent output": (http1.Queued(0, 5), True, True),
        }
        for name, (queues, idle, has_work) in cases.items():
            with self.subTest(name):
                caller = _Caller()
                caller.send("r1")
                self.assertFalse(caller.connection.is_idle())
                caller.answer(b"r1")
                caller.stream.queues = queues
                self.assertEqual(caller.connection.is_idle(), idle)
                self.assertEqual(caller.connection.has_work, has_work)

    # Guards against a close that discards an answer its caller still reads.
    def test_idle_connection_is_half_closed(self) -> None:
        caller = _Caller()
        caller.send("r1")
        caller.answer(b"r1")
        caller.stream.queues = http1.Queued(0, 5)
        caller.connection.finish()
        self.assertFalse(caller.stream.closed)
        self.assertTrue(caller.stream.half_closed)
        self.assertTrue(caller.connection.has_work)
        # A request that crosses the half-close is not served.
        caller.send("r2")
        self.assertEqual(list(caller.handler.answers), [b"r1"])

    # Guards against an exit that resets a last response still on its way.
    def test_last_response_is_work_until_it_is_acknowledged(self) -> None:
        caller = _Caller()
        caller.begin_stop()
        caller.send("r1")
        caller.answer(b"r1")
        caller.stream.queues = http1.Queued(0, 5)
        self.assertTrue(caller.connection.has_work)
        self.assertFalse(caller.connection.is_idle())
        caller.stream.queues = http1.Queued(0, 0)
        self.assertFalse(caller.connection.has_work)
        self.assertFalse(caller.connection.is_idle())

    # Guards against a time-out of a half-closed connection that resets an
    # answer which its caller still reads, slowly.
    def test_half_closed_connection_lasts_while_the_caller_reads(self) -> None:
        caller = _Caller()
        caller.send("r1")
        caller.answer(b"r1")
        idle_s = caller.connection.limits.idle_timeout_s
        caller.stream.queues = http1.Queued(0, 1000)
        caller.timers.advance(idle_s + 1.0)
        self.assertTrue(caller.stream.half_closed)
        for unsent_bytes in range(999, 900, -10):
            caller.stream.queues = http1.Queued(0, unsent_bytes)
            caller.timers.advance(idle_s - 1.0)
            self.assertFalse(caller.stream.closed, unsent_bytes)
        caller.timers.advance(idle_s + 1.0)
        self.assertTrue(caller.stream.closed)
