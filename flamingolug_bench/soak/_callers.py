"""Load generator of a soak: concurrent callers that record each request.

Times `..._at` are seconds of `time.monotonic()`.
"""

import functools
import itertools
import random
import time
from collections import deque
from typing import NamedTuple

import gevent

from flamingolug import errors
from flamingolug import http1
from flamingolug_bench.soak import _connections
from flamingolug_bench.soak import _records
from flamingolug_bench.soak import _testbed
from flamingolug_standins import documents

#: Mean interval between the requests of one caller, seconds.
_MEAN_INTERVAL_S = 0.08
#: Fraction of the requests that are sent on a new connection of their own.
_NEW_CONNECTION_RATIO = 0.2
#: Routes to draw from; a repeated one is drawn more often.
_ROUTES = ("read", "read", "pay", "pay", "home")
_MAX_RESPONSE_BYTES = 1 << 20


class CallerKind(NamedTuple):
    """How a caller uses its connections."""

    #: Number of unanswered requests that it keeps on its connection.
    depth: int
    routes: tuple[str, ...]
    #: Largest number of bytes added to the body of a response.
    max_padding_bytes: int
    #: Smallest number of bytes added to the body of a response.
    min_padding_bytes: int = 0
    read_plan: _connections.ReadPlan = _connections.ReadPlan()
    #: Whether each request has its own connection.
    close: bool = False
    #: Mean pause before a request, seconds.
    mean_pause_s: float = 0.0


#: Kinds of callers that keep a connection until the node closes it, and one
#: that has it closed after each response. Only safe requests are pipelined.
KINDS = {
    "pipelining": CallerKind(2, ("read", "home"), 16_000),
    "persistent": CallerKind(1, ("read", "pay", "home"), 64_000),
    "slow": CallerKind(
        2,
        ("read", "home"),
        64_000,
        read_plan=_connections.ReadPlan(4_096, 0.03, 4_096),
        min_padding_bytes=20_000,
        mean_pause_s=0.05,
    ),
    # Takes about four seconds for an answer, always with some progress.
    "trickling": CallerKind(
        1,
        ("bulk",),
        64_000,
        read_plan=_connections.ReadPlan(4_096, 0.25, 4_096),
        min_padding_bytes=64_000,
    ),
    "closing": CallerKind(
        1, ("read", "pay", "home"), 16_000, close=True, mean_pause_s=0.15
    ),
}
#: Up to this number of instances, each has one caller of every kind and the
#: full rate of requests; above it, one caller in turn and a lower rate.
_FULL_LOAD_INSTANCES = 8
#: Longest pause before a caller opens a connection, seconds.
_RECONNECT_S = 0.1


