"""The life of one request, from its head to its answer."""

import logging
import random
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from gevent import timeout as gevent_timeout

from flamingolug import errors
from flamingolug import http1
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.gateway import _admission
from flamingolug.gateway import _budget
from flamingolug.gateway import _configuration_watcher
from flamingolug.gateway import _metrics
from flamingolug.gateway import _model
from flamingolug.gateway import _pressure
from flamingolug.gateway import _request_state
from flamingolug.gateway import _upstreams

_LOGGER = logging.getLogger(__name__)
#: Part of the latency target that a fresh request may wait for a slot; the
#: rest is left to the work itself and to another try of the caller.
WAIT_SHARE_OF_TARGET = 0.25
#: Part of the time left that a fresh request may wait for a slot.
WAIT_SHARE_OF_LEFT = 0.33
#: Upstreams that a request is offered to when each refuses it unrun.
MAX_OFFERS = 4
#: Seconds behind the deadline within which an answer still counts as on its
#: way: the upstream answers at its deadline, and the answer travels.
LATE_ANSWER_S = 0.12
#: Shortest time for which another attempt is worth while, seconds.
MIN_ATTEMPT_S = 0.02
#: A caller honours a delay of up to a third of the time that it has left;
#: returns are spread over that time.
RETRY_AFTER_FIRST_SHARE = 0.08
RETRY_AFTER_LAST_SHARE = 0.32
#: Delay told by a node that knows no configuration yet, seconds.
RETRY_AFTER_START_S = 0.5
#: Part of the longest time stated on a route below which a request counts as
#: one that comes again.
RETURNING_SHARE = 0.97
#: Ordinary successes for each one that is logged; at 300 requests a second a
#: node writes three lines.
SUCCESSES_PER_LINE = 100
#: Time a caller waits when it states none, seconds.
DEFAULT_DEADLINE_S = 30.0


class _Task(NamedTuple):
    """What is fixed once the route of a request is known."""

    request_id: str
    route: _model.Route
    service: str
    headers: http1.Headers
    deadline: float
    #: When the caller's own deadline is reached.
    caller_deadline: float
    #: Whether the caller has less time than others state: it comes again.
    returning: bool


class Dependencies(NamedTuple):
    """What a handler works with."""

    cfg: _model.GatewaySettings
    names: _request_state.CallerNames
    watcher: _configuration_watcher.ConfigurationWatcher
    upstreams: _upstreams.Upstreams
    timers: timing.Timers
    metrics: _metrics.Metrics
    rng: random.Random
    node_count: Callable[[], int]
    callee_pressure: _pressure.CalleePressure


