"""Sends calls to upstreams, with retries inside one attempt allowance."""

import random
from typing import NamedTuple

import gevent

from flamingolug import calls
from flamingolug import configuration
from flamingolug import errors
from flamingolug import membership
from flamingolug import peers
from flamingolug import policy
from flamingolug import settings
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _baseline
from flamingolug.node import _below
from flamingolug.node import _health
from flamingolug.node import _upstream
from flamingolug.node import _wire

#: Times that one hop sends a call at most.
MAX_TRIES = 3
#: Seconds that an answer may take beyond the deadline to travel.
ANSWER_GRACE_S = 0.05
#: Times that an owner of a key is looked for.
MAX_OWNER_TRIES = 20
ASK_TIMEOUT_S = 1.0
#: Seconds before the owner of a key is asked again.
OWNER_RETRY_S = 0.1
#: Limit assumed of an upstream that has not reported yet.
ASSUMED_LIMIT = 4
RETRIES = "flamingolug.retries"
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


class Needs(NamedTuple):
    """What routing works with."""

    cfg: settings.Settings
    config: configuration.Configuration
    members: membership.Membership
    loads: membership.LoadBoard
    links: peers.Links
    upstream: _upstream.Upstream
    health: _health.Health
    timers: timing.Timers
    counters: telemetry.Counters
    wire: _wire.Wire
    rng: random.Random


