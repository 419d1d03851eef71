"""Routes keyed non-idempotent calls to the node that owns their key."""

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
from flamingolug.node import _message_codec
from flamingolug.node import _sender
from flamingolug.node import _upstream

RETRIES = "flamingolug.retries"
#: Maximum number of times that one call is sent, or its owner looked up, until
#: the owner is found.
MAX_OWNER_LOOKUPS = 20
#: Seconds before the owner of a key is looked up again.
OWNER_RETRY_S = 0.1
#: Maximum number of nodes queried for an outcome, one after the other.
MAX_OUTCOME_QUERIES = 3
#: Seconds to wait for the answer to an outcome query.
OUTCOME_QUERY_TIMEOUT_S = 1.0
#: Steps of refusals that do not come from the owner of the key.
_NON_OWNER_STEPS = frozenset(
    {"route", "link", "link.request", "inbound", "ownership"}
)


class Dependencies(NamedTuple):
    """Dependencies of `KeyedRouter`."""

    cfg: settings.Settings
    members: membership.Membership
    links: peers.Links
    upstream: _upstream.LocalUpstream
    sender: _sender.Sender
    timers: timing.Timers
    counters: telemetry.Counters
    codec: _message_codec.MessageCodec


class KeyedRouter:
    """Sends keyed calls and outcome queries to the owners of keys."""

    def __init__(self, deps: Dependencies) -> None:
        """Declares the retry counter, which all routers share."""
        deps.counters.declare(RETRIES, "Calls sent again", "reason")
        self._deps = deps

    def query_outcome(self, service: str, key: str) -> calls.Outcome:
        """Returns the outcome that the owner of a key has on record.

        `no-record` as the reason of an unknown outcome means that no record
        was found: the key was never received, or its record has expired or was
        lost.
        """
        table = self._deps.members.table
        name = self._expected_owner(service, key)
        outcome = calls.unknown("no-owner", "ask", service, 0)
        for _ in range(MAX_OUTCOME_QUERIES):
            member = table.by_incarnation_id(name)
            if member is None:
                break
            outcome = self._query_member(member, key)
            if outcome.reason != _upstream.NO_RECORD or (
                outcome.peer in ("", member.incarnation_id())
            ):
                break
            name = outcome.peer
        return outcome

    def _query_member(
        self, member: membership.Member, key: str
    ) -> calls.Outcome:
        if member.name == self._deps.cfg.name:
            return self._deps.upstream.query_outcome(key)
        message: peers.OutcomeRequestMessage = {
            "id": self._deps.codec.next_id(),
            "key": key,
        }
        try:
            answer = self._deps.links.link_to(member.peer).request(
                peers.MessageType.OUTCOME, message, b"", OUTCOME_QUERY_TIMEOUT_S
            )
        except errors.FlamingolugError as exc:
            return calls.unknown(exc.message, "ask", member.name, 0)
        return self._deps.codec.decode_outcome(answer.message, answer.body)

    def route(
        self, call: calls.Call, active: configuration.ActiveManifest
    ) -> calls.Outcome:
        """Sends a keyed non-idempotent call to the node that owns its key.

        Only the owner has a record of whether an earlier attempt ran, so the
        call is not shed on the way to it.
        """
        attempts_needed = active.manifest.attempts_needed(call.kind)
        if call.allowance < attempts_needed:
            return calls.not_run(telemetry.Refusal.ALLOWANCE, "route")
        table = self._deps.members.table
        outcome = calls.not_run(
            telemetry.Refusal.NO_UPSTREAM, "route", call.service
        )
        tried: set[str] = set()
        owner = self._expected_owner(call.service, call.key)
        for _ in range(MAX_OWNER_LOOKUPS):
            member = table.by_incarnation_id(owner)
            if member is not None:
                outcome = self._deps.sender.send(member, call)
                if not _sender.is_misrouted(outcome):
                    break
                self._deps.counters.add(
                    RETRIES, str(telemetry.Retry.OWNER_MOVED)
                )
            tried.add(owner)
            owner = outcome.peer
            if owner in tried or table.by_incarnation_id(owner) is None:
                # While a view change propagates, the old and the new owner
                # each name the other.
                gevent.sleep(OWNER_RETRY_S)
                tried.clear()
                owner = self._expected_owner(call.service, call.key)
            if self._deps.timers.now() + OWNER_RETRY_S > call.deadline:
                break
        return unknown_unless_from_owner(outcome)

    def _expected_owner(self, service: str, key: str) -> str:
        """Returns the owner of a key by this node's membership table."""
        incarnation_ids = [
            each.incarnation_id()
            for each in self._deps.members.table.of_service(service)
            if each.is_present()
        ]
        return policy.owner_of(key, incarnation_ids) or ""


def unknown_unless_from_owner(outcome: calls.Outcome) -> calls.Outcome:
    """Returns `unknown` in place of a `not-run` that is not from the owner.

    This attempt did not run, but an earlier one with the same key may have.
    """
    if outcome.verdict is not calls.Verdict.NOT_RUN:
        return outcome
    if outcome.step not in _NON_OWNER_STEPS and (
        outcome.reason != telemetry.Refusal.NO_UPSTREAM
    ):
        return outcome
    return outcome._replace(verdict=calls.Verdict.UNKNOWN)
