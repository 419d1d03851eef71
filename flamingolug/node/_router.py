"""Routes calls to upstreams and retries them within an attempt allowance.

The allowance of a call is the number of attempts that it and the calls made for
it may use together.
"""

import random
from typing import NamedTuple

from flamingolug import calls
from flamingolug import configuration
from flamingolug import membership
from flamingolug import policy
from flamingolug import settings
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _baseline
from flamingolug.node import _callee_check
from flamingolug.node import _keyed
from flamingolug.node import _outlier_detector
from flamingolug.node import _sender

#: Maximum number of times that one hop sends a call.
MAX_ATTEMPTS = 3
#: Concurrency limit assumed for an upstream without a load report.
ASSUMED_LIMIT = 4
RETRIES_DENIED = "flamingolug.retries.denied"
CALLS = "flamingolug.calls"
FAILURE_STATUSES = frozenset({500, 502, 503, 504})

#: Refusals that every other upstream would return too.
_FINAL_REFUSALS = frozenset(
    {
        telemetry.Refusal.ALLOWANCE,
        telemetry.Refusal.BAD_REQUEST,
        telemetry.Refusal.CANCELLED,
        telemetry.Refusal.KEY_REUSED,
        telemetry.Refusal.LEVEL,
        telemetry.Refusal.NO_MANIFEST,
        telemetry.Refusal.PARENT_GONE,
        telemetry.Refusal.UNKNOWN_KIND,
    }
)


class Dependencies(NamedTuple):
    """Dependencies of `Router`."""

    cfg: settings.Settings
    manifest_watcher: configuration.ManifestWatcher
    members: membership.Membership
    loads: membership.PeerLoads
    outlier_detector: _outlier_detector.OutlierDetector
    sender: _sender.Sender
    keyed: _keyed.KeyedRouter
    timers: timing.Timers
    counters: telemetry.Counters
    rng: random.Random