class Router:
    """Routes the calls of callers and of the backend server beside it."""

    def __init__(self, needs: Needs) -> None:
        """Starts with full retry budgets."""
        needs.counters.declare(RETRIES, "Calls sent again", "reason")
        needs.counters.declare(
            RETRIES_DENIED, "Failed calls not sent again", "reason"
        )
        needs.counters.declare(
            CALLS, "Calls routed, by service and verdict", "service", "verdict"
        )
        self._needs = needs
        self._baseline: _baseline.RoundRobin | None = None
        if needs.cfg.control == "none":
            self._baseline = _baseline.RoundRobin(needs.members, self._send)
        self._budgets: dict[str, policy.RetryBudget] = {}
        self._outstanding: dict[str, int] = {}

    def refuse_at_entry(self, call: calls.Call) -> calls.Outcome | None:
        """Returns a refusal if a service below would refuse the request.

        Refusing it here costs one look at a table; refusing it there would
        waste what the services above have done by then.
        """
        found = self._needs.config.in_force
        if found is None:
            return calls.not_run(telemetry.Refusal.NO_MANIFEST, "entry")
        if self._baseline is not None or (call.non_idempotent and call.key):
            return None
        return _below.refuse_below(call, found, self._needs.loads)

    def route(self, call: calls.Call) -> calls.Outcome:
        """Returns the outcome of a call, after retries where harmless."""
        found = self._needs.config.in_force
        if found is None:
            return calls.not_run(telemetry.Refusal.NO_MANIFEST, "route")
        self._needs.members.use_service(call.service)
        if self._baseline is not None:
            return self._baseline.route(call)
        if call.non_idempotent and call.key:
            outcome = self._route_to_owner(call, found)
        else:
            outcome = self._try_upstreams(call, found)
        self._needs.counters.add(CALLS, call.service, str(outcome.verdict))
        return outcome

    def _try_upstreams(
        self, call: calls.Call, found: configuration.InForce
    ) -> calls.Outcome:
        needed = found.manifest.attempts_needed(call.kind)
        budget = self._budgets.setdefault(call.service, policy.RetryBudget())
        budget.earn()
        held = call.allowance
        may_have_run = False
        tried: set[str] = set()
        for attempt in range(MAX_TRIES):
            share = policy.share_for_attempt(
                held, needed, MAX_TRIES - 1 - attempt
            )
            if share == 0:
                return calls.not_run(
                    telemetry.Refusal.ALLOWANCE, "route", attempts=0
                )._replace(attempts=call.allowance - held)
            member, outcome = self._pick(call, found, frozenset(tried))
            if member is not None:
                tried.add(member.name)
                outcome = self._send(member, call._replace(allowance=share))
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
                    self._needs.counters.add(
                        RETRIES_DENIED, str(decision.denied)
                    )
                return _honest(outcome, may_have_run)
            if outcome.verdict is not calls.Verdict.NOT_RUN:
                may_have_run = True
            budget.spend()
            self._needs.counters.add(RETRIES, str(decision.retry))
        raise AssertionError("the last try returns")

    def _pick(
        self,
        call: calls.Call,
        found: configuration.InForce,
        tried: frozenset[str],
    ) -> tuple[membership.Member | None, calls.Outcome]:
        """Returns the upstream to send to, or the refusal."""
        table = self._needs.members.table
        members = table.of_service(call.service)
        candidates = [self._candidate(each, found) for each in members]
        self._observe(call.service, candidates, found)
        choice = policy.choose_upstream(
            candidates, call.level, tried, self._needs.rng
        )
        if choice.name is not None:
            return table.get(choice.name), calls.not_run(
                telemetry.Refusal.NO_UPSTREAM, "route"
            )
        refusal = choice.refusal or telemetry.Refusal.NO_UPSTREAM
        return None, calls.not_run(refusal, "route", call.service)

    def ask_outcome(self, service: str, key: str) -> calls.Outcome:
        """Returns what the owner of a key knows of it.

        `no-record` as the reason of an unknown outcome means that the owner
        never saw the key, or has forgotten it.
        """
        table = self._needs.members.table
        name = self._guess_owner(service, key)
        outcome = calls.unknown("no-owner", "ask", service, 0)
        for _ in range(MAX_TRIES):
            member = table.by_run_id(name)
            if member is None:
                break
            outcome = self._ask_member(member, key)
            if outcome.reason != _upstream.NO_RECORD or (
                outcome.peer in ("", member.run_id())
            ):
                break
            name = outcome.peer
        return outcome

    def _ask_member(self, member: membership.Member, key: str) -> calls.Outcome:
        if member.name == self._needs.cfg.name:
            return self._needs.upstream.ask_outcome(key)
        message: peers.OutcomeMessage = {
            "id": self._needs.wire.next_id(),
            "key": key,
        }
        try:
            answer = self._needs.links.to(member.peer).request(
                peers.MessageType.OUTCOME, message, b"", ASK_TIMEOUT_S
            )
        except errors.FlamingolugError as exc:
            return calls.unknown(exc.message, "ask", member.name, 0)
        return self._needs.wire.outcome(answer.message, answer.body)

    def _route_to_owner(
        self, call: calls.Call, found: configuration.InForce
    ) -> calls.Outcome:
        """Sends a keyed non-idempotent call to the node that owns its key.

        Only the owner can tell whether an earlier try has run, so nothing is
        refused on the way to it.
        """
        needed = found.manifest.attempts_needed(call.kind)
        if call.allowance < needed:
            return calls.not_run(telemetry.Refusal.ALLOWANCE, "route")
        table = self._needs.members.table
        outcome = calls.not_run(
            telemetry.Refusal.NO_UPSTREAM, "route", call.service
        )
        asked: set[str] = set()
        owner = self._guess_owner(call.service, call.key)
        for _ in range(MAX_OWNER_TRIES):
            member = table.by_run_id(owner)
            if member is not None:
                outcome = self._send(member, call)
                if not _is_misrouted(outcome):
                    break
                self._needs.counters.add(
                    RETRIES, str(telemetry.Retry.OWNER_MOVED)
                )
            asked.add(owner)
            owner = outcome.peer
            if owner in asked or table.by_run_id(owner) is None:
                # While a change of owners spreads, each names the other.
                gevent.sleep(OWNER_RETRY_S)
                asked.clear()
                owner = self._guess_owner(call.service, call.key)
            if self._needs.timers.now() + OWNER_RETRY_S > call.deadline:
                break
        return _doubted(outcome)

    def _guess_owner(self, service: str, key: str) -> str:
        """Returns the owner of a key by this node's own membership."""
        runs = [
            each.run_id()
            for each in self._needs.members.table.of_service(service)
            if each.is_present()
        ]
        return policy.owner_of(key, runs) or ""

    def _candidate(
        self, member: membership.Member, found: configuration.InForce
    ) -> policy.Candidate:
        """Returns how an upstream looks from here."""
        loads = self._needs.loads
        report = loads.fresh(member.name, member.incarnation)
        outstanding = self._outstanding.get(member.name, 0)
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
            own_zone=member.zone == self._needs.cfg.availability_zone,
            load=load,
            cutoff=cutoff,
            ejected=(
                member.state is membership.MemberState.SUSPECT
                or self._needs.health.is_ejected(member.name)
            ),
            leaving=leaving,
        )

    def _observe(
        self,
        service: str,
        candidates: list[policy.Candidate],
        found: configuration.InForce,
    ) -> None:
        """Notes the level that a service admits, for the nodes above."""
        staying = [each.cutoff for each in candidates if not each.leaving]
        if staying:
            self._needs.loads.observe(service, max(staying), found.revision)

    def _send(
        self, member: membership.Member, call: calls.Call
    ) -> calls.Outcome:
        """Sends one attempt; its `attempts` covers all that may be used."""
        if member.name == self._needs.cfg.name:
            outcome = self._needs.upstream.serve(call)
            return outcome if _is_misrouted(outcome) else _charge(outcome)
        name = member.name
        self._outstanding[name] = self._outstanding.get(name, 0) + 1
        try:
            outcome = self._send_to_peer(member, call)
        finally:
            self._outstanding[name] -= 1
        lost = outcome.verdict is calls.Verdict.UNKNOWN or (
            outcome.reason == telemetry.Refusal.UNREACHABLE
        )
        if lost:
            self._needs.members.report_lost(name)
        self._needs.health.record(name, not lost)
        return outcome if _is_misrouted(outcome) else _charge(outcome)

    def _send_to_peer(
        self, member: membership.Member, call: calls.Call
    ) -> calls.Outcome:
        left_s = call.deadline - self._needs.timers.now()
        if left_s <= 0.0:
            return calls.not_run(telemetry.Refusal.DEADLINE, "route")
        message = self._needs.wire.call_message(call, member.incarnation)
        try:
            answer = self._needs.links.to(member.peer).request(
                peers.MessageType.CALL,
                message,
                call.body,
                left_s + ANSWER_GRACE_S,
            )
        except errors.PeerUnreachableError as exc:
            return calls.not_run(
                telemetry.Refusal.UNREACHABLE, exc.step, member.name
            )
        except errors.PeerLostError as exc:
            return calls.unknown(
                exc.message, exc.step, member.name, call.allowance
            )
        load = answer.message.get("load")
        if load is not None:
            self._needs.loads.record(load)
        return self._needs.wire.outcome(answer.message, answer.body)

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
            time_left_s=call.deadline - self._needs.timers.now(),
            time_needed_s=0.0,
        )


