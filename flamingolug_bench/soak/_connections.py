"""Connections of callers that may carry several unanswered requests.

Times `..._at` are seconds of `time.monotonic()`.
"""

import random
import select
import socket
import time
from collections import deque
from typing import NamedTuple

import gevent
from gevent import socket as gevent_socket

from flamingolug import http1
from flamingolug_bench.soak import _records
from flamingolug_bench.soak import _testbed
from flamingolug_standins import documents

_CONNECT_TIMEOUT_S = 1.0
_READ_BYTES = 65536
#: Interval between two readings of `LagClock`, seconds.
_TICK_S = 0.01


class LagClock:
    """Measures how late the event loop of this process is."""

    def __init__(self) -> None:
        """Starts measuring."""
        self._ticked_at = time.monotonic()
        self._previous_tick_at = self._ticked_at
        #: Sum of the lags until the last tick, seconds.
        self._total_s = 0.0
        #: Largest lag, seconds.
        self.max_lag_s = 0.0
        self._task = gevent.spawn(self._run)

    def lag_s(self) -> float:
        """Returns for how long an event may have been waiting.

        The loop has looked at all sockets since the last tick but one.
        """
        return time.monotonic() - self._previous_tick_at

    def total_s(self) -> float:
        """Returns the sum of all lags so far."""
        return self._total_s + self._current_s()

    def stop(self) -> None:
        """Stops measuring."""
        self._task.kill()

    def _current_s(self) -> float:
        return max(time.monotonic() - self._ticked_at - _TICK_S, 0.0)

    def _run(self) -> None:
        while True:
            gevent.sleep(_TICK_S)
            lag_s = self._current_s()
            self._total_s += lag_s
            self.max_lag_s = max(self.max_lag_s, lag_s)
            self._previous_tick_at = self._ticked_at
            self._ticked_at = time.monotonic()


class RequestPlan(NamedTuple):
    """A request that a caller is going to send."""

    route: str
    #: Seconds that the caller grants.
    deadline_s: float
    #: Additional work of the upstream, milliseconds.
    work_ms: int = 0
    #: Bytes added to the body of the response.
    padding_bytes: int = 0
    #: Whether the upstream makes a call of its own.
    nested_call: bool = False
    #: Whether the caller asks for the connection to be closed.
    close: bool = False
    request_id: str = ""


class ReadPlan(NamedTuple):
    """How a caller reads its responses."""

    #: Maximum number of bytes read at once.
    chunk_bytes: int = _READ_BYTES
    #: Pause after each read, seconds.
    pause_s: float = 0.0
    #: Size of the receive buffer of the socket, 0 for the default.
    buffer_bytes: int = 0


class _Unanswered(NamedTuple):
    """A request that was sent and has not been answered."""

    plan: RequestPlan
    sent_at: float
    #: Whether it was sent while another one was unanswered.
    behind: bool


