"""Routes keyed non-idempotent calls to the one node that owns their key."""

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
from flamingolug.node import _sender
from flamingolug.node import _upstream
from flamingolug.node import _wire

RETRIES = "flamingolug.retries"
#: Times that an owner of a key is looked for.
MAX_OWNER_TRIES = 20
#: Seconds before the owner of a key is looked for again.
OWNER_RETRY_S = 0.1
#: Nodes asked for an outcome, one after the other.
MAX_ASKS = 3
ASK_TIMEOUT_S = 1.0
#: Steps of refusals that are not the word of a key's owner.
_OTHERS_STEPS = frozenset(
    {"route", "link", "link.request", "inbound", "ownership"}
)


class Dependencies(NamedTuple):
    """What routing to owners works with."""

    cfg: settings.Settings
    members: membership.Membership
    links: peers.Links
    upstream: _upstream.Upstream
    sender: _sender.Sender
    timers: timing.Timers
    counters: telemetry.Counters
    wire: _wire.Wire


class KeyedRouter:
    """Finds the owners of keys."""

    def __init__(self, deps: Dependencies) -> None:
        """Declares the counter of retries, which all routing shares."""
        deps.counters.declare(RETRIES, "Calls sent again", "reason")
        self._deps = deps

    def ask_outcome(self, service: str, key: str) -> calls.Outcome:
        """Returns what the owner of a key knows of it.

        `no-record` as the reason of an unknown outcome means that the owner
        never saw the key, or has forgotten it.
        """
        table = self._deps.members.table
        name = self._guess_owner(service, key)
        outcome = calls.unknown("no-owner", "ask", service, 0)
        for _ in range(MAX_ASKS):
            member = table.by_incarnation_id(name)
            if member is None:
                break
            outcome = self._ask_member(member, key)
            if outcome.reason != _upstream.NO_RECORD or (
                outcome.peer in ("", member.incarnation_id())
            ):
                break
            name = outcome.peer
        return outcome

    def _ask_member(self, member: membership.Member, key: str) -> calls.Outcome:
        if member.name == self._deps.cfg.name:
            return self._deps.upstream.ask_outcome(key)
        message: peers.OutcomeMessage = {
            "id": self._deps.wire.next_id(),
            "key": key,
        }
        try:
            answer = self._deps.links.to(member.peer).request(
                peers.MessageType.OUTCOME, message, b"", ASK_TIMEOUT_S
            )
        except errors.FlamingolugError as exc:
            return calls.unknown(exc.message, "ask", member.name, 0)
        return self._deps.wire.outcome(answer.message, answer.body)

    def route(
        self, call: calls.Call, found: configuration.ActiveManifest
    ) -> calls.Outcome:
        """Sends a keyed non-idempotent call to the node that owns its key.

        Only the owner can tell whether an earlier try has run, so nothing is
        refused on the way to it.
        """
        needed = found.manifest.attempts_needed(call.kind)
        if call.allowance < needed:
            return calls.not_run(telemetry.Refusal.ALLOWANCE, "route")
        table = self._deps.members.table
        outcome = calls.not_run(
            telemetry.Refusal.NO_UPSTREAM, "route", call.service
        )
        asked: set[str] = set()
        owner = self._guess_owner(call.service, call.key)
        for _ in range(MAX_OWNER_TRIES):
            member = table.by_incarnation_id(owner)
            if member is not None:
                outcome = self._deps.sender.send(member, call)
                if not _sender.is_misrouted(outcome):
                    break
                self._deps.counters.add(
                    RETRIES, str(telemetry.Retry.OWNER_MOVED)
                )
            asked.add(owner)
            owner = outcome.peer
            if owner in asked or table.by_incarnation_id(owner) is None:
                # While a change of owners spreads, each names the other.
                gevent.sleep(OWNER_RETRY_S)
                asked.clear()
                owner = self._guess_owner(call.service, call.key)
            if self._deps.timers.now() + OWNER_RETRY_S > call.deadline:
                break
        return say_only_owners_word(outcome)

    def _guess_owner(self, service: str, key: str) -> str:
        """Returns the owner of a key by this node's own membership."""
        runs = [
            each.incarnation_id()
            for each in self._deps.members.table.of_service(service)
            if each.is_present()
        ]
        return policy.owner_of(key, runs) or ""


def say_only_owners_word(outcome: calls.Outcome) -> calls.Outcome:
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
