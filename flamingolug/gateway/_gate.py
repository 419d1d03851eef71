"""Last gate in front of the backend server beside this node.

Whether a request runs is decided here and nowhere else: only this node
reaches the backend server, and it knows first that it drains, has been
replaced or is full.
"""

import logging
from collections.abc import Callable
from collections.abc import Collection
from typing import NamedTuple

import gevent
from gevent import event

from flamingolug import errors
from flamingolug import http1
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _call_origins
from flamingolug.gateway import _metrics
from flamingolug.gateway import _model
from flamingolug.gateway import _pool
from flamingolug.gateway import _slots

_LOGGER = logging.getLogger(__name__)
#: Seconds between looks at calls that have waited too long.
SWEEP_INTERVAL_S = 0.05
#: Seconds between looks at idle connections.
TRIM_INTERVAL_S = 1.0
#: Seconds without a report after which the backend server counts as gone;
#: three intervals of reports and the delay of one.
SILENT_REPORTS = 3.5
#: Part of the declared slots that is used: some backend servers slow down by
#: a third when more than 95 in 100 are taken.
USED_SLOTS_SHARE = 0.94
#: Largest response that is taken in, bytes.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
#: Weight of a new sample in the share of failing calls.
FAILING_SMOOTHING = 0.1
#: Seconds for which a backend server that refuses connections gets no call.
DOWN_S = 0.25

#: Seconds that the backend server has to answer behind the deadline that it
#: was given, so that its own answer is delivered.
GRACE_BEHIND_DEADLINE_S = 0.1


_LEAVING_ORDER = {
    _model.UpstreamState.READY: 0,
    _model.UpstreamState.DRAINING: 1,
    _model.UpstreamState.GONE: 2,
}


class _ExchangeTimeout(BaseException):
    """The backend server has not answered in time."""


class UpstreamNames(NamedTuple):
    """Names of the headers between a node and a backend server."""

    request_id: bytes
    deadline: bytes
    expected_instance: bytes
    caller: bytes
    #: Present on every answer that a backend server made itself.
    seal: bytes
    not_run: bytes
    #: Headers of an answer that callers don't get from the upstream.
    internal: frozenset[bytes]


class Dependencies(NamedTuple):
    """What the gate works with."""

    cfg: _model.GatewaySettings
    names: UpstreamNames
    timers: timing.Timers
    metrics: _metrics.Metrics
    #: Tells others that the upstream's state has changed.
    announce: Callable[[], None]
    #: Services that have an upstream.
    services: Callable[[], Collection[str]]
    #: Pressure of the services that the upstream calls.
    callee_pressure: Callable[[], float]


