"""Connections of callers: reads requests and writes responses in order."""

import logging
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import gevent
from gevent import event
from gevent import socket as gevent_socket

from flamingolug import http1
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _configuration_watcher
from flamingolug.gateway import _model
from flamingolug.gateway import _request
from flamingolug.gateway import _request_state

_LOGGER = logging.getLogger(__name__)
_READ_BYTES = 65536
#: When a connection has this many unanswered requests, nothing more is read
#: from it until some have been answered. One read may start more, since it
#: takes up to `_READ_BYTES`.
MAX_PIPELINED = 32
#: Seconds between checks for idle and slow connections.
SWEEP_INTERVAL_S = 0.5
#: Seconds for which a closing connection waits for the caller to close its
#: side, so that a reset does not discard the last response.
LINGER_S = 0.5
#: Limits of connections accepted before the first configuration is active:
#: 64 KiB of head, 64 MiB of body, 3 s for a partial request, 15 s idle.
FIRST_LIMITS = _model.Limits(http1.MessageLimits(65536, 67108864), 3.0, 15.0)


class Dependencies(NamedTuple):
    """Dependencies of the entry."""

    cfg: _model.GatewaySettings
    watcher: _configuration_watcher.ConfigurationWatcher
    timers: timing.Timers
    #: Handles requests.
    handler: _request.Handler


class _PendingAnswer:
    """Response to one request; queued until earlier ones are written."""

    def __init__(self) -> None:
        """Creates a pending response."""
        self.state: _request_state.RequestState | None = None
        #: Formats the response; the argument says whether the connection is
        #: closed after it. None while the request is being served.
        self.render: Callable[[bool], bytes] | None = None
        self.close_after = False


class CallerConnection:
    """One connection of a caller, with pipelined requests."""

    def __init__(self, stream: http1.Stream, deps: Dependencies) -> None:
        """Creates a connection that owns an accepted stream."""
        self.closing = False
        #: Clock reading at which data was last received or a response
        #: written; initially that of the connection's start.
        self.active_at = deps.timers.now()
        self._deps = deps
        self._stream = stream
        self._pending: deque[_PendingAnswer] = deque()
        self._writing = False
        self._closed = False
        self._capacity_free = event.Event()
        active = deps.watcher.active
        self.limits = active.cfg.limits if active else FIRST_LIMITS
        self._reader = http1.RequestReader(self.limits.message)

    @property
    def busy(self) -> bool:
        """Whether a request is being served or a response written."""
        return bool(self._pending) or self._writing

    @property
    def partial(self) -> bool:
        """Whether a request has been received only in part."""
        return self._reader.partial

    def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            self._read()
        finally:
            self._abort()

    def refuse_partial_request(self) -> None:
        """Answers 408 to a partial request that did not continue in time."""
        self._answer_plain(408)

    def close(self) -> None:
        """Closes the connection."""
        if not self._closed:
            self._closed = True
            self._stream.close()

    def _read(self) -> None:
        reader = self._reader
        while not self._closed:
            try:
                data = self._stream.recv(_READ_BYTES)
            except OSError:
                return
            if not data:
                return
            self.active_at = self._deps.timers.now()
            reader.feed(data)
            while reader.ready and not self.closing:
                self._start_request(reader.ready.popleft())
            if reader.error_status and not self.closing:
                self._answer_plain(reader.error_status)
            if reader.wants_continue and not self._pending:
                reader.wants_continue = False
                self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
            while len(self._pending) >= MAX_PIPELINED and not self._closed:
                self._capacity_free.clear()
                self._capacity_free.wait()

    def _start_request(self, req: http1.Request) -> None:
        pending = _PendingAnswer()
        pending.close_after = not req.keep_alive
        if pending.close_after:
            self.closing = True
        self._pending.append(pending)
        state = _request_state.RequestState(req, self.active_at)
        pending.state = state
        gevent.spawn(self._serve, pending, state)

    def _serve(
        self, pending: _PendingAnswer, state: _request_state.RequestState
    ) -> None:
        try:
            answer = self._deps.handler.handle(state)
        except Exception as exc:
            telemetry.event(
                _LOGGER,
                "request.crashed",
                level=logging.ERROR,
                target=state.request.target.decode("latin-1"),
                error=repr(exc),
            )
            # The outcome is unknown, since an attempt may be in progress.
            answer = _request_state.Answer(502, [], b"internal error\n")
        is_head_request = state.request.method == b"HEAD"

        def render(close: bool) -> bytes:
            return http1.format_response(
                answer.status,
                answer.headers,
                answer.body,
                close,
                is_head_request,
            )

        pending.render = render
        self._flush()

    def _answer_plain(self, status: int) -> None:
        """Answers a request without a handler, then closes the connection.

        The request can't be read or did not continue in time.
        """
        pending = _PendingAnswer()
        pending.close_after = True
        pending.render = lambda close: http1.format_response(
            status, [], b"", close
        )
        self.closing = True
        self._pending.append(pending)
        telemetry.event(_LOGGER, "caller.unreadable", status=status)
        self._flush()

    def _flush(self) -> None:
        """Writes the available responses in the order of requests."""
        if self._writing:
            return
        self._writing = True
        try:
            while self._pending and not self._closed:
                pending = self._pending[0]
                if pending.render is None:
                    break
                self._pending.popleft()
                stopping = self._deps.handler.stopping
                close = pending.close_after or (stopping and not self._pending)
                if close:
                    self.closing = True
                self.active_at = self._deps.timers.now()
                self._send(pending.render(close))
                self._capacity_free.set()
                if close:
                    self._linger()
        finally:
            self._writing = False

    def _send(self, data: bytes) -> None:
        try:
            self._stream.send_all(data)
        except OSError:
            self._abort()

    def _linger(self) -> None:
        """Half-closes the connection and closes it after `LINGER_S`."""
        if self._closed:
            return
        try:
            self._stream.shutdown_write()
        except OSError:
            self._abort()
            return
        gevent.spawn_later(LINGER_S, self._abort)

    def _abort(self) -> None:
        """Closes the connection and cancels its pending requests."""
        self.close()
        self._capacity_free.set()
        unanswered, self._pending = self._pending, deque()
        for pending in unanswered:
            if pending.state is not None:
                pending.state.cancel()


class Entry:
    """Accepts connections of callers and closes idle ones."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates an entry without connections."""
        self._deps = deps
        self._connections: set[CallerConnection] = set()

    def start(self) -> None:
        """Starts the periodic check for idle and slow connections."""
        self._deps.timers.every(SWEEP_INTERVAL_S, self._sweep)

    @property
    def busy(self) -> bool:
        """Whether any request is in progress."""
        return any(connection.busy for connection in self._connections)

    def serve(self, sock: gevent_socket.socket, peer: tuple[str, int]) -> None:
        """Serves one connection until it ends."""
        del peer
        try:
            stream = http1.Stream(sock)
        except OSError:
            # The caller closed the connection before it was accepted.
            return
        connection = CallerConnection(stream, self._deps)
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)

    def close_idle(self) -> None:
        """Closes connections on which no request is in progress."""
        for connection in list(self._connections):
            if not connection.busy and not connection.partial:
                connection.close()

    def _sweep(self) -> None:
        now = self._deps.timers.now()
        for connection in list(self._connections):
            inactive_s = now - connection.active_at
            if connection.busy or connection.closing:
                continue
            if (
                connection.partial
                and inactive_s > connection.limits.header_timeout_s
            ):
                connection.refuse_partial_request()
                continue
            if (
                not connection.partial
                and inactive_s > connection.limits.idle_timeout_s
            ):
                connection.close()