class Callers:
    """Runs the callers; appends each finished request to `records`."""

    def __init__(self, testbed: _testbed.Testbed, seed: int) -> None:
        """Starts the callers of each instance."""
        self.records: list[_records.RequestRecord] = []
        self.clock = _connections.LagClock()
        self._request_numbers = itertools.count()
        self._stopping = False
        #: Idle connections of the upstreams, by instance name.
        self._idle: dict[str, list[_connections.CallerConnection]] = {}
        count = len(testbed.instances)
        self._mean_interval_s = _MEAN_INTERVAL_S * max(
            count / _FULL_LOAD_INSTANCES, 1.0
        )
        self._tasks: list[gevent.Greenlet[..., None]] = [
            gevent.spawn(self._run, instance, random.Random(f"{seed}/{index}"))
            for instance in testbed.instances
            for index in range(2)
        ]
        for number, instance in enumerate(testbed.instances):
            self._idle[instance.name] = []
            instance.nested_call = functools.partial(self._call, instance)
            names = sorted(KINDS)
            if count > _FULL_LOAD_INSTANCES:
                names = [names[number % len(names)]]
            for name in names:
                rng = random.Random(f"{seed}/{instance.name}/{name}")
                self._tasks.append(
                    gevent.spawn(self._run_kind, instance, name, rng)
                )

    def stop(self) -> None:
        """Waits until each caller has finished its request in progress.

        Waits at most two seconds longer than any caller waits for a response.
        """
        self._stopping = True
        gevent.joinall(
            self._tasks,
            timeout=_records.BULK_TIMEOUT_S + _records.TIMEOUT_MARGIN_S + 2,
        )
        self.clock.stop()

    def _run(self, instance: _testbed.Instance, rng: random.Random) -> None:
        persistent: http1.Connection | None = None
        while not self._stopping:
            gevent.sleep(rng.expovariate(1.0 / self._mean_interval_s))
            route = rng.choice(_ROUTES)
            request_id = self._next_id(instance.name)
            use_new_connection = rng.random() < _NEW_CONNECTION_RATIO
            conn = (
                connect(instance)
                if use_new_connection or persistent is None
                else persistent
            )
            lag_before_s = self.clock.total_s()
            record, reusable = send_request(instance, conn, route, request_id)
            # The relay on the way runs in this process too.
            lag_s = self.clock.total_s() - lag_before_s
            record = record._replace(lag_s=max(lag_s, self.clock.lag_s()))
            self.records.append(record)
            if conn is None:
                continue
            if reusable and not use_new_connection:
                persistent = conn
                continue
            conn.close()
            if conn is persistent:
                persistent = None

    def _run_kind(
        self, instance: _testbed.Instance, name: str, rng: random.Random
    ) -> None:
        kind = KINDS[name]
        plans: dict[str, _connections.RequestPlan] = {}
        #: Requests that the node has not read.
        unread: deque[_connections.RequestPlan] = deque()
        while not self._stopping:
            gevent.sleep(rng.uniform(0.0, _RECONNECT_S))
            try:
                conn = _connections.CallerConnection(
                    instance, self.clock, kind.read_plan
                )
            except OSError:
                continue
            while True:
                while self._may_send(conn, kind):
                    if kind.mean_pause_s:
                        gevent.sleep(rng.expovariate(1.0 / kind.mean_pause_s))
                    plan = (
                        unread.popleft()
                        if unread
                        else _connections.draw_request(
                            rng,
                            kind.routes,
                            kind.min_padding_bytes,
                            kind.max_padding_bytes,
                        )
                    )
                    request_id = self._next_id(f"{instance.name}-{name}")
                    plans[request_id] = plan
                    conn.send(
                        plan._replace(request_id=request_id, close=kind.close)
                    )
                if not conn.unanswered_count:
                    conn.close()
                    break
                for record in conn.receive():
                    self.records.append(record)
                    plan = plans.pop(record.request_id)
                    if record.status == _records.NOT_READ:
                        unread.append(plan)

    def _may_send(
        self, conn: _connections.CallerConnection, kind: CallerKind
    ) -> bool:
        if self._stopping or conn.closed:
            return False
        return conn.unanswered_count < kind.depth

    def _call(self, instance: _testbed.Instance, left_s: float) -> bool:
        """Makes a call for the upstream of an instance, through its node."""
        if left_s <= 0.0:
            return False
        conn = self._take_idle(instance)
        if conn is None:
            try:
                conn = _connections.CallerConnection(instance, self.clock)
            except OSError:
                return False
        conn.send(
            _connections.RequestPlan(
                "read",
                left_s,
                request_id=self._next_id(f"{instance.name}-call"),
            )
        )
        records = conn.receive()
        self.records += records
        if not conn.closed:
            self._idle[instance.name].append(conn)
        return records[0].status == 200

    def _take_idle(
        self, instance: _testbed.Instance
    ) -> _connections.CallerConnection | None:
        """Returns an idle connection that the node has not closed."""
        idle = self._idle[instance.name]
        while idle:
            conn = idle.pop()
            if conn.is_clean():
                return conn
            conn.close()
        return None

    def _next_id(self, prefix: str) -> str:
        return f"{prefix}-{next(self._request_numbers)}"


def connect(instance: _testbed.Instance) -> http1.Connection | None:
    """Returns a connection to an instance's node, None if that fails."""
    try:
        return http1.open_connection(*instance.outbound, timeout_s=1.0)
    except errors.BackendError:
        return None


def send_request(
    instance: _testbed.Instance,
    conn: http1.Connection | None,
    route: str,
    request_id: str,
) -> tuple[_records.RequestRecord, bool]:
    """Sends one request; returns its record and whether `conn` is reusable."""
    record = _records.RequestRecord(
        request_id,
        instance.name,
        instance.start_count,
        route,
        time.monotonic(),
        time.monotonic(),
        _records.NO_CONNECTION,
    )
    if conn is None:
        return record, False
    method = b"POST" if route == "pay" else b"GET"
    request = http1.format_request(
        method,
        f"/{route}/x".encode(),
        [
            (b"host", documents.HOST.encode()),
            (b"x-attempt-id", request_id.encode()),
            (b"x-deadline-ms", str(_records.DEADLINE_MS).encode()),
        ],
        b"body" if route == "pay" else b"",
    )
    status, valid, reusable = _records.CLOSED_EARLY, True, False
    try:
        with gevent.Timeout(
            _records.DEADLINE_MS / 1000.0 + _records.TIMEOUT_MARGIN_S
        ):
            conn.send(request)
            response = conn.receive(False, _MAX_RESPONSE_BYTES)
        status = response.status
        valid = _records.is_valid(response, request_id)
        reusable = response.reusable
    except gevent.Timeout:
        status = _records.TIMED_OUT
    except errors.BackendError:
        status = _records.CLOSED_EARLY
    completed = record._replace(
        ended_at=time.monotonic(), status=status, valid=valid
    )
    return completed, reusable
