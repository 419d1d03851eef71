"""Load generator of a soak: concurrent callers that record each request.

Times `..._at` are seconds of `time.monotonic()`.
"""

import itertools
import random
import time
from typing import NamedTuple

import gevent

from flamingolug import errors
from flamingolug import http1
from flamingolug_bench.soak import _testbed
from flamingolug_standins import documents

#: Request deadline sent by each caller, milliseconds.
DEADLINE_MS = 2000
#: Seconds after the deadline at which a caller stops waiting for a response.
_TIMEOUT_MARGIN_S = 1.5
#: Mean interval between the requests of one caller, seconds.
_MEAN_INTERVAL_S = 0.08
#: Fraction of the requests that are sent on a new connection of their own.
_NEW_CONNECTION_RATIO = 0.2
#: Routes to draw from; a repeated one is drawn more often.
_ROUTES = ("read", "read", "pay", "pay", "home")
_MAX_RESPONSE_BYTES = 1 << 20


class RequestRecord(NamedTuple):
    """Outcome of one request as its caller observed it."""

    request_id: str
    instance: str
    #: `Instance.start_count` of the node process that it was sent to.
    start_count: int
    route: str
    sent_at: float
    ended_at: float
    #: HTTP status, or `CLOSED_EARLY`, `NO_CONNECTION` or `TIMED_OUT`.
    status: int
    #: Whether the response carries the request's identity and, for status
    #: 200, the seal and the body that belong to this identity. True without a
    #: complete response.
    valid: bool = True


#: Values of `RequestRecord.status` without a complete response: the connection
#: was closed first, it could not be opened, or no response came in time.
CLOSED_EARLY, NO_CONNECTION, TIMED_OUT = 0, -1, -2


class Callers:
    """Runs the callers; appends each finished request to `records`."""

    def __init__(self, testbed: _testbed.Testbed, seed: int) -> None:
        """Starts two callers for each instance."""
        self.records: list[RequestRecord] = []
        self._request_numbers = itertools.count()
        self._stopping = False
        self._tasks = [
            gevent.spawn(self._run, instance, random.Random(f"{seed}/{index}"))
            for instance in testbed.instances
            for index in range(2)
        ]

    def stop(self) -> None:
        """Waits until each caller has finished its request in progress.

        Waits at most two seconds longer than a caller waits for a response.
        """
        self._stopping = True
        gevent.joinall(
            self._tasks, timeout=DEADLINE_MS / 1000.0 + _TIMEOUT_MARGIN_S + 2
        )

    def _run(self, instance: _testbed.Instance, rng: random.Random) -> None:
        persistent: http1.Connection | None = None
        while not self._stopping:
            gevent.sleep(rng.expovariate(1.0 / _MEAN_INTERVAL_S))
            route = rng.choice(_ROUTES)
            request_id = f"{instance.name}-{next(self._request_numbers)}"
            use_new_connection = rng.random() < _NEW_CONNECTION_RATIO
            conn = (
                connect(instance)
                if use_new_connection or persistent is None
                else persistent
            )
            record, reusable = send_request(instance, conn, route, request_id)
            self.records.append(record)
            if conn is None:
                continue
            if reusable and not use_new_connection:
                persistent = conn
                continue
            conn.close()
            if conn is persistent:
                persistent = None


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
) -> tuple[RequestRecord, bool]:
    """Sends one request; returns its record and whether `conn` is reusable."""
    record = RequestRecord(
        request_id,
        instance.name,
        instance.start_count,
        route,
        time.monotonic(),
        time.monotonic(),
        NO_CONNECTION,
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
            (b"x-deadline-ms", str(DEADLINE_MS).encode()),
        ],
        b"body" if route == "pay" else b"",
    )
    status, valid, reusable = CLOSED_EARLY, True, False
    try:
        with gevent.Timeout(DEADLINE_MS / 1000.0 + _TIMEOUT_MARGIN_S):
            conn.send(request)
            response = conn.receive(False, _MAX_RESPONSE_BYTES)
        status = response.status
        valid = _is_valid(response, request_id)
        reusable = response.reusable
    except gevent.Timeout:
        status = TIMED_OUT
    except errors.BackendError:
        status = CLOSED_EARLY
    completed = record._replace(
        ended_at=time.monotonic(), status=status, valid=valid
    )
    return completed, reusable


def _is_valid(response: http1.Response, request_id: str) -> bool:
    expected_id = request_id.encode()
    if response.header(b"x-attempt-id") != expected_id:
        return False
    if response.status != 200:
        return True
    seal_matches = response.header(b"x-response-seal") == b"seal-" + expected_id
    return seal_matches and response.body == b"body of " + expected_id