class CallerConnection:
    """A connection to a node on which responses are matched in order."""

    def __init__(
        self,
        instance: _testbed.Instance,
        clock: LagClock,
        read_plan: ReadPlan | None = None,
    ) -> None:
        """Opens the connection, without a relay.

        Raises:
            OSError: the connection could not be opened.
        """
        #: Whether nothing more may be sent.
        self.closed = False
        self._clock = clock
        self._instance = instance
        self._read_plan = read_plan or ReadPlan()
        self._reader = http1.ResponseReader()
        self._unanswered: deque[_Unanswered] = deque()
        self._sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            if self._read_plan.buffer_bytes:
                self._sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_RCVBUF,
                    self._read_plan.buffer_bytes,
                )
            self._sock.settimeout(_CONNECT_TIMEOUT_S)
            self._sock.connect(instance.direct_outbound)
            self._sock.settimeout(None)
        except OSError:
            self._sock.close()
            raise
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        #: Process that accepts the connection.
        self._start_count = instance.start_count

    @property
    def unanswered_count(self) -> int:
        """Number of requests that were sent and have not been answered."""
        return len(self._unanswered)

    def is_clean(self) -> bool:
        """Returns whether neither data nor the end has arrived."""
        poller = select.poll()
        poller.register(self._sock.fileno(), select.POLLIN | select.POLLRDHUP)
        return not poller.poll(0)

    def close(self) -> None:
        """Closes the connection."""
        self.closed = True
        self._sock.close()

    def send(self, plan: RequestPlan) -> None:
        """Sends a request; a failure shows when the response is received."""
        entry = _Unanswered(plan, time.monotonic(), bool(self._unanswered))
        self._unanswered.append(entry)
        try:
            self._sock.sendall(_format(plan))
        except OSError:
            # Responses that have arrived can still be read.
            self.closed = True

    def receive(self) -> list[_records.RequestRecord]:
        """Waits for the next response or the end of the connection.

        Returns:
            The records of the requests that are finished by it.
        """
        first = self._unanswered[0]
        timeout_s = first.plan.deadline_s + _records.TIMEOUT_MARGIN_S
        status = _records.TIMED_OUT
        with gevent.Timeout(
            max(first.sent_at + timeout_s - time.monotonic(), 0.0)
        ) as timeout:
            try:
                status = self._read_until_response()
            except gevent.Timeout as exc:
                if exc is not timeout:
                    raise
        if status == _records.ANSWERED:
            return self._finish_answered(self._reader.ready.popleft())
        is_partial = self._reader.partial
        is_valid = not self._reader.broken
        self.close()
        records = [self._finish(status, is_valid, is_partial)]
        others = status
        if status == _records.TIMED_OUT:
            others = _records.ABANDONED
        while self._unanswered:
            records.append(self._finish(others, True, False))
        return records

    def _read_until_response(self) -> int:
        """Returns `ANSWERED` or `CLOSED_EARLY`."""
        reader = self._reader
        plan = self._read_plan
        while not reader.ready and not reader.broken:
            try:
                data = self._sock.recv(plan.chunk_bytes)
            except OSError:
                return _records.CLOSED_EARLY
            if not data:
                reader.finish()
                break
            reader.feed(data)
            if plan.pause_s:
                gevent.sleep(plan.pause_s)
        return _records.ANSWERED if reader.ready else _records.CLOSED_EARLY

    def _finish_answered(
        self, response: http1.Response
    ) -> list[_records.RequestRecord]:
        plan = self._unanswered[0].plan
        is_valid = _records.is_valid(
            response, plan.request_id, plan.padding_bytes
        )
        records = [self._finish(response.status, is_valid, False)]
        reader = self._reader
        if not self._unanswered and (reader.ready or reader.partial):
            # Bytes that belong to no request.
            records[0] = records[0]._replace(valid=False)
        if not response.reusable:
            self.close()
            while self._unanswered:
                records.append(self._finish(_records.NOT_READ, True, False))
        return records

    def _finish(
        self, status: int, is_valid: bool, is_partial: bool
    ) -> _records.RequestRecord:
        unanswered = self._unanswered.popleft()
        plan = unanswered.plan
        return _records.RequestRecord(
            plan.request_id,
            self._instance.name,
            self._start_count,
            plan.route,
            unanswered.sent_at,
            time.monotonic(),
            status,
            is_valid,
            behind=unanswered.behind,
            partial=is_partial,
            budget_s=min(plan.deadline_s, _route_timeout_s(plan.route)),
            lag_s=self._clock.lag_s(),
        )


def draw_request(
    rng: random.Random,
    routes: tuple[str, ...],
    min_padding_bytes: int,
    max_padding_bytes: int,
) -> RequestPlan:
    """Returns a random request on one of the routes, without an identity."""
    route = rng.choice(routes)
    deadline_s = _records.DEADLINE_MS / 1000.0
    if route == "bulk":
        deadline_s = _records.BULK_TIMEOUT_S
    return RequestPlan(
        route,
        deadline_s,
        work_ms=rng.choice((0, 40, 100, 200, 400)),
        padding_bytes=max(
            min_padding_bytes, rng.choice((0, 100, 5_000, max_padding_bytes))
        ),
        nested_call=route != "read" and rng.random() < 0.3,
    )


def _route_timeout_s(route: str) -> float:
    if route == "bulk":
        return _records.BULK_TIMEOUT_S
    return _records.ROUTE_TIMEOUT_S


def _format(plan: RequestPlan) -> bytes:
    headers = [
        (b"host", documents.HOST.encode()),
        (b"x-attempt-id", plan.request_id.encode()),
        (b"x-deadline-ms", str(int(plan.deadline_s * 1000)).encode()),
        (_testbed.WORK_HEADER, str(plan.work_ms).encode()),
        (_testbed.BYTES_HEADER, str(plan.padding_bytes).encode()),
    ]
    if plan.nested_call:
        headers.append((_testbed.CALL_HEADER, b"1"))
    if plan.close:
        headers.append((b"connection", b"close"))
    is_payment = plan.route == "pay"
    return http1.format_request(
        b"POST" if is_payment else b"GET",
        f"/{plan.route}/x".encode(),
        headers,
        b"body" if is_payment else b"",
    )
