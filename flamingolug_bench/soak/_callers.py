"""Callers of a soak: open connections, many requests, a record of each."""

import itertools
import random
import time
from typing import NamedTuple

import gevent

from flamingolug import errors
from flamingolug import http1
from flamingolug_bench.soak import _place
from flamingolug_standins import documents

#: Milliseconds that a caller waits.
DEADLINE_MS = 2000
#: Seconds behind the deadline after which an answer counts as lost.
_LATE_S = 1.5
#: Seconds between two requests of one caller, on average.
_PAUSE_S = 0.08
#: Part of the requests that go out on a connection of their own.
_FRESH_SHARE = 0.2
_ROUTES = ("read", "read", "pay", "pay", "home")
_MAX_BYTES = 1 << 20


class Record(NamedTuple):
    """What became of one request, as its caller saw it."""

    request_id: str
    instance: str
    #: Which start of the node it was sent to.
    start: int
    route: str
    sent_at: float
    ended_at: float
    #: 0 where the connection ended without a whole answer, -1 where there
    #: was no connection, -2 where nothing came in time.
    status: int
    #: Whether a success is the upstream's own whole answer.
    own: bool = True


CUT, NO_CONNECTION, SILENT = 0, -1, -2


class Callers:
    """All callers; `records` grows while they run."""

    def __init__(self, place: _place.Place, seed: int) -> None:
        """Starts two callers beside each instance."""
        self.records: list[Record] = []
        self._numbers = itertools.count()
        self._stopping = False
        self._tasks = [
            gevent.spawn(self._run, instance, random.Random(f"{seed}/{each}"))
            for instance in place.instances
            for each in range(2)
        ]

    def stop(self) -> None:
        """Lets each caller finish its request."""
        self._stopping = True
        gevent.joinall(self._tasks, timeout=DEADLINE_MS / 1000.0 + _LATE_S + 2)

    def _run(self, instance: _place.Instance, rng: random.Random) -> None:
        kept: http1.Connection | None = None
        while not self._stopping:
            gevent.sleep(rng.expovariate(1.0 / _PAUSE_S))
            route = rng.choice(_ROUTES)
            request_id = f"{instance.name}-{next(self._numbers)}"
            fresh = rng.random() < _FRESH_SHARE
            conn = open_to(instance) if fresh or kept is None else kept
            record, usable = ask(instance, conn, route, request_id)
            self.records.append(record)
            if conn is None:
                continue
            if usable and not fresh:
                kept = conn
                continue
            conn.close()
            if conn is kept:
                kept = None


def open_to(instance: _place.Instance) -> http1.Connection | None:
    """Opens a connection to an instance's node, None if there is none."""
    try:
        return http1.open_connection(*instance.outbound, timeout_s=1.0)
    except errors.BackendError:
        return None


def ask(
    instance: _place.Instance,
    conn: http1.Connection | None,
    route: str,
    request_id: str,
) -> tuple[Record, bool]:
    """Sends one request; returns its record and if `conn` may be used on."""
    record = Record(
        request_id,
        instance.name,
        instance.starts,
        route,
        time.monotonic(),
        time.monotonic(),
        NO_CONNECTION,
    )
    if conn is None:
        return record, False
    method = b"POST" if route == "pay" else b"GET"
    data = http1.format_request(
        method,
        f"/{route}/x".encode(),
        [
            (b"host", documents.HOST.encode()),
            (b"x-attempt-id", request_id.encode()),
            (b"x-deadline-ms", str(DEADLINE_MS).encode()),
        ],
        b"body" if route == "pay" else b"",
    )
    status, own, usable = CUT, True, False
    try:
        with gevent.Timeout(DEADLINE_MS / 1000.0 + _LATE_S):
            conn.send(data)
            response = conn.receive(False, _MAX_BYTES)
        status = response.status
        own = _is_own(response, request_id)
        usable = response.reusable
    except gevent.Timeout:
        status = SILENT
    except errors.BackendError:
        status = CUT
    ended = record._replace(ended_at=time.monotonic(), status=status, own=own)
    return ended, usable


def _is_own(response: http1.Response, request_id: str) -> bool:
    name = request_id.encode()
    if response.header(b"x-attempt-id") != name:
        return False
    if response.status != 200:
        return True
    sealed = response.header(b"x-response-seal") == b"seal-" + name
    return sealed and response.body == b"body of " + name
