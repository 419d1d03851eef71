"""Where callers connect: reads requests and writes answers in their order."""

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
#: Requests of one connection that are served at the same time; more are read
#: once some are answered.
MAX_PIPELINED = 32
#: Seconds between looks at connections that are idle or slow.
SWEEP_INTERVAL_S = 0.5
#: Seconds that a closing connection waits for the caller to close its side,
#: so that the last answer is not lost to a reset.
LINGER_S = 0.5
#: Limits before the first configuration.
FIRST_LIMITS = _model.Limits(http1.MessageLimits(65536, 67108864), 3.0, 15.0)


class Dependencies(NamedTuple):
    """What the entry works with."""

    cfg: _model.GatewaySettings
    watcher: _configuration_watcher.ConfigurationWatcher
    timers: timing.Timers
    #: Serves one request.
    handler: _request.Handler


class _PendingAnswer:
    """Place of one request in the order of answers."""

    def __init__(self) -> None:
        """Creates a place without an answer."""
        self.state: _request_state.RequestState | None = None
        #: Builds the answer, given whether the connection then closes.
        self.render: Callable[[bool], bytes] | None = None
        self.close = False


class CallerConnection:
    """One connection of a caller."""

    def __init__(self, stream: http1.Stream, deps: Dependencies) -> None:
        """Takes over an accepted connection."""
        self.closing = False
        self.active_at = deps.timers.now()
        self._deps = deps
        self._stream = stream
        self._slots: deque[_PendingAnswer] = deque()
        self._writing = False
        self._ended = False
        self._room = event.Event()
        active = deps.watcher.active
        self.limits = active.cfg.limits if active else FIRST_LIMITS
        self._reader = http1.RequestReader(self.limits.message)

    @property
    def busy(self) -> bool:
        """Whether a request is being served or answered."""
        return bool(self._slots) or self._writing

    @property
    def partial(self) -> bool:
        """Whether a request has begun and is not complete."""
        return self._reader.partial

    def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            self._read()
        finally:
            self._give_up()

    def refuse_slow_head(self) -> None:
        """Ends a connection whose request does not become complete."""
        self._answer_plain(408)

    def end(self) -> None:
        """Closes a connection on which nothing is in progress."""
        if not self._ended:
            self._ended = True
            self._stream.close()

    def _read(self) -> None:
        reader = self._reader
        while not self._ended:
            try:
                data = self._stream.recv(_READ_BYTES)
            except OSError:
                return
            if not data:
                return
            self.active_at = self._deps.timers.now()
            reader.feed(data)
            while reader.ready and not self.closing:
                self._begin(reader.ready.popleft())
            if reader.status and not self.closing:
                self._answer_plain(reader.status)
            if reader.wants_continue and not self._slots:
                reader.wants_continue = False
                self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
            while len(self._slots) >= MAX_PIPELINED and not self._ended:
                self._room.clear()
                self._room.wait()

    def _begin(self, req: http1.Request) -> None:
        slot = _PendingAnswer()
        slot.close = not req.keep_alive
        if slot.close:
            self.closing = True
        self._slots.append(slot)
        state = _request_state.RequestState(req, self.active_at)
        slot.state = state
        gevent.spawn(self._serve, slot, state)

    def _serve(
        self, slot: _PendingAnswer, state: _request_state.RequestState
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
            # Nothing is promised: an attempt may be under way.
            answer = _request_state.Answer(502, [], b"internal error\n")
        head = state.request.method == b"HEAD"

        def render(close: bool) -> bytes:
            return http1.format_response(
                answer.status, answer.headers, answer.body, close, head
            )

        slot.render = render
        self._flush()

    def _answer_plain(self, status: int) -> None:
        """Answers a request that can't be read, then closes."""
        slot = _PendingAnswer()
        slot.close = True
        slot.render = lambda close: http1.format_response(
            status, [], b"", close
        )
        self.closing = True
        self._slots.append(slot)
        telemetry.event(_LOGGER, "caller.unreadable", status=status)
        self._flush()

    def _flush(self) -> None:
        """Writes the answers that are due, in the order of requests."""
        if self._writing:
            return
        self._writing = True
        try:
            while self._slots and not self._ended:
                slot = self._slots[0]
                if slot.render is None:
                    break
                self._slots.popleft()
                stopping = self._deps.handler.stopping
                close = slot.close or (stopping and not self._slots)
                if close:
                    self.closing = True
                self.active_at = self._deps.timers.now()
                self._send(slot.render(close))
                self._room.set()
                if close:
                    self._linger()
        finally:
            self._writing = False

    def _send(self, data: bytes) -> None:
        try:
            self._stream.send_all(data)
        except OSError:
            self._give_up()

    def _linger(self) -> None:
        """Closes the connection without losing the answer behind it."""
        if self._ended:
            return
        try:
            self._stream.shutdown_write()
        except OSError:
            self._give_up()
            return
        gevent.spawn_later(LINGER_S, self._give_up)

    def _give_up(self) -> None:
        """Ends the connection and everything that it waits for."""
        self.end()
        self._room.set()
        slots, self._slots = self._slots, deque()
        for slot in slots:
            if slot.state is not None:
                slot.state.cancel()


class Entry:
    """Accepts callers and looks after their connections."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts without connections."""
        self._deps = deps
        self._callers: set[CallerConnection] = set()

    def start(self) -> None:
        """Begins to look after idle connections."""
        self._deps.timers.every(SWEEP_INTERVAL_S, self._sweep)

    @property
    def busy(self) -> bool:
        """Whether any request is in progress."""
        return any(caller.busy for caller in self._callers)

    def serve(self, sock: gevent_socket.socket, peer: tuple[str, int]) -> None:
        """Serves one connection until it ends."""
        del peer
        try:
            stream = http1.Stream(sock)
        except OSError:
            # The caller has gone before its connection was accepted.
            return
        caller = CallerConnection(stream, self._deps)
        self._callers.add(caller)
        try:
            caller.run()
        finally:
            self._callers.discard(caller)

    def close_idle(self) -> None:
        """Closes connections on which no request is in progress."""
        for caller in list(self._callers):
            if not caller.busy and not caller.partial:
                caller.end()

    def _sweep(self) -> None:
        now = self._deps.timers.now()
        for caller in list(self._callers):
            quiet_s = now - caller.active_at
            if caller.busy or caller.closing:
                continue
            if caller.partial and quiet_s > caller.limits.header_timeout_s:
                caller.refuse_slow_head()
                continue
            if not caller.partial and quiet_s > caller.limits.idle_timeout_s:
                caller.end()