class Router:
    """Routes calls from external callers and from the local backend server."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts with full retry budgets."""
        deps.counters.declare(
            RETRIES_DENIED, "Failed calls not sent again", "reason"
        )
        deps.counters.declare(
            CALLS, "Calls routed, by service and verdict", "service", "verdict"
        )
        self._deps = deps
        self._baseline: _baseline.RoundRobin | None = None
        if deps.cfg.control == "none":
            self._baseline = _baseline.RoundRobin(
                deps.members, deps.sender.send
            )
        self._budgets: dict[str, policy.RetryBudget] = {}

    def refuse_at_entry(self, call: calls.Call) -> calls.Outcome | None:
        """Returns a refusal if a called service would refuse the request."""
        active = self._deps.manifest_watcher.active
        if active is None:
            return calls.not_run(telemetry.Refusal.NO_MANIFEST, "entry")
        if self._baseline is not None or call.needs_owner():
            # The owner of the key checks a call that needs one: only the owner
            # has the record of an earlier attempt.
            return None
        return _callee_check.refuse_by_callee_cutoff(
            call, active, self._deps.loads
        )

    def route(self, call: calls.Call) -> calls.Outcome:
        """Returns the outcome of a call, after retries where these are safe."""
        active = self._deps.manifest_watcher.active
        if active is None:
            return calls.not_run(telemetry.Refusal.NO_MANIFEST, "route")
        self._deps.members.record_call(call.service)
        if self._baseline is not None:
            return self._baseline.route(call)
        if call.needs_owner():
            outcome = self._deps.keyed.route(call, active)
        else:
            outcome = self._try_upstreams(call, active)
        self._deps.counters.add(CALLS, call.service, str(outcome.verdict))
        return outcome

    def _try_upstreams(
        self, call: calls.Call, active: configuration.ActiveManifest
    ) -> calls.Outcome:
        attempts_needed = active.manifest.attempts_needed(call.kind)
        budget = self._budgets.setdefault(call.service, policy.RetryBudget())
        budget.deposit()
        allowance_left = call.allowance
        may_have_run = False
        tried: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            attempt_allowance = policy.allowance_for_attempt(
                allowance_left, attempts_needed, MAX_ATTEMPTS - 1 - attempt
            )
            if attempt_allowance == 0:
                refused = calls.not_run(
                    telemetry.Refusal.ALLOWANCE,
                    "route",
                    attempts=call.allowance - allowance_left,
                )
                return _unknown_if_may_have_run(refused, may_have_run)
            member, outcome = self._choose_upstream(
                call, active, frozenset(tried)
            )
            if member is not None:
                tried.add(member.name)
                outcome = self._deps.sender.send(
                    member, call._replace(allowance=attempt_allowance)
                )
            allowance_left -= outcome.attempts
            outcome = outcome._replace(attempts=call.allowance - allowance_left)
            if _is_success(outcome):
                return outcome
            decision = policy.decide_retry(
                self._make_retry_context(
                    call, outcome, allowance_left, attempts_needed, budget
                )
            )
            is_last = attempt == MAX_ATTEMPTS - 1 or member is None
            if decision.retry_reason is None or is_last:
                if decision.denial_reason is not None:
                    self._deps.counters.add(
                        RETRIES_DENIED, str(decision.denial_reason)
                    )
                return _unknown_if_may_have_run(outcome, may_have_run)
            if outcome.verdict is not calls.Verdict.NOT_RUN:
                may_have_run = True
            budget.spend()
            self._deps.counters.add(_keyed.RETRIES, str(decision.retry_reason))
        raise AssertionError("the last attempt must return")

    def _choose_upstream(
        self,
        call: calls.Call,
        active: configuration.ActiveManifest,
        tried: frozenset[str],
    ) -> tuple[membership.Member | None, calls.Outcome]:
        """Chooses the upstream for the next attempt.

        Returns:
            The upstream, None if there is none, and the refusal to report in
            that case.
        """
        table = self._deps.members.table
        upstreams = table.of_service(call.service)
        candidates = [self._make_candidate(each, active) for each in upstreams]
        self._record_callee_cutoff(call.service, candidates, active)
        choice = policy.choose_upstream(
            candidates, call.level, tried, self._deps.rng
        )
        if choice.name is not None:
            return table.get(choice.name), calls.not_run(
                telemetry.Refusal.NO_UPSTREAM, "route"
            )
        refusal = choice.refusal or telemetry.Refusal.NO_UPSTREAM
        return None, calls.not_run(refusal, "route", call.service)

    def _make_candidate(
        self, member: membership.Member, active: configuration.ActiveManifest
    ) -> policy.Candidate:
        """Returns the load and state of an upstream as this node sees them."""
        loads = self._deps.loads
        report = loads.recent_report(member.name, member.incarnation)
        outstanding = self._deps.sender.outstanding(member.name)
        cutoff = membership.ADMIT_ALL
        leaving = member.state in (
            membership.MemberState.DEAD,
            membership.MemberState.LEFT,
        )
        if report is None:
            load = outstanding / ASSUMED_LIMIT
        else:
            busy = max(report["run"] + report["wait"], outstanding)
            load = busy / max(report["limit"], 1)
            if report["rev"] == active.revision:
                cutoff = report["cut"]
            leaving = leaving or report["leaving"]
        return policy.Candidate(
            name=member.name,
            own_zone=member.zone == self._deps.cfg.availability_zone,
            load=load,
            cutoff=cutoff,
            ejected=(
                member.state is membership.MemberState.SUSPECT
                or self._deps.outlier_detector.is_ejected(member.name)
            ),
            leaving=leaving,
        )

    def _record_callee_cutoff(
        self,
        service: str,
        candidates: list[policy.Candidate],
        active: configuration.ActiveManifest,
    ) -> None:
        """Records the highest level that a service admits.

        The load report of this node passes this level on to the nodes that send
        to this node.
        """
        cutoffs = [each.cutoff for each in candidates if not each.leaving]
        if cutoffs:
            self._deps.loads.record_callee_cutoff(
                service, max(cutoffs), active.revision
            )

    def _make_retry_context(
        self,
        call: calls.Call,
        outcome: calls.Outcome,
        allowance_left: int,
        attempts_needed: int,
        budget: policy.RetryBudget,
    ) -> policy.RetryContext:
        not_run = outcome.verdict is calls.Verdict.NOT_RUN
        return policy.RetryContext(
            not_run=not_run,
            unreachable=outcome.reason == telemetry.Refusal.UNREACHABLE,
            final=not_run and outcome.reason in _FINAL_REFUSALS,
            # Every answer is a failure here: `_try_upstreams` has already
            # returned a successful one.
            answered_with_failure=outcome.verdict is calls.Verdict.ANSWERED,
            non_idempotent=call.non_idempotent,
            remaining=allowance_left,
            attempts_needed=attempts_needed,
            has_budget=budget.can_spend(),
            time_left_s=call.deadline - self._deps.timers.now(),
            # No time is required: lack of time denies a retry only once the
            # deadline has passed. The next upstream refuses a call that cannot
            # finish in time.
            time_needed_s=0.0,
        )


def _is_success(outcome: calls.Outcome) -> bool:
    """Returns whether the call was answered without a failure status."""
    return (
        outcome.verdict is calls.Verdict.ANSWERED
        and outcome.status not in FAILURE_STATUSES
    )


def _unknown_if_may_have_run(
    outcome: calls.Outcome, may_have_run: bool
) -> calls.Outcome:
    """Returns the outcome, as unknown if an earlier attempt may have run.

    An answer is returned unchanged.
    """
    if may_have_run and outcome.verdict is calls.Verdict.NOT_RUN:
        return outcome._replace(verdict=calls.Verdict.UNKNOWN)
    return outcome