class Handler:
    """Serves requests, one call of `handle` for each."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts without a history."""
        #: Whether the node is stopping.
        self.stopping = False
        self._deps = deps
        self._now = deps.timers.now
        self._budgets: dict[str, _budget.RetryBudget] = {}
        self._admission_controllers: dict[
            str, _admission.AdmissionController
        ] = {}
        #: Longest time that a caller has stated, by route, seconds.
        self._longest: dict[str, float] = {}
        #: Routes on which backend servers call, as their gates tell.
        self._nested: set[str] = set()
        #: Ordinary successes since the start; a few of them are logged.
        self._sampled = 0

    def handle(
        self, state: _request_state.RequestState
    ) -> _request_state.Answer:
        """Returns the answer to a request."""
        active = self._deps.watcher.active
        names = self._deps.names
        request_id = state.request.header(names.request_id).decode("latin-1")
        if active is None:
            return self._refuse_early(request_id, 503, "no-configuration")
        if not request_id:
            return self._refuse_early(request_id, 400, "no-request-id")
        route = active.table.find(
            state.request.header(b"host"), state.request.target
        )
        if route is None:
            if not self._deps.watcher.following:
                # A route may have come that this node has not heard of.
                return self._refuse_early(request_id, 503, "route-unknown")
            return self._refuse_early(request_id, 404, "no-route")
        task = self._make_task(state, request_id, active, route)
        answer = self._serve(state, task)
        took_s = self._now() - state.started_at
        self._deps.metrics.observe(answer.status, route.rank, took_s)
        return answer

    def _make_task(
        self,
        state: _request_state.RequestState,
        request_id: str,
        active: _configuration_watcher.ActiveConfiguration,
        route: _model.Route,
    ) -> _Task:
        names = self._deps.names
        stated = state.request.header(names.deadline)
        allowed_s = (
            int(stated) / 1000.0 if stated.isdigit() else (DEFAULT_DEADLINE_S)
        )
        headers = [
            pair
            for pair in http1.end_to_end(state.request.headers)
            if pair[0] not in names.replaced
        ]
        longest_s = max(self._longest.get(route.name, 0.0), allowed_s)
        self._longest[route.name] = longest_s
        return _Task(
            request_id,
            route,
            active.table.choose_service(route),
            headers,
            state.started_at + min(allowed_s, route.timeout_s),
            state.started_at + allowed_s,
            allowed_s < RETURNING_SHARE * longest_s,
        )

    def _serve(
        self, state: _request_state.RequestState, task: _Task
    ) -> _request_state.Answer:
        """Offers the request until there is an answer to give."""
        admission_controller = self._admission_controller(task)
        nested = task.route.name in self._nested
        if not nested and admission_controller.refuse(
            task.returning, self._deps.rng
        ):
            return self._refuse(state, task, "throttled")
        self._budget(task.service).record_first_attempt()
        kept: http1.Response | None = None
        tried: set[str] = set()
        reason = "no-upstream"
        while not state.cancelled:
            left_s = task.deadline - self._now()
            if left_s < MIN_ATTEMPT_S:
                reason = "deadline"
                break
            upstream = self._deps.upstreams.choose(
                task.service, task.route, frozenset(tried)
            )
            if upstream is None:
                break
            tried.add(upstream.id)
            state.last_upstream_id = upstream.id
            outcome = self._attempt(state, task, upstream)
            reason = outcome.reason
            if outcome.verdict is _model.Verdict.ANSWERED:
                assert outcome.response is not None
                kept = outcome.response
                if kept.status < 500:
                    break
            if outcome.verdict is _model.Verdict.UNKNOWN:
                state.outcome_unknown = True
            state.stop_reason = self._why_final(state, task, outcome)
            if state.stop_reason:
                break
            self._log_retry(state, task, upstream, outcome)
        if state.arrivals and not state.cancelled:
            admission_controller.record_outcome(
                kept is not None and kept.status < 500
            )
        if kept is not None:
            return self._deliver(state, task, kept)
        if state.outcome_unknown:
            return self._fail(state, task, reason)
        return self._refuse(state, task, reason)

    def _attempt(
        self,
        state: _request_state.RequestState,
        task: _Task,
        upstream: _model.Upstream,
    ) -> _model.Outcome:
        """Sends the request to one upstream and waits for its outcome."""
        now = self._now()
        route = task.route
        wait_until = task.deadline
        if route.name not in self._nested:
            wait_until = min(
                now + WAIT_SHARE_OF_TARGET * route.target_latency_s,
                now + WAIT_SHARE_OF_LEFT * (task.deadline - now),
            )
        call = _model.Call(
            request_id=task.request_id,
            upstream_id=upstream.id,
            caller=self._deps.cfg.identity.service,
            method=state.request.method,
            target=state.request.target,
            headers=task.headers,
            body=state.request.body,
            deadline=task.deadline,
            wait_until=wait_until,
            rank=route.rank,
            idempotent=route.idempotent,
            route=route.name,
        )
        state.offers += 1
        try:
            sent = self._deps.upstreams.send(upstream, route, call)
        except errors.PeerUnreachableError as exc:
            telemetry.event(
                _LOGGER,
                "request.not_sent",
                id=task.request_id,
                step=exc.step,
                peer=exc.peer,
                error=exc.message,
            )
            return _model.not_run("unreachable")
        state.cancel_attempt = sent.abandon
        if state.cancelled:
            sent.abandon()
        outcome = self._await(sent, task)
        if outcome.arrived:
            state.arrivals += 1
        return outcome

    def _await(
        self, sent: _upstreams.PendingAttempt, task: _Task
    ) -> _model.Outcome:
        left_s = max(task.deadline - self._now(), 0.0)
        try:
            outcome = sent.result.get(timeout=left_s + LATE_ANSWER_S)
            assert outcome is not None
        except gevent_timeout.Timeout:
            sent.abandon()
            return _model.unknown("timeout")
        sent.complete(outcome)
        if outcome.load is not None:
            self._record_pressure(task, outcome.load.pressure)
        if outcome.nested:
            self._nested.add(task.route.name)
        elif outcome.load is not None:
            # Only a gate can tell.
            self._nested.discard(task.route.name)
        return outcome

    def _record_pressure(self, task: _Task, pressure: float) -> None:
        """Takes in what a gate tells of its upstream and what it calls."""
        if task.route.name not in self._nested:
            self._admission_controller(task).record_pressure(pressure)
            return
        self._deps.callee_pressure.record(task.service, pressure)

    def _why_final(
        self,
        state: _request_state.RequestState,
        task: _Task,
        outcome: _model.Outcome,
    ) -> str:
        """Returns why a request is not offered once more, empty if it is."""
        impossible = self._why_impossible(state, task, outcome)
        if impossible:
            return impossible
        if not outcome.arrived and outcome.verdict is _model.Verdict.NOT_RUN:
            return ""
        if state.arrivals >= task.route.max_attempts:
            return "attempts"
        budget = self._budget(task.service)
        if not budget.try_spend(self._deps.node_count()):
            return "budget"
        return ""

    def _why_impossible(
        self,
        state: _request_state.RequestState,
        task: _Task,
        outcome: _model.Outcome,
    ) -> str:
        """Returns why no other offer could be of use, empty if it could."""
        not_run = outcome.verdict is _model.Verdict.NOT_RUN
        if state.cancelled:
            return "cancelled"
        if state.offers >= MAX_OFFERS:
            return "offers"
        if not not_run and not task.route.idempotent:
            return "not-idempotent"
        needed_s = MIN_ATTEMPT_S
        if not not_run:
            needed_s = self._deps.upstreams.typical_latency_s(task.route)
        return "time" if task.deadline - self._now() < needed_s else ""

    def _log_retry(
        self,
        state: _request_state.RequestState,
        task: _Task,
        upstream: _model.Upstream,
        outcome: _model.Outcome,
    ) -> None:
        """Tells that a request is offered once more, and after what."""
        reason = outcome.reason or "upstream-failed"
        self._deps.metrics.counters.add(_metrics.RETRIES, reason)
        self._log(
            "request.retried",
            state,
            task,
            outcome.response.status if outcome.response else 0,
            reason,
            upstream=upstream.id,
            peer=f"{upstream.host}:{upstream.port}",
            verdict=outcome.verdict.name.lower(),
        )

    def _is_late(self, state: _request_state.RequestState, task: _Task) -> bool:
        """Returns whether the latency target has been missed."""
        took_s = self._now() - state.started_at
        return took_s > task.route.target_latency_s

    def _deliver(
        self,
        state: _request_state.RequestState,
        task: _Task,
        response: http1.Response,
    ) -> _request_state.Answer:
        """Returns an upstream's own answer."""
        if response.status >= 500:
            self._log(
                "request.answered",
                state,
                task,
                response.status,
                "upstream-failed",
            )
        elif self._is_late(state, task):
            self._log("request.answered", state, task, response.status, "late")
        elif state.cancelled:
            self._log(
                "request.answered", state, task, response.status, "cancelled"
            )
        else:
            self._sampled += 1
            if self._sampled % SUCCESSES_PER_LINE == 0:
                self._log(
                    "request.answered", state, task, response.status, "ok"
                )
        own_id = (self._deps.names.request_id, task.request_id.encode())
        return _request_state.Answer(
            response.status, [*response.headers, own_id], response.body
        )

    def _fail(
        self, state: _request_state.RequestState, task: _Task, reason: str
    ) -> _request_state.Answer:
        """Returns the answer to a request that may have run."""
        status = 504 if reason in ("timeout", "deadline") else 502
        self._log("request.failed", state, task, status, reason)
        return self._own(status, task.request_id, reason, 0.0)

    def _refuse(
        self, state: _request_state.RequestState, task: _Task, reason: str
    ) -> _request_state.Answer:
        """Returns the answer to a request that has not run and never will."""
        reason = reason or "upstream-failed"
        self._deps.metrics.counters.add(
            _metrics.REFUSALS, reason, str(task.route.rank)
        )
        left_s = max(task.caller_deadline - self._now(), 0.0)
        share = self._deps.rng.uniform(
            RETRY_AFTER_FIRST_SHARE, RETRY_AFTER_LAST_SHARE
        )
        self._log("request.refused", state, task, 503, reason)
        return self._own(503, task.request_id, reason, share * left_s)

    def _refuse_early(
        self, request_id: str, status: int, reason: str
    ) -> _request_state.Answer:
        """Returns the answer to a request that has no route."""
        self._deps.metrics.counters.add(_metrics.REFUSALS, reason, "")
        telemetry.event(
            _LOGGER,
            "request.unroutable",
            id=request_id,
            status=status,
            reason=reason,
            version=self._deps.watcher.version,
        )
        delay_s = RETRY_AFTER_START_S if status == 503 else 0.0
        return self._own(status, request_id, reason, delay_s)

    def _own(
        self, status: int, request_id: str, reason: str, delay_s: float
    ) -> _request_state.Answer:
        """Returns an answer that this node makes itself."""
        headers: http1.Headers = [(b"content-type", b"text/plain")]
        if request_id:
            headers.append((self._deps.names.request_id, request_id.encode()))
        if status in (429, 503):
            headers.append((b"retry-after", f"{delay_s:.3f}".encode()))
        return _request_state.Answer(status, headers, f"{reason}\n".encode())

    def _log(
        self,
        name: str,
        state: _request_state.RequestState,
        task: _Task,
        status: int,
        reason: str,
        **more: Any,
    ) -> None:
        telemetry.event(
            _LOGGER,
            name,
            id=task.request_id,
            status=status,
            reason=reason,
            route=task.route.name,
            rank=task.route.rank,
            service=task.service,
            nested=task.route.name in self._nested,
            offers=state.offers,
            arrivals=state.arrivals,
            last=state.last_upstream_id,
            final=state.stop_reason,
            took_s=round(self._now() - state.started_at, 4),
            left_s=round(task.caller_deadline - self._now(), 4),
            version=self._deps.watcher.version,
            cancelled=state.cancelled,
            **more,
        )

    def _budget(self, service: str) -> _budget.RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            found = _budget.RetryBudget(self._deps.cfg.retries, self._now)
            self._budgets[service] = found
        return found

    def _admission_controller(
        self, task: _Task
    ) -> _admission.AdmissionController:
        key = f"{task.route.name}/{task.service}"
        found = self._admission_controllers.get(key)
        if found is None:
            found = _admission.AdmissionController(
                self._now,
                key,
                task.route.rank,
                self._admission_controllers.values,
            )
            self._admission_controllers[key] = found
        return found