class Gate:
    """Runs calls on the backend server beside this node."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts without a backend server."""
        self.report: _model.Report | None = None
        self.stopping = False
        self.slots = _slots.Slots(1, deps.timers.now)
        self._deps = deps
        self._now = deps.timers.now
        self._pool = self._new_pool()
        self._tickets: set[_slots.Ticket] = set()
        self._reported_at = 0.0
        self._sweeping: timing.Subscription | None = None
        self._down_until = 0.0
        self._failing = 0.0
        self._misdirected = ""
        self._callers = _call_origins.CallOrigins()
        #: Upstreams that said they leave, with the start of that run or, where
        #: it is not known, the Unix time, both in milliseconds; a run that
        #: began later is another one.
        self._left: dict[str, int] = {}

    def start(self) -> None:
        """Begins the periodic work."""
        self._deps.timers.every(TRIM_INTERVAL_S, self._trim)

    def _sweep(self) -> None:
        """Refuses calls that have waited too long."""
        self.slots.refuse_expired()
        if not any(self.slots.waiting) and self._sweeping is not None:
            self._sweeping.cancel()
            self._sweeping = None

    @property
    def upstream_id(self) -> str:
        """Identity of the upstream that takes work now, empty for none."""
        report = self.report
        if report is None or self.stopping:
            return ""
        if report.state is not _model.UpstreamState.READY:
            return ""
        if report.id == self._misdirected:
            return ""
        return report.id

    @property
    def busy(self) -> bool:
        """Whether any call runs or waits."""
        return bool(self._tickets)

    def handle_report(self, report: _model.Report) -> bool:
        """Takes in a report; returns whether the state has changed."""
        known = self.report
        if report.start_time_ms <= self._left.get(report.id, -1):
            return False
        if known is not None and self._is_superseded(known, report):
            return False
        self._reported_at = self._now()
        self.report = report
        changed = known is None or known._replace(
            sequence=0, warmup_s=0.0
        ) != report._replace(sequence=0, warmup_s=0.0)
        if not changed:
            return False
        if known is None or (known.id, known.start_time_ms) != (
            report.id,
            report.start_time_ms,
        ):
            self._new_run(report)
        if report.state is not _model.UpstreamState.READY:
            self.slots.refuse_all()
        telemetry.event(
            _LOGGER,
            "upstream.reported",
            upstream=report.id,
            state=report.state,
            sequence=report.sequence,
            slots=report.slots,
        )
        self._deps.announce()
        return True

    def _is_superseded(
        self, known: _model.Report, report: _model.Report
    ) -> bool:
        """Returns whether a report says less than what is known."""
        if (known.id, known.start_time_ms) != (report.id, report.start_time_ms):
            # Clocks may have been set back; a run that has left can be
            # followed by any other.
            left = known.state is _model.UpstreamState.GONE
            return report.start_time_ms < known.start_time_ms and not left
        if report.sequence <= known.sequence:
            return True
        # A run that leaves does not come back.
        return _LEAVING_ORDER[report.state] < _LEAVING_ORDER[known.state]

    def handle_leave(self, upstream_id: str) -> bool:
        """Notes that an upstream has left; returns whether it was known."""
        known = self.report
        if known is None or known.id != upstream_id:
            self._left[upstream_id] = int(self._deps.timers.unix_time() * 1000)
            return False
        self._left[upstream_id] = known.start_time_ms
        if known.state is _model.UpstreamState.GONE:
            return False
        self.report = known._replace(state=_model.UpstreamState.GONE)
        self.slots.refuse_all()
        telemetry.event(_LOGGER, "upstream.left", upstream=upstream_id)
        self._deps.announce()
        return True

    def stop_accepting(self) -> None:
        """Takes no new work; what runs goes on."""
        self.stopping = True
        self.slots.refuse_all()
        self._deps.announce()

    def load(self) -> _model.LoadReport:
        """Returns the load of the upstream."""
        slots = self.slots
        pressure = (slots.running + sum(slots.waiting)) / slots.limit
        return _model.LoadReport(
            slots.running,
            slots.limit,
            tuple(slots.waiting),
            slots.hold_s,
            self._failing,
            max(pressure, self._deps.callee_pressure()),
        )

    def submit(
        self, call: _model.Call, reply: Callable[[_model.Outcome], None]
    ) -> _slots.Ticket:
        """Offers a call; `reply` gets its outcome exactly once."""
        self._callers.record(call.route, call.caller)
        nested = self._callers.is_nested(call.route, self._deps.services())
        ticket = _slots.Ticket(call, nested)
        gevent.spawn(self._serve, ticket, reply)
        return ticket

    def cancel(self, ticket: _slots.Ticket) -> None:
        """Gives up a call that nobody waits for any more."""
        ticket.cancelled = True
        if ticket.waiting:
            self.slots.cancel(ticket)
            return
        if ticket.running and ticket.call.idempotent:
            ticket.stop()

    def _serve(
        self, ticket: _slots.Ticket, reply: Callable[[_model.Outcome], None]
    ) -> None:
        self._tickets.add(ticket)
        outcome = _model.unknown("crashed")
        try:
            outcome = self._admit(ticket)
        except Exception as exc:
            telemetry.event(
                _LOGGER,
                "gate.crashed",
                level=logging.ERROR,
                id=ticket.call.request_id,
                error=repr(exc),
            )
        finally:
            self._tickets.discard(ticket)
        self._deps.metrics.count_outcome(outcome)
        if outcome.response is None:
            self._log_unanswered(ticket, outcome)
        reply(outcome._replace(nested=ticket.nested))

    def _log_unanswered(
        self, ticket: _slots.Ticket, outcome: _model.Outcome
    ) -> None:
        """Tells why a call has no answer of the backend server."""
        call = ticket.call
        slots = self.slots
        report = self.report
        telemetry.event(
            _LOGGER,
            "gate.unanswered",
            id=call.request_id,
            verdict=outcome.verdict.name.lower(),
            reason=outcome.reason,
            upstream=call.upstream_id,
            here=self.upstream_id,
            report_age_s=round(self._now() - self._reported_at, 3),
            sequence=report.sequence if report else 0,
            rank=call.rank,
            nested=ticket.nested,
            running=slots.running,
            limit=slots.limit,
            waiting=sum(slots.waiting),
            hold_s=round(slots.hold_s, 4),
            left_s=round(call.deadline - self._now(), 4),
            arrived=outcome.arrived,
        )

    def _admit(self, ticket: _slots.Ticket) -> _model.Outcome:
        refused = self._refuse(ticket)
        if refused:
            return _model.not_run(refused, self.load())
        granted = self.slots.try_start(ticket)
        if granted is None:
            done: event.AsyncResult[bool] = event.AsyncResult()
            ticket.on_decision = done.set
            if self._sweeping is None:
                self._sweeping = self._deps.timers.every(
                    SWEEP_INTERVAL_S, self._sweep
                )
            granted = done.get()
        if not granted:
            reason = "cancelled" if ticket.cancelled else "shed"
            return _model.not_run(reason, self.load())
        sample = False
        try:
            # The state may have changed while the call waited.
            refused = self._refuse(ticket)
            if refused:
                return _model.not_run(refused, self.load())
            outcome = self._run(ticket)
            sample = outcome.response is not None
        finally:
            self.slots.release(ticket, sample)
        return outcome._replace(load=self.load())

    def _refuse(self, ticket: _slots.Ticket) -> str:
        """Returns why a call must not run now, empty if it may."""
        if ticket.cancelled:
            return "cancelled"
        if self.stopping:
            return "leaving"
        if self.upstream_id != ticket.call.upstream_id:
            return "not-here"
        now = self._now()
        if now < self._down_until:
            return "down"
        if now >= ticket.call.deadline:
            return "deadline"
        return ""

    def _run(self, ticket: _slots.Ticket) -> _model.Outcome:
        """Runs a call on the backend server."""
        call = ticket.call
        left_s = call.deadline - self._now()
        try:
            conn = self._pool.acquire(call.idempotent, left_s)
        except errors.BackendError as exc:
            self._down_until = self._now() + DOWN_S
            telemetry.failure(_LOGGER, "upstream.unreachable", exc)
            return _model.not_run("down")
        left_s = call.deadline - self._now()
        if left_s <= 0.0 or ticket.cancelled:
            conn.close()
            return _model.not_run("deadline")
        ticket.stop = conn.close
        timer = gevent.Timeout.start_new(
            left_s + GRACE_BEHIND_DEADLINE_S, _ExchangeTimeout()
        )
        try:
            response = self._exchange(conn, call, left_s)
        except errors.BackendError as exc:
            conn.close()
            return self._lost(ticket, exc)
        except _ExchangeTimeout:
            conn.close()
            return _model.unknown("timeout")
        finally:
            timer.close()
        return self._judge(conn, call, response)

    def _exchange(
        self, conn: http1.Connection, call: _model.Call, left_s: float
    ) -> http1.Response:
        names = self._deps.names
        headers = [
            *call.headers,
            (names.request_id, call.request_id.encode()),
            (names.deadline, str(max(int(left_s * 1000), 1)).encode()),
            (names.expected_instance, call.upstream_id.encode()),
            (names.caller, call.caller.encode()),
        ]
        data = http1.format_request(
            call.method, call.target, headers, call.body
        )
        head = call.method == b"HEAD"
        reused = conn.exchanges > 0
        response = _pool.exchange(conn, data, head, MAX_RESPONSE_BYTES)
        own_id = call.request_id.encode()
        while response.header(names.request_id) != own_id:
            stated = response.header(names.request_id)
            if not stated and response.header(names.not_run) and not reused:
                return response._replace(reusable=False)
            # An answer to an earlier request of this connection.
            telemetry.event(
                _LOGGER,
                "upstream.foreign_answer",
                level=logging.WARNING,
                id=call.request_id,
                stated=stated.decode("latin-1"),
                status=response.status,
            )
            response = conn.receive(head, MAX_RESPONSE_BYTES)._replace(
                reusable=False
            )
        return response

    def _lost(
        self, ticket: _slots.Ticket, exc: errors.BackendError
    ) -> _model.Outcome:
        """Returns the outcome of an exchange without a whole answer."""
        if ticket.cancelled:
            return _model.unknown("cancelled")
        self._record_failure(True)
        telemetry.event(
            _LOGGER,
            "upstream.lost",
            level=logging.WARNING,
            id=ticket.call.request_id,
            upstream=ticket.call.upstream_id,
            step=exc.step,
            peer=exc.peer,
            error=exc.message,
        )
        return _model.unknown("lost")

    def _judge(
        self,
        conn: http1.Connection,
        call: _model.Call,
        response: http1.Response,
    ) -> _model.Outcome:
        """Returns the outcome of a call that was answered."""
        names = self._deps.names
        self._pool.release(conn, response)
        refused = bool(response.header(names.not_run))
        if refused:
            self._record_failure(True)
        if response.status == 421:
            self._misdirected = call.upstream_id
            self._deps.announce()
            return _model.not_run("not-here", arrived=True)
        if refused:
            return _model.not_run("upstream-refused", arrived=True)
        sealed = bool(response.header(names.seal))
        encoded = bool(response.header(b"content-encoding"))
        if response.status < 300 and (not sealed or encoded):
            self._record_failure(True)
            return _model.unknown("not-its-answer")
        self._record_failure(response.status >= 500)
        headers = [
            pair
            for pair in http1.end_to_end(response.headers)
            if pair[0] not in names.internal
        ]
        response = response._replace(headers=headers)
        return _model.Outcome(_model.Verdict.ANSWERED, "", response, None, True)

    def _record_failure(self, failed: bool) -> None:
        sample = 1.0 if failed else 0.0
        self._failing += (sample - self._failing) * FAILING_SMOOTHING

    def _new_run(self, report: _model.Report) -> None:
        """Forgets what belonged to an earlier run of the backend server."""
        self._pool.close()
        self._pool = self._new_pool()
        self._down_until = 0.0
        self._failing = 0.0
        self._misdirected = ""
        self.slots.limit = max(int(report.slots * USED_SLOTS_SHARE), 1)

    def _new_pool(self) -> _pool.Pool:
        cfg = self._deps.cfg
        return _pool.Pool(
            cfg.app[0],
            cfg.app[1],
            cfg.identity.host,
            self._now,
            self._deps.metrics.count_connection,
        )

    def _trim(self) -> None:
        """Closes idle connections; notes a backend server gone silent."""
        self._pool.trim()
        report = self.report
        if report is None or report.state is _model.UpstreamState.GONE:
            return
        silent_s = self._now() - self._reported_at
        if silent_s > SILENT_REPORTS * self._deps.cfg.report_interval_s:
            telemetry.event(
                _LOGGER,
                "upstream.silent",
                level=logging.WARNING,
                upstream=report.id,
                age_s=round(silent_s, 2),
            )
            self.report = None
            self.slots.refuse_all()
            self._deps.announce()
