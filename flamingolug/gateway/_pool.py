"""Open connections to the backend server beside the node."""

from collections.abc import Callable

from flamingolug import http1

#: Seconds to open a connection inside the instance.
CONNECT_TIMEOUT_S = 0.5
#: Idle seconds after which a connection is not reused, unless the backend
#: server states a shorter time.
DEFAULT_IDLE_S = 4.0
#: Taken off the stated idle time, so that request and close rarely cross.
IDLE_MARGIN_S = 1.0
#: Idle seconds after which a request that must not run twice goes out on a
#: fresh connection: a reset on a forgotten one would leave it unknown.
FRESH_AFTER_S = 1.0


class Pool:
    """Connections to one backend server, the last used one first."""

    def __init__(
        self,
        host: str,
        port: int,
        local_host: str,
        now: Callable[[], float],
        opened: Callable[[], None],
    ) -> None:
        """Starts without connections.

        Args:
            host: host of the backend server.
            port: its port.
            local_host: address to connect from.
            now: clock.
            opened: called for each connection that is opened.
        """
        self._host = host
        self._port = port
        self._local_host = local_host
        self._now = now
        self._opened = opened
        self._idle: list[tuple[http1.Connection, float, float]] = []

    def acquire(self, idempotent: bool, timeout_s: float) -> http1.Connection:
        """Returns a connection that nothing else uses.

        Raises:
            BackendError: no connection could be opened; nothing was sent.
        """
        now = self._now()
        while self._idle:
            conn, since, allowed_s = self._idle.pop()
            idle_s = now - since
            if not idempotent and idle_s > FRESH_AFTER_S:
                allowed_s = 0.0
            if idle_s < allowed_s and conn.is_clean():
                return conn
            conn.close()
        conn = http1.open_connection(
            self._host,
            self._port,
            min(timeout_s, CONNECT_TIMEOUT_S),
            self._local_host,
        )
        self._opened()
        return conn

    def release(self, conn: http1.Connection, response: http1.Response) -> None:
        """Keeps a connection for another request, if it may be reused."""
        allowed_s = _idle_allowed(response.header(b"keep-alive"))
        if not response.reusable or conn.closed or allowed_s <= 0.0:
            conn.close()
            return
        self._idle.append((conn, self._now(), allowed_s))

    def trim(self) -> None:
        """Closes connections that have been idle for too long."""
        now = self._now()
        kept: list[tuple[http1.Connection, float, float]] = []
        for conn, since, allowed_s in self._idle:
            if now - since < allowed_s:
                kept.append((conn, since, allowed_s))
                continue
            conn.close()
        self._idle = kept

    def close(self) -> None:
        """Closes every idle connection."""
        for conn, _, _ in self._idle:
            conn.close()
        self._idle = []


def _idle_allowed(keep_alive: bytes) -> float:
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return min(float(value) - IDLE_MARGIN_S, DEFAULT_IDLE_S)
    return DEFAULT_IDLE_S


def exchange(
    conn: http1.Connection, data: bytes, head: bool, max_bytes: int
) -> http1.Response:
    """Sends a request and reads the next response on the connection.

    Raises:
        BackendError: there is no whole response.
    """
    whole = conn.send(data)
    response = conn.receive(head, max_bytes)
    if not whole:
        # The rest of the body was never sent; the server would take the next
        # request for it.
        return response._replace(reusable=False)
    return response