def _is_success(outcome: calls.Outcome) -> bool:
    """Returns whether there is nothing to gain from another try."""
    return (
        outcome.verdict is calls.Verdict.ANSWERED
        and outcome.status not in FAILURE_STATUSES
    )


def _charge(outcome: calls.Outcome) -> calls.Outcome:
    """Counts each send as an attempt, also one that was refused."""
    return outcome._replace(attempts=max(outcome.attempts, 1))


def _is_misrouted(outcome: calls.Outcome) -> bool:
    """Returns whether another node owns the key; this is no attempt."""
    return outcome.reason == telemetry.Refusal.NO_RIGHT


#: Steps of refusals that are not the word of a key's owner.
_OTHERS_STEPS = frozenset(
    {"route", "link", "link.request", "inbound", "ownership"}
)


def _doubted(outcome: calls.Outcome) -> calls.Outcome:
    """Says `unknown` where the owner of the key was not heard.

    This try did not run, but an earlier one with the same key may have.
    """
    if outcome.verdict is not calls.Verdict.NOT_RUN:
        return outcome
    if outcome.step not in _OTHERS_STEPS and (
        outcome.reason != telemetry.Refusal.NO_UPSTREAM
    ):
        return outcome
    return outcome._replace(verdict=calls.Verdict.UNKNOWN)


def _honest(outcome: calls.Outcome, may_have_run: bool) -> calls.Outcome:
    """Says `unknown` where an earlier attempt may have run."""
    if may_have_run and outcome.verdict is calls.Verdict.NOT_RUN:
        return outcome._replace(verdict=calls.Verdict.UNKNOWN)
    return outcome
