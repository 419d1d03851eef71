"""Sends calls to upstreams, with retries inside one attempt allowance."""

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
from flamingolug.node import _health
from flamingolug.node import _keyed
from flamingolug.node import _sender

#: Times that one hop sends a call at most.
MAX_TRIES = 3
#: Limit assumed of an upstream that has not reported yet.
ASSUMED_LIMIT = 4
RETRIES_DENIED = "flamingolug.retries.denied"
CALLS = "flamingolug.calls"
FAILURE_STATUSES = frozenset({500, 502, 503, 504})

#: Refusals that another upstream would repeat.
_FINAL = frozenset(
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
    """What routing works with."""

    cfg: settings.Settings
    config: configuration.ManifestWatcher
    members: membership.Membership
    loads: membership.PeerLoads
    health: _health.Health
    sender: _sender.Sender
    keyed: _keyed.KeyedRouter
    timers: timing.Timers
    counters: telemetry.Counters
    rng: random.Random


class Router:
    """Routes the calls of callers and of the backend server beside it."""

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
        """Returns a refusal if a service below would refuse the request.

        Refusing it here costs one look at a table; refusing it there would
        waste what the services above have done by then.
        """
        found = self._deps.config.active
        if found is None:
            return calls.not_run(telemetry.Refusal.NO_MANIFEST, "entry")
        if self._baseline is not None or call.needs_owner():
            return None
        return _callee_check.refuse_by_callee_level(
            call, found, self._deps.loads
        )

    def route(self, call: calls.Call) -> calls.Outcome:
        """Returns the outcome of a call, after retries where harmless."""
        found = self._deps.config.active
        if found is None:
            return calls.not_run(telemetry.Refusal.NO_MANIFEST, "route")
        self._deps.members.use_service(call.service)
        if self._baseline is not None:
            return self._baseline.route(call)
        if call.needs_owner():
            outcome = self._deps.keyed.route(call, found)
        else:
            outcome = self._try_upstreams(call, found)
        self._deps.counters.add(CALLS, call.service, str(outcome.verdict))
        return outcome

    def _try_upstreams(
        self, call: calls.Call, found: configuration.ActiveManifest
    ) -> calls.Outcome:
        needed = found.manifest.attempts_needed(call.kind)
        budget = self._budgets.setdefault(call.service, policy.RetryBudget())
        budget.deposit()
        held = call.allowance
        may_have_run = False
        tried: set[str] = set()
        for attempt in range(MAX_TRIES):
            share = policy.share_for_attempt(
                held, needed, MAX_TRIES - 1 - attempt
            )
            if share == 0:
                refused = calls.not_run(
                    telemetry.Refusal.ALLOWANCE,
                    "route",
                    attempts=call.allowance - held,
                )
                return _honest(refused, may_have_run)
            member, outcome = self._pick(call, found, frozenset(tried))
            if member is not None:
                tried.add(member.name)
                outcome = self._deps.sender.send(
                    member, call._replace(allowance=share)
                )
            held -= outcome.attempts
            outcome = outcome._replace(attempts=call.allowance - held)
            if _is_success(outcome):
                return outcome
            decision = policy.decide_retry(
                self._question(call, outcome, held, needed, budget)
            )
            last = attempt == MAX_TRIES - 1 or member is None
            if decision.retry is None or last:
                if decision.denied is not None:
                    self._deps.counters.add(
                        RETRIES_DENIED, str(decision.denied)
                    )
                return _honest(outcome, may_have_run)
            if outcome.verdict is not calls.Verdict.NOT_RUN:
                may_have_run = True
            budget.spend()
            self._deps.counters.add(_keyed.RETRIES, str(decision.retry))
        raise AssertionError("the last try returns")

    def _pick(
        self,
        call: calls.Call,
        found: configuration.ActiveManifest,
        tried: frozenset[str],
    ) -> tuple[membership.Member | None, calls.Outcome]:
        """Returns the upstream to send to, or the refusal."""
        table = self._deps.members.table
        members = table.of_service(call.service)
        candidates = [self._candidate(each, found) for each in members]
        self._observe(call.service, candidates, found)
        choice = policy.choose_upstream(
            candidates, call.level, tried, self._deps.rng
        )
        if choice.name is not None:
            return table.get(choice.name), calls.not_run(
                telemetry.Refusal.NO_UPSTREAM, "route"
            )
        refusal = choice.refusal or telemetry.Refusal.NO_UPSTREAM
        return None, calls.not_run(refusal, "route", call.service)

    def _candidate(
        self, member: membership.Member, found: configuration.ActiveManifest
    ) -> policy.Candidate:
        """Returns how an upstream looks from here."""
        loads = self._deps.loads
        report = loads.fresh(member.name, member.incarnation)
        outstanding = self._deps.sender.outstanding(member.name)
        cutoff = membership.OPEN
        leaving = member.state in (
            membership.MemberState.DEAD,
            membership.MemberState.LEFT,
        )
        if report is None:
            load = outstanding / ASSUMED_LIMIT
        else:
            busy = max(report["run"] + report["wait"], outstanding)
            load = busy / max(report["limit"], 1)
            if report["rev"] == found.revision:
                cutoff = report["cut"]
            leaving = leaving or report["leaving"]
        return policy.Candidate(
            name=member.name,
            own_zone=member.zone == self._deps.cfg.availability_zone,
            load=load,
            cutoff=cutoff,
            ejected=(
                member.state is membership.MemberState.SUSPECT
                or self._deps.health.is_ejected(member.name)
            ),
            leaving=leaving,
        )

    def _observe(
        self,
        service: str,
        candidates: list[policy.Candidate],
        found: configuration.ActiveManifest,
    ) -> None:
        """Notes the level that a service admits, for the nodes above."""
        staying = [each.cutoff for each in candidates if not each.leaving]
        if staying:
            self._deps.loads.observe(service, max(staying), found.revision)

    def _question(
        self,
        call: calls.Call,
        outcome: calls.Outcome,
        held: int,
        needed: int,
        budget: policy.RetryBudget,
    ) -> policy.RetryQuestion:
        not_run = outcome.verdict is calls.Verdict.NOT_RUN
        return policy.RetryQuestion(
            not_run=not_run,
            unreachable=outcome.reason == telemetry.Refusal.UNREACHABLE,
            final=not_run and outcome.reason in _FINAL,
            failed=outcome.verdict is calls.Verdict.ANSWERED,
            non_idempotent=call.non_idempotent,
            held=held,
            needed=needed,
            budget_left=budget.can_spend(),
            time_left_s=call.deadline - self._deps.timers.now(),
            time_needed_s=0.0,
        )


def _is_success(outcome: calls.Outcome) -> bool:
    """Returns whether there is nothing to gain from another try."""
    return (
        outcome.verdict is calls.Verdict.ANSWERED
        and outcome.status not in FAILURE_STATUSES
    )


def _honest(outcome: calls.Outcome, may_have_run: bool) -> calls.Outcome:
    """Says `unknown` where an earlier attempt may have run."""
    if may_have_run and outcome.verdict is calls.Verdict.NOT_RUN:
        return outcome._replace(verdict=calls.Verdict.UNKNOWN)
    return outcome
