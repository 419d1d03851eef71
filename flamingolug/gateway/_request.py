"""Handles a request of a caller: admission, attempts, retries and answer."""

import logging
import math
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
from flamingolug.gateway import _call_origins
from flamingolug.gateway import _configuration_watcher
from flamingolug.gateway import _metrics
from flamingolug.gateway import _model
from flamingolug.gateway import _pressure
from flamingolug.gateway import _request_state
from flamingolug.gateway import _upstreams

_LOGGER = logging.getLogger(__name__)
#: Fraction of the latency target that a request may wait for a slot unless it
#: is nested, which means made by a backend server while it processes another
#: request; the rest is left for the work itself and a retry by the caller.
MAX_WAIT_TARGET_FRACTION = 0.25
#: Fraction of the remaining time that a request that is not nested may wait for
#: a slot, if that is shorter.
MAX_WAIT_REMAINING_FRACTION = 0.33
#: Maximum number of times that a request is offered to an upstream, whatever
#: the outcomes; the route's `max_attempts` also limits the offers that arrive.
MAX_OFFERS = 4
#: Most digits of a stated deadline in milliseconds; one with more counts as
#: none.
MAX_DEADLINE_DIGITS = 12
#: Seconds after the deadline for which an answer is still awaited: the upstream
#: may answer right at its deadline, and the answer takes time to arrive.
#: It is 0.02 s longer than `_gate.ANSWER_GRACE_S`.
ANSWER_GRACE_S = 0.12
#: Multiple of its usual latency that a nested request may take at the end of a
#: stopping node.
NESTED_LATENCY_FACTOR = 3.0
#: Shortest remaining time that permits another offer, seconds.
MIN_OFFER_S = 0.02
#: Range of the Retry-After delay as fractions of the caller's remaining time.
#: Callers honour a delay of up to a third of that time; random delays in this
#: range spread their retries.
RETRY_AFTER_MIN_FRACTION = 0.08
RETRY_AFTER_MAX_FRACTION = 0.32
#: Retry-After delay while the node has no configuration or may lack the latest
#: one, seconds.
RETRY_AFTER_STARTUP_S = 0.5
#: A request whose stated deadline is below this fraction of the longest one
#: seen on its route counts as a retry by its caller.
CALLER_RETRY_FRACTION = 0.97
#: One of this many ordinary successes, which are responses below 500 that are
#: neither late nor cancelled, is logged; at 300 requests a second a node writes
#: three lines a second.
SUCCESSES_PER_LOG_LINE = 100
#: Deadline of a request whose caller states none, seconds.
DEFAULT_DEADLINE_S = 30.0


class _RoutedRequest(NamedTuple):
    """A request with its route; does not change between offers."""

    request_id: str
    route: _model.Route
    service: str
    headers: http1.Headers
    #: Clock reading at which upstreams must have answered: the earlier of the
    #: caller's deadline and the route's time-out.
    deadline: float
    #: Clock reading of the deadline that the caller stated.
    caller_deadline: float
    #: Whether the caller states less time than others do, which marks a retry.
    retried_by_caller: bool


class Dependencies(NamedTuple):
    """Dependencies of a handler."""

    cfg: _model.GatewaySettings
    header_names: _request_state.CallerHeaderNames
    watcher: _configuration_watcher.ConfigurationWatcher
    upstreams: _upstreams.Upstreams
    timers: timing.Timers
    metrics: _metrics.Metrics
    rng: random.Random
    node_count: Callable[[], int]
    callee_pressure: _pressure.CalleePressure


