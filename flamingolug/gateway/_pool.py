"""Pool of connections to the node's backend server."""

from collections.abc import Callable

from flamingolug import http1

#: Seconds to open a connection to the backend server, which runs on the same
#: instance as the node.
CONNECT_TIMEOUT_S = 0.5
#: Idle seconds after which a connection is not reused, unless the backend
#: server announces a shorter time-out.
DEFAULT_IDLE_S = 4.0
#: Seconds subtracted from the announced idle time-out, so that a request rarely
#: coincides with the close of its connection by the backend server.
IDLE_MARGIN_S = 1.0
#: Idle seconds after which a connection is not reused for a non-idempotent
#: request: if the backend server has dropped the connection, the reset would
#: leave the outcome of the request unknown.
NON_IDEMPOTENT_MAX_IDLE_S = 1.0


class Pool:
    """Connections to one backend server, reused in last-in first-out order."""

    def __init__(
        self,
        address: tuple[str, int],
        local_host: str,
        now: Callable[[], float],
        on_open: Callable[[], None],
        memory: http1.ResponseMemory,
    ) -> None:
        """Creates a pool without connections.

        Args:
            address: host and port of the backend server.
            local_host: local address of the connections.
            now: clock, in seconds.
            on_open: called for each connection that is opened.
            memory: limit of what incomplete responses hold together.
        """
        self._address = address
        self._local_host = local_host
        self._now = now
        self._on_open = on_open
        self._memory = memory
        #: Each with the clock reading since which it is idle and the longest
        #: idle time, seconds.
        self._idle: list[tuple[http1.Connection, float, float]] = []
        self._closed = False

    def acquire(self, idempotent: bool, timeout_s: float) -> http1.Connection:
        """Returns a connection for exclusive use.

        Raises:
            BackendError: no connection could be opened; nothing was sent.
        """
        now = self._now()
        while self._idle:
            conn, idle_since, max_idle_s = self._idle.pop()
            idle_s = now - idle_since
            if not idempotent and idle_s > NON_IDEMPOTENT_MAX_IDLE_S:
                max_idle_s = 0.0
            if idle_s < max_idle_s and conn.is_clean():
                return conn
            conn.close()
        conn = http1.open_connection(
            *self._address,
            min(timeout_s, CONNECT_TIMEOUT_S),
            self._local_host,
            # The deadline of each call limits how long it may take.
            peer_may_pause=True,
            memory=self._memory,
        )
        self._on_open()
        return conn

    def release(self, conn: http1.Connection, response: http1.Response) -> None:
        """Puts a connection back for reuse, or closes it if not reusable."""
        max_idle_s = _idle_timeout_s(response.header(b"keep-alive"))
        if self._closed:
            conn.close()
            return
        if not response.reusable or conn.closed or max_idle_s <= 0.0:
            conn.close()
            return
        self._idle.append((conn, self._now(), max_idle_s))

    def trim(self) -> None:
        """Closes connections that have been idle for too long."""
        now = self._now()
        remaining: list[tuple[http1.Connection, float, float]] = []
        for conn, idle_since, max_idle_s in self._idle:
            if now - idle_since < max_idle_s:
                remaining.append((conn, idle_since, max_idle_s))
                continue
            conn.close()
        self._idle = remaining

    def close(self) -> None:
        """Closes idle connections now, and the others at their release."""
        self._closed = True
        for conn, _, _ in self._idle:
            conn.close()
        self._idle = []


def _idle_timeout_s(keep_alive: bytes) -> float:
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return min(float(value) - IDLE_MARGIN_S, DEFAULT_IDLE_S)
    return DEFAULT_IDLE_S


def exchange(
    conn: http1.Connection, data: bytes, is_head_request: bool, max_bytes: int
) -> http1.Response:
    """Sends a request and reads the next response on the connection.

    Raises:
        BackendError: no complete response was received.
    """
    fully_sent = conn.send(data)
    response = conn.receive(is_head_request, max_bytes)
    if not fully_sent:
        # The rest of the body was not sent; the backend server would read the
        # next request as that rest.
        return response._replace(reusable=False)
    return response
