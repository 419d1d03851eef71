"""Connections of callers: reads requests and writes responses in order."""

import functools
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
from flamingolug.gateway import _metrics
from flamingolug.gateway import _model
from flamingolug.gateway import _request
from flamingolug.gateway import _request_state

_LOGGER = logging.getLogger(__name__)
_READ_BYTES = 65536
#: When a connection has this many unanswered requests, nothing more is read
#: from it until some have been answered. One read may start more, since it
#: takes up to `_READ_BYTES`.
MAX_PIPELINED = 32
#: Bytes behind the request whose response closes the connection that are still
#: parsed, to log the requests in them. Further ones are read and discarded.
MAX_BYTES_BEHIND = 65536
#: Seconds between checks for idle and slow connections.
SWEEP_INTERVAL_S = 0.5
#: Maximum numbers of request ids in a log line and of characters of an id.
MAX_LOGGED_IDS = 32
MAX_LOGGED_ID_LENGTH = 128
#: Limits of connections accepted before the first configuration is active:
#: 64 KiB of head, 64 MiB of body, 3 s for a partial request, 15 s idle.
FIRST_LIMITS = _model.Limits(http1.MessageLimits(65536, 67108864), 3.0, 15.0)
#: Answer to a request whose handling failed by a defect of the node. The
#: outcome is unknown, since an attempt may be in progress.
_CRASHED_ANSWER = _request_state.Answer(502, [], b"internal error\n")


class Dependencies(NamedTuple):
    """Dependencies of the entry."""

    cfg: _model.GatewaySettings
    watcher: _configuration_watcher.ConfigurationWatcher
    timers: timing.Timers
    #: Handles requests.
    handler: _request.Handler
    metrics: _metrics.Metrics
    #: Name of the header with the id of a request.
    request_id_header: bytes


class _PendingAnswer:
    """Response to one request; queued until earlier ones are written."""

    def __init__(self) -> None:
        """Creates a pending response."""
        self.state: _request_state.RequestState | None = None
        #: Formats the response; the argument says whether the connection is
        #: closed after it. None while the request is being served.
        self.render: Callable[[bool], bytes] | None = None
        self.close_after = False


class Load(NamedTuple):
    """Numbers of open connections and of unanswered requests."""

    connections: int
    #: Requests without a completely written response.
    pending: int
    #: Connections whose sending side is closed already.
    lingering: int