class Handler:
    """Routes the requests of callers and retries them within limits."""

    def __init__(self, deps: Dependencies) -> None:
        """Creates a handler without budgets or admission controllers."""
        #: Whether the node is stopping.
        self.stopping = False
        #: Clock reading at which the node began to stop.
        self.stopping_since: float | None = None
        #: Clock reading at which the node ends, once it refuses requests that
        #: may not be answered by then.
        self.ends_at: float | None = None
        self._deps = deps
        self._now = deps.timers.now
        self._budgets: dict[str, _budget.RetryBudget] = {}
        self._admission_controllers: dict[
            str, _admission.AdmissionController
        ] = {}
        #: Longest deadline that a caller has stated, by route, seconds.
        self._longest_deadline_s: dict[str, float] = {}
        #: Routes of nested calls, as reported by the gates of the upstreams.
        self._nested_routes = _call_origins.NestedRoutes()
        #: Longest chain of calls below each service, as reported by its gates.
        self._chain_depths: dict[str, float] = {}
        #: Ordinary successes since the start; a sample of them is logged.
        self._ordinary_successes = 0

    def start(self) -> None:
        """Starts the periodic adjustment of admission."""
        self._deps.timers.every(
            _admission.WINDOW_S,
            lambda: _admission.end_windows(
                self._admission_controllers.values()
            ),
        )

    def handle(
        self, state: _request_state.RequestState
    ) -> _request_state.Answer:
        """Routes a request and returns its answer."""
        active = self._deps.watcher.use()
        header_names = self._deps.header_names
        request_id = state.request.header(header_names.request_id).decode(
            "latin-1"
        )
        if active is None:
            return self._refuse_early(request_id, 503, "no-configuration")
        if not request_id:
            return self._refuse_early(request_id, 400, "no-request-id")
        route = active.table.find(
            state.request.header(b"host"), state.request.target
        )
        if route is None:
            if not self._deps.watcher.following:
                # A newer configuration may have the route.
                return self._refuse_early(request_id, 503, "route-unknown")
            return self._refuse_early(request_id, 404, "no-route")
        routed = self._make_routed_request(state, request_id, active, route)
        answer = self._serve(state, routed)
        took_s = self._now() - state.started_at
        self._deps.metrics.observe(answer.status, route.rank, took_s)
        return answer

    def _make_routed_request(
        self,
        state: _request_state.RequestState,
        request_id: str,
        active: _configuration_watcher.ActiveConfiguration,
        route: _model.Route,
    ) -> _RoutedRequest:
        header_names = self._deps.header_names
        deadline_ms = state.request.header(header_names.deadline)
        allowed_s = (
            int(deadline_ms) / 1000.0
            if deadline_ms.isdigit() and len(deadline_ms) <= MAX_DEADLINE_DIGITS
            else (DEFAULT_DEADLINE_S)
        )
        headers = [
            pair
            for pair in http1.end_to_end_headers(state.request.headers)
            if pair[0] not in header_names.overwritten
        ]
        longest_deadline_s = max(
            self._longest_deadline_s.get(route.name, 0.0), allowed_s
        )
        self._longest_deadline_s[route.name] = longest_deadline_s
        return _RoutedRequest(
            request_id,
            route,
            active.table.choose_service(route),
            headers,
            state.started_at + min(allowed_s, route.timeout_s),
            state.started_at + allowed_s,
            allowed_s < CALLER_RETRY_FRACTION * longest_deadline_s,
        )

    def _serve(
        self, state: _request_state.RequestState, routed: _RoutedRequest
    ) -> _request_state.Answer:
        """Offers the request to upstreams until it is answered or stopped."""
        nested = self._nested_routes.contains(routed.route.name)
        if self._may_outlast_node(routed, nested):
            return self._refuse(state, routed, "stopping")
        admission_controller = self._admission_controller_of(routed)
        if not nested and admission_controller.refuse(
            routed.retried_by_caller, self._deps.rng
        ):
            return self._refuse(state, routed, "throttled")
        self._budget_of(routed.service).record_first_attempt()
        # Last response; kept if a later offer ends without one.
        response: http1.Response | None = None
        tried: set[str] = set()
        reason = "no-upstream"
        while not state.cancelled:
            remaining_s = routed.deadline - self._now()
            if remaining_s < MIN_OFFER_S:
                reason = "deadline"
                break
            upstream = self._deps.upstreams.choose(
                routed.service, routed.route, frozenset(tried)
            )
            if upstream is None:
                break
            tried.add(upstream.id)
            state.last_upstream_id = upstream.id
            outcome = self._offer(state, routed, upstream)
            reason = "interrupted" if state.interrupted else outcome.reason
            if outcome.verdict is _model.Verdict.ANSWERED:
                assert outcome.response is not None
                response = outcome.response
                if response.status < 500:
                    break
            if outcome.verdict is _model.Verdict.UNKNOWN:
                state.outcome_unknown = True
            state.stop_reason = self._find_stop_reason(state, routed, outcome)
            if state.stop_reason:
                break
            self._log_retry(state, routed, upstream, outcome)
        if state.may_have_run and not state.cancelled:
            admission_controller.record_outcome(
                response is not None and response.status < 500
            )
        if response is not None:
            return self._deliver(state, routed, response)
        if state.outcome_unknown:
            return self._answer_unknown_outcome(state, routed, reason)
        return self._refuse(state, routed, reason)

    def _may_outlast_node(self, routed: _RoutedRequest, nested: bool) -> bool:
        """Returns whether the node may end before the request is answered.

        Refusing a nested request fails the running request that made it, so
        it is accepted if it usually ends in time.
        """
        if self.ends_at is None:
            return False
        answered_by = routed.deadline
        if nested:
            latency_s = self._deps.upstreams.typical_latency_s(routed.route)
            answered_by = min(
                answered_by, self._now() + NESTED_LATENCY_FACTOR * latency_s
            )
        return answered_by > self.ends_at

    def _offer(
        self,
        state: _request_state.RequestState,
        routed: _RoutedRequest,
        upstream: _model.Upstream,
    ) -> _model.Outcome:
        """Offers the request to one upstream and waits for the outcome."""
        now = self._now()
        route = routed.route
        wait_until = routed.deadline
        if not self._nested_routes.contains(route.name):
            wait_until = min(
                now + MAX_WAIT_TARGET_FRACTION * route.target_latency_s,
                now + MAX_WAIT_REMAINING_FRACTION * (routed.deadline - now),
            )
        call = _model.Call(
            request_id=routed.request_id,
            upstream_id=upstream.id,
            origin_service=self._deps.cfg.identity.service,
            method=state.request.method,
            target=state.request.target,
            headers=routed.headers,
            body=state.request.body,
            deadline=routed.deadline,
            wait_until=wait_until,
            rank=route.rank,
            idempotent=route.idempotent,
            route=route.name,
        )
        state.offers += 1
        try:
            pending = self._deps.upstreams.send(upstream, route, call)
        except errors.PeerUnreachableError as exc:
            telemetry.event(
                _LOGGER,
                "request.not_sent",
                id=routed.request_id,
                step=exc.step,
                peer=exc.peer,
                error=exc.message,
            )
            return _model.not_run("unreachable")
        state.cancel_offer = pending.abandon
        if state.cancelled:
            pending.abandon()
        outcome = self._wait_for_outcome(pending, routed)
        # The offer refers to the response, which may take long to deliver.
        state.finish_offer()
        if outcome.arrived:
            state.arrivals += 1
        if outcome.verdict is not _model.Verdict.NOT_RUN:
            state.may_have_run = True
        return outcome

    def _wait_for_outcome(
        self, pending: _upstreams.PendingOffer, routed: _RoutedRequest
    ) -> _model.Outcome:
        remaining_s = max(routed.deadline - self._now(), 0.0)
        try:
            outcome = pending.result.get(timeout=remaining_s + ANSWER_GRACE_S)
            assert outcome is not None
        except gevent_timeout.Timeout:
            pending.abandon()
            return _model.unknown("timeout")
        pending.complete(outcome)
        if outcome.load is not None:
            if self._nested_routes.contains(routed.route.name):
                self._deps.callee_pressure.record(routed.service, outcome.load)
            self._chain_depths[routed.service] = _pressure.follow_depth(
                self._chain_depths.get(routed.service, 0.0),
                outcome.load.chain_depth,
            )
        if outcome.load is not None:
            # Only an outcome from a gate has a load, and only a gate detects
            # nested routes.
            self._nested_routes.record(routed.route.name, outcome.nested)
        return outcome

    def _find_stop_reason(
        self,
        state: _request_state.RequestState,
        routed: _RoutedRequest,
        outcome: _model.Outcome,
    ) -> str:
        """Returns why a request is not offered again, empty if it is.

        Spends the retry budget if the next offer needs it.
        """
        not_retryable = self._find_retry_obstacle(state, routed, outcome)
        if not_retryable:
            return not_retryable
        if not outcome.arrived and outcome.verdict is _model.Verdict.NOT_RUN:
            return ""
        if state.arrivals >= routed.route.max_attempts:
            return "attempts"
        budget = self._budget_of(routed.service)
        chain_depth = math.ceil(self._chain_depths.get(routed.service, 0.0))
        if not budget.try_spend(self._deps.node_count(), chain_depth):
            return "budget"
        return ""

    def _find_retry_obstacle(
        self,
        state: _request_state.RequestState,
        routed: _RoutedRequest,
        outcome: _model.Outcome,
    ) -> str:
        """Returns why another offer is ruled out, empty if it is not.

        Ignores the route's attempts and the retry budget.
        """
        not_run = outcome.verdict is _model.Verdict.NOT_RUN
        if state.cancelled:
            return "cancelled"
        if state.offers >= MAX_OFFERS:
            return "offers"
        if not not_run and not routed.route.idempotent:
            return "not-idempotent"
        needed_s = MIN_OFFER_S
        if not not_run:
            needed_s = self._deps.upstreams.typical_latency_s(routed.route)
        return "time" if routed.deadline - self._now() < needed_s else ""

    def _log_retry(
        self,
        state: _request_state.RequestState,
        routed: _RoutedRequest,
        upstream: _model.Upstream,
        outcome: _model.Outcome,
    ) -> None:
        """Logs that a request is offered again and the outcome before that."""
        reason = outcome.reason or "upstream-failed"
        self._deps.metrics.counters.add(_metrics.RETRIES, reason)
        self._log(
            "request.retried",
            state,
            routed,
            outcome.response.status if outcome.response else 0,
            reason,
            upstream=upstream.id,
            peer=f"{upstream.host}:{upstream.port}",
            verdict=outcome.verdict.name.lower(),
        )

    def _is_late(
        self, state: _request_state.RequestState, routed: _RoutedRequest
    ) -> bool:
        """Returns whether the latency target has been missed."""
        took_s = self._now() - state.started_at
        return took_s > routed.route.target_latency_s

    def _deliver(
        self,
        state: _request_state.RequestState,
        routed: _RoutedRequest,
        response: http1.Response,
    ) -> _request_state.Answer:
        """Returns the answer with an upstream's response."""
        if response.status >= 500:
            self._log(
                "request.answered",
                state,
                routed,
                response.status,
                "upstream-failed",
            )
        elif self._is_late(state, routed):
            self._log(
                "request.answered", state, routed, response.status, "late"
            )
        elif state.cancelled:
            self._log(
                "request.answered", state, routed, response.status, "cancelled"
            )
        else:
            self._ordinary_successes += 1
            if self._ordinary_successes % SUCCESSES_PER_LOG_LINE == 0:
                self._log(
                    "request.answered", state, routed, response.status, "ok"
                )
        id_header = (
            self._deps.header_names.request_id,
            routed.request_id.encode(),
        )
        return _request_state.Answer(
            response.status, [*response.headers, id_header], response.body
        )

    def _answer_unknown_outcome(
        self,
        state: _request_state.RequestState,
        routed: _RoutedRequest,
        reason: str,
    ) -> _request_state.Answer:
        """Returns the answer to a request that may have run."""
        status = 504 if reason in ("timeout", "deadline") else 502
        self._log("request.failed", state, routed, status, reason)
        return self._make_answer(status, routed.request_id, reason, 0.0)

    def _refuse(
        self,
        state: _request_state.RequestState,
        routed: _RoutedRequest,
        reason: str,
    ) -> _request_state.Answer:
        """Returns the answer to a request that has not run and never will."""
        reason = reason or "upstream-failed"
        self._deps.metrics.counters.add(
            _metrics.REFUSALS, reason, str(routed.route.rank)
        )
        remaining_s = max(routed.caller_deadline - self._now(), 0.0)
        fraction = self._deps.rng.uniform(
            RETRY_AFTER_MIN_FRACTION, RETRY_AFTER_MAX_FRACTION
        )
        self._log("request.refused", state, routed, 503, reason)
        return self._make_answer(
            503, routed.request_id, reason, fraction * remaining_s
        )

    def _refuse_early(
        self, request_id: str, status: int, reason: str
    ) -> _request_state.Answer:
        """Returns the answer to a request that can't be routed."""
        self._deps.metrics.counters.add(_metrics.REFUSALS, reason, "")
        telemetry.event(
            _LOGGER,
            "request.unroutable",
            id=request_id,
            status=status,
            reason=reason,
            version=self._deps.watcher.version,
        )
        delay_s = RETRY_AFTER_STARTUP_S if status == 503 else 0.0
        return self._make_answer(status, request_id, reason, delay_s)

    def _make_answer(
        self, status: int, request_id: str, reason: str, delay_s: float
    ) -> _request_state.Answer:
        """Returns an answer that this node generates."""
        headers: http1.Headers = [(b"content-type", b"text/plain")]
        if request_id:
            headers.append(
                (self._deps.header_names.request_id, request_id.encode())
            )
        if status in (429, 503):
            headers.append((b"retry-after", f"{delay_s:.3f}".encode()))
        return _request_state.Answer(status, headers, f"{reason}\n".encode())

    def _log(
        self,
        name: str,
        state: _request_state.RequestState,
        routed: _RoutedRequest,
        status: int,
        reason: str,
        **more: Any,
    ) -> None:
        telemetry.event(
            _LOGGER,
            name,
            id=routed.request_id,
            status=status,
            reason=reason,
            route=routed.route.name,
            rank=routed.route.rank,
            service=routed.service,
            nested=self._nested_routes.contains(routed.route.name),
            offers=state.offers,
            arrivals=state.arrivals,
            last=state.last_upstream_id,
            final=state.stop_reason,
            took_s=round(self._now() - state.started_at, 4),
            left_s=round(routed.caller_deadline - self._now(), 4),
            version=self._deps.watcher.version,
            cancelled=state.cancelled,
            **more,
        )

    def _budget_of(self, service: str) -> _budget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = _budget.RetryBudget(
                self._deps.cfg.retries, self._now, self._deps.rng.random()
            )
            self._budgets[service] = budget
        return budget

    def _admission_controller_of(
        self, routed: _RoutedRequest
    ) -> _admission.AdmissionController:
        key = f"{routed.route.name}/{routed.service}"
        controller = self._admission_controllers.get(key)
        if controller is None:
            controller = _admission.AdmissionController(
                self._now,
                self._deps.upstreams.pressures.of(routed.service),
                _admission.Kind(
                    key, routed.route.rank, routed.route.idempotent
                ),
                self._admission_controllers.values,
            )
            self._admission_controllers[key] = controller
        return controller