class CallerConnection:
    """One connection of a caller, with pipelined requests."""

    def __init__(
        self, stream: http1.Stream, peer: str, deps: Dependencies
    ) -> None:
        """Creates a connection that owns an accepted stream."""
        self.peer = peer
        #: Clock reading since which this side waits for the caller to close the
        #: connection, or to receive more of its output; None before that.
        self.lingering_since: float | None = None
        #: Bytes that the caller's host had not received at `lingering_since`.
        self._lingering_bytes = 0
        self.closing = False
        #: Clock reading at which data was last received or a response
        #: written; initially that of the connection's start.
        self.active_at = deps.timers.now()
        self._deps = deps
        self._stream = stream
        self._pending: deque[_PendingAnswer] = deque()
        self._writing = False
        #: Response that is being written.
        self._unwritten: _PendingAnswer | None = None
        #: Number of responses written.
        self._answered = 0
        #: Headers of the last request whose response was written.
        self._answered_headers: http1.Headers = []
        self._closed = False
        #: Whether `drain` was called.
        self._draining = False
        self._reported = False
        #: Bytes received behind the request whose response closes the
        #: connection.
        self._bytes_behind = 0
        self._capacity_free = event.Event()
        active = deps.watcher.active
        self.limits = active.cfg.limits if active else FIRST_LIMITS
        self._reader = http1.RequestReader(self.limits.message)

    @property
    def busy(self) -> bool:
        """Whether a request is being served or a response written."""
        return bool(self._pending) or self._writing

    @property
    def lingering(self) -> bool:
        """Whether this side waits for the caller to close the connection.

        The caller may still be reading the last response. A close on this side
        could reset the connection, which discards what is unread.
        """
        return self.lingering_since is not None

    @property
    def has_work(self) -> bool:
        """Whether a request or a response is in progress.

        That includes a request of which not all has been read, and a response
        of which the caller's host has not received everything.
        """
        if not (self.lingering or self.is_idle()):
            return True
        return self._stream.queued().unsent_bytes > 0

    @property
    def pending(self) -> int:
        """Number of requests without a completely written response."""
        return len(self._pending) + (self._unwritten is not None)

    @property
    def partial(self) -> bool:
        """Whether a request has been received only in part."""
        return self._reader.partial

    def run(self) -> None:
        """Serves the connection until it ends."""
        try:
            self._abort(*self._read())
        except gevent.GreenletExit:
            self._abort("killed", "")
            raise
        except BaseException as exc:
            telemetry.event(
                _LOGGER,
                "caller.crashed",
                level=logging.ERROR,
                peer=self.peer,
                error=repr(exc),
            )
            self._abort("crashed", repr(exc))
            raise
        finally:
            self._reader.discard()

    def is_idle(self) -> bool:
        """Returns whether no request is in progress and no response is written.

        Unread input is a request in progress; a close would reset it. The
        caller may still be reading the last response.
        """
        if self.busy or self.partial or self.lingering:
            return False
        return not self._stream.has_input()

    def refuse_partial_request(self) -> None:
        """Answers 408 to a partial request that did not continue in time."""
        self._answer_plain(408)

    def interrupt(self) -> None:
        """Interrupts pending requests, which are then answered at once."""
        for pending in list(self._pending):
            if pending.state is not None:
                pending.state.interrupt()

    def drain(self) -> None:
        """Makes the response to the last request received close the connection.

        Without a pending request, that is the response to the next one.
        Requests behind it are not started; their callers send them again.
        """
        self._draining = True
        self._close_after_pending()

    def finish(self) -> None:
        """Half-closes an idle connection.

        A caller that has read everything closes it in turn. Further requests
        are not served.
        """
        self.closing = True
        self._linger()

    def linger_s(self) -> float:
        """Returns for how long a half-closed connection has not moved on.

        A caller that reads slowly, but reads, keeps its connection. 0 before
        the half-close.
        """
        if self.lingering_since is None:
            return 0.0
        now = self._deps.timers.now()
        unsent_bytes = self._stream.queued().unsent_bytes
        if unsent_bytes < self._lingering_bytes:
            self._lingering_bytes = unsent_bytes
            self.lingering_since = now
        return now - self.lingering_since

    def close(self, reason: str) -> None:
        """Closes the connection at once; the caller may lose what is unsent."""
        if not self._closed:
            self.report_end(reason, "")
            self._closed = True
            self._stream.close()

    def report_end(self, reason: str, error: str) -> None:
        """Logs what callers lose if the connection ends now, once."""
        if self._closed or self._reported:
            return
        self._reported = True
        unanswered = list(self._pending)
        if self._unwritten is not None:
            unanswered.insert(0, self._unwritten)
        not_started = len(self._reader.ready)
        if unanswered:
            self._report_cut(reason, error, unanswered)
        elif not_started:
            self._report_cut("not-started", error, [])
        if not_started:
            self._deps.metrics.counters.add(
                _metrics.CUT_REQUESTS, "not-started", count=not_started
            )
        if reason not in ("caller-closed", "read-failed", "write-failed"):
            self._report_undelivered(reason)

    def _report_cut(
        self, reason: str, error: str, unanswered: list[_PendingAnswer]
    ) -> None:
        """Logs and counts requests that end without a complete answer."""
        now = self._deps.timers.now()
        states = [each.state for each in unanswered if each.state is not None]
        stopping_since = self._deps.handler.stopping_since
        since_stop = 0
        if stopping_since is not None:
            since_stop = sum(
                state.started_at >= stopping_since for state in states
            )
        if unanswered:
            self._deps.metrics.counters.add(
                _metrics.CUT_REQUESTS, reason, count=len(unanswered)
            )
        telemetry.event(
            _LOGGER,
            "caller.cut",
            reason=reason,
            peer=self.peer,
            error=error,
            pending=len(unanswered),
            passed_on=sum(state.offers > 0 for state in states),
            ready=sum(each.render is not None for each in unanswered),
            not_started=len(self._reader.ready),
            partial=self.partial,
            oldest_s=round(now - states[0].started_at, 4) if states else 0.0,
            answered=self._answered,
            writing=self._unwritten is not None,
            closing=self.closing,
            stopping_s=self._stopping_s(now),
            since_stop=since_stop,
            ids=self._ids_of(
                [*(state.request for state in states), *self._reader.ready]
            ),
        )

    def _report_undelivered(self, closed_by: str) -> None:
        """Logs output that a close on this side may lose."""
        queued = self._stream.queued()
        reason = ""
        if queued.unread_bytes:
            # The close becomes a reset, which discards unsent output.
            reason = "unread"
        elif queued.unsent_bytes:
            reason = "unsent"
        elif self.lingering:
            reason = "caller-open"
        if not reason:
            return
        self._deps.metrics.counters.add(_metrics.UNDELIVERED, reason)
        last_id = _find_header(
            self._answered_headers, self._deps.request_id_header
        )
        telemetry.event(
            _LOGGER,
            "caller.undelivered",
            reason=reason,
            id=last_id.decode("latin-1")[:MAX_LOGGED_ID_LENGTH],
            peer=self.peer,
            by=closed_by,
            unread=queued.unread_bytes,
            unsent=queued.unsent_bytes,
            lingering=self.lingering,
            inactive_s=round(self._deps.timers.now() - self.active_at, 4),
            answered=self._answered,
            stopping_s=self._stopping_s(self._deps.timers.now()),
        )

    def _stopping_s(self, now: float) -> str:
        """Returns for how many seconds the node has been stopping, or "-"."""
        since = self._deps.handler.stopping_since
        return "-" if since is None else f"{now - since:.3f}"

    def _ids_of(self, requests: list[http1.Request]) -> str:
        ids = [
            request.header(self._deps.request_id_header).decode("latin-1")
            for request in requests[:MAX_LOGGED_IDS]
        ]
        return ",".join(each[:MAX_LOGGED_ID_LENGTH] for each in ids)

    def _read(self) -> tuple[str, str]:
        """Reads until the connection ends; returns the reason and error."""
        reader = self._reader
        while not self._closed:
            try:
                data = self._stream.recv(_READ_BYTES)
            except OSError as exc:
                return "read-failed", str(exc)
            if not data:
                return "caller-closed", ""
            self.active_at = self._deps.timers.now()
            if self.closing:
                # The requests behind the closing response are not served.
                self._bytes_behind += len(data)
                if self._bytes_behind > MAX_BYTES_BEHIND:
                    continue
            reader.feed(data)
            while reader.ready and not self.closing:
                self._start_request(reader.ready.popleft())
            if self._draining:
                self._close_after_pending()
            if reader.error_status and not self.closing:
                self._answer_plain(reader.error_status)
            self._send_continue()
            while len(self._pending) >= MAX_PIPELINED and not self._closed:
                self._capacity_free.clear()
                self._capacity_free.wait()
        return "closed-here", ""

    def _send_continue(self) -> None:
        """Sends `100 Continue` if the caller waits for it and it may be sent.

        It must neither come between the bytes of a response nor follow the
        response that closes the connection.
        """
        if not self._reader.wants_continue or self.busy or self.closing:
            return
        self._reader.wants_continue = False
        self._writing = True
        try:
            self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
        finally:
            self._writing = False
        self._flush()

    def _close_after_pending(self) -> None:
        if self._pending and not self.closing:
            self._pending[-1].close_after = True
            self.closing = True

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
        except gevent.GreenletExit:
            raise
        except BaseException as exc:
            self._log_crash(state.request, exc)
            answer = _CRASHED_ANSWER
        pending.render = functools.partial(self._format, state.request, answer)
        # Only the pending answer refers to the body then.
        del answer
        self._flush()

    def _format(
        self, req: http1.Request, answer: _request_state.Answer, close: bool
    ) -> bytes:
        """Returns the bytes of an answer, of a 502 if it has no valid form."""
        is_head_request = req.method == b"HEAD"
        try:
            return http1.format_response(*answer, close, is_head_request)
        except Exception as exc:
            self._log_crash(req, exc)
            return http1.format_response(
                *_CRASHED_ANSWER, close, is_head_request
            )

    def _log_crash(self, req: http1.Request, exc: BaseException) -> None:
        telemetry.event(
            _LOGGER,
            "request.crashed",
            level=logging.ERROR,
            id=self._ids_of([req]),
            target=req.target.decode("latin-1"),
            error=repr(exc),
        )

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
                self._unwritten = pending
                data = pending.render(close)
                # Frees the body while the caller reads its copy.
                pending.render = None
                self._send(data)
                self._unwritten = None
                if not self._closed:
                    self._answered += 1
                if pending.state is not None:
                    self._answered_headers = pending.state.request.headers
                self._capacity_free.set()
                if close:
                    self._linger()
        except BaseException as exc:
            # A later response must not be taken for the one that is missing.
            self._abort("answer-crashed", repr(exc))
            raise
        finally:
            self._unwritten = None
            self._writing = False
        self._send_continue()

    def _send(self, data: bytes) -> None:
        try:
            self._stream.send_all(
                data, stall_timeout_s=self.limits.idle_timeout_s
            )
        except OSError as exc:
            self._abort("write-failed", str(exc))

    def _linger(self) -> None:
        """Half-closes the connection and waits for the caller to close it.

        The entry closes it if the caller neither does so nor receives anything
        for the idle time-out.
        """
        if self._closed:
            return
        try:
            self._stream.shutdown_write()
        except OSError as exc:
            self._abort("write-failed", str(exc))
            return
        self._lingering_bytes = self._stream.queued().unsent_bytes
        self.lingering_since = self._deps.timers.now()

    def _abort(self, reason: str, error: str) -> None:
        """Closes the connection and cancels its pending requests."""
        self.report_end(reason, error)
        self.close(reason)
        self._capacity_free.set()
        unanswered, self._pending = self._pending, deque()
        for pending in unanswered:
            if pending.state is not None:
                pending.state.cancel()


def _find_header(headers: http1.Headers, name: bytes) -> bytes:
    for field_name, value in headers:
        if field_name == name:
            return value
    return b""


class Entry:
    """Accepts connections of callers and closes idle ones."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates an entry without connections."""
        self._deps = deps
        self._connections: set[CallerConnection] = set()
        self._draining = False

    def start(self) -> None:
        """Starts the periodic check for idle and slow connections."""
        self._deps.timers.every(SWEEP_INTERVAL_S, self._sweep)

    @property
    def busy(self) -> bool:
        """Whether any request is in progress."""
        return any(connection.busy for connection in self._connections)

    @property
    def has_work(self) -> bool:
        """Whether any request or response is in progress."""
        return any(connection.has_work for connection in self._connections)

    @property
    def has_connections(self) -> bool:
        """Whether any connection of a caller is open."""
        return bool(self._connections)

    def load(self) -> Load:
        """Returns the numbers of connections and unanswered requests."""
        return Load(
            len(self._connections),
            sum(connection.pending for connection in self._connections),
            sum(connection.lingering for connection in self._connections),
        )

    def report_interrupted(self) -> None:
        """Logs the requests and output that the end of the node cuts off."""
        for connection in list(self._connections):
            connection.report_end("interrupted", "")

    def serve(self, sock: gevent_socket.socket, peer: tuple[str, int]) -> None:
        """Serves one connection until it ends."""
        try:
            stream = http1.Stream(sock, peer_may_pause=True)
        except OSError:
            # The caller closed the connection before it was accepted.
            return
        connection = CallerConnection(
            stream, f"{peer[0]}:{peer[1]}", self._deps
        )
        self._connections.add(connection)
        if self._draining:
            connection.drain()
        try:
            connection.run()
        finally:
            self._connections.discard(connection)

    def drain(self) -> None:
        """Limits each connection to the requests that it has received.

        A connection that has received none, or opens later, may carry one more
        request, with those that arrive together with it.
        """
        self._draining = True
        for connection in list(self._connections):
            connection.drain()

    def interrupt(self) -> None:
        """Ends the requests in progress; each gets a final answer at once."""
        for connection in list(self._connections):
            connection.interrupt()

    def finish_idle(self) -> None:
        """Half-closes connections with no request in progress."""
        for connection in list(self._connections):
            if connection.is_idle():
                connection.finish()

    def _sweep(self) -> None:
        now = self._deps.timers.now()
        for connection in list(self._connections):
            idle_timeout_s = connection.limits.idle_timeout_s
            if connection.lingering:
                if connection.linger_s() > idle_timeout_s:
                    connection.close("linger-timeout")
                continue
            inactive_s = now - connection.active_at
            if connection.busy or connection.closing:
                continue
            if (
                connection.partial
                and inactive_s > connection.limits.header_timeout_s
            ):
                connection.refuse_partial_request()
                continue
            if inactive_s > idle_timeout_s and connection.is_idle():
                connection.finish()
