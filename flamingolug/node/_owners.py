"""Keeps the right to run keyed calls of the service beside this node.

Every second the node asks the other members of its view for their votes. One
of them, the keeper, brings the view in line with the membership through the
store. The rule itself stands in `flamingolug.ownership`.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

import gevent

from flamingolug import calls
from flamingolug import errors
from flamingolug import membership
from flamingolug import ownership
from flamingolug import peers
from flamingolug import store
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.node import _handover
from flamingolug.node import _outcomes

_LOGGER = logging.getLogger(__name__)
VOTE_INTERVAL_S = 1.0
#: Seconds between two comparisons of the view with the membership.
KEEP_INTERVAL_S = 0.5
#: Seconds between two requests while a node waits for the right of a view.
HURRY_INTERVAL_S = 0.1
#: Seconds after a change in which it hurries; a view that has no majority for
#: longer is not helped by asking more often.
HURRY_FOR_S = 5.0
VOTE_TIMEOUT_S = 1.0
#: Seconds between two tries to find a view.
FIND_INTERVAL_S = 1.0
#: Seconds after the start from which unknown members count as gone.
UNKNOWN_IS_GONE_S = 60.0
#: Seconds that a call waits for a right that is about to come.
RIGHT_WAIT_S = 1.5
_POLL_S = 0.02


class Dependencies(NamedTuple):
    """What ownership works with."""

    members: membership.Membership
    links: peers.Links
    store: store.Store | None
    outcomes: _outcomes.Outcomes
    timers: timing.Timers
    counters: telemetry.Counters
    next_id: Callable[[], int]
    #: Answers a message of a peer.
    reply: Callable[
        [peers.InboundMessage, peers.MessageType, peers.Message, bytes], object
    ]


class Owners:
    """Views, votes and rights of one service at one node."""

    def __init__(self, deps: Dependencies) -> None:
        """Starts without a view."""
        now = deps.timers.now()
        self.voter = ownership.new_voter(now)
        self._deps = deps
        self._started_at = now
        #: Whether this node wants to own no keys any more.
        self.leaving = False
        self._service = ""
        self._asked_at: dict[str, float] = {}
        self._previous_until = float("-inf")
        self._had_majority = False
        self._adopted_at = now
        self._handover = _handover.Handover(
            _handover.Dependencies(
                members=deps.members,
                links=deps.links,
                outcomes=deps.outcomes,
                timers=deps.timers,
                counters=deps.counters,
                next_id=deps.next_id,
            )
        )
        self._changing = False
        self._finding = False

    def start(self) -> None:
        """Begins to ask for votes."""
        self._deps.timers.every(VOTE_INTERVAL_S, self._renew)
        self._deps.timers.every(KEEP_INTERVAL_S, self._keep)
        self._deps.timers.every(HURRY_INTERVAL_S, self._hurry)

    def serve(self, service: str) -> None:
        """Sets the service beside this node."""
        self._service = service
        self.leaving = False

    def check(self, call: calls.Call) -> calls.Outcome | None:
        """Returns why a keyed call must not run here now, None if it may.

        It waits a little for a right or a handover that is on its way.
        """
        now = self._deps.timers.now
        until = min(now() + RIGHT_WAIT_S, call.deadline)
        while not self._may_run(call.key):
            owner = ownership.owner_in(self.voter.view, call.key)
            if owner != self._own_id() or now() >= until:
                return calls.not_run(
                    telemetry.Refusal.NO_RIGHT, "ownership", owner or ""
                )
            gevent.sleep(_POLL_S)
        return None

    def may_run(self, key: str) -> bool:
        """Returns whether this node may run a key at this moment."""
        return self._may_run(key)

    def is_doubtful(self, call: calls.Call) -> bool:
        """Returns whether a key unseen here may have run elsewhere."""
        return self._handover.is_doubtful(call)

    def on_handover(self, inbound: peers.InboundMessage) -> None:
        """Gives the records of keys that moved to the sender."""
        message: peers.HandoverMessage = inbound.message
        self._learn(message["epoch"], message["members"])
        answer, body = self._handover.answer(message, self.voter.view)
        self._deps.reply(inbound, peers.MessageType.RECORDS, answer, body)

    def on_vote(self, inbound: peers.InboundMessage) -> None:
        """Answers a request for a vote."""
        message: peers.VoteMessage = inbound.message
        if message["svc"] != self._service:
            return
        self._learn(message["epoch"], message.get("members"))
        now = self._deps.timers.now()
        self.voter = ownership.record_adoption(
            self.voter, message["name"], message["epoch"], now
        )
        self.voter, granted = ownership.vote(self.voter, message["epoch"], now)
        view = self.voter.view
        answer: peers.VotedMessage = {
            "id": message["id"],
            "name": self._own_name(),
            "epoch": view.epoch,
            "granted": granted,
        }
        if view.epoch != message["epoch"]:
            answer["members"] = list(view.members)
        self._deps.reply(inbound, peers.MessageType.VOTED, answer, b"")

    def leave(self, timeout_s: float) -> None:
        """Waits until this node owns no key any more."""
        deadline = self._deps.timers.now() + timeout_s
        while self._deps.timers.now() < deadline:
            members = self.voter.view.members
            if self._own_id() not in members or len(members) == 1:
                # The new owners fetch the records now.
                gevent.sleep(KEEP_INTERVAL_S)
                return
            gevent.sleep(_POLL_S)

    def _own_name(self) -> str:
        return self._deps.members.table.own.name

    def _own_id(self) -> str:
        return self._deps.members.table.own.incarnation_id()

    def _may_run(self, key: str) -> bool:
        view = self.voter.view
        return ownership.may_run(
            self._own_id(),
            key,
            self._deps.timers.now(),
            (view, ownership.lease_expires_at(view, self._asked_at)),
            (self.voter.previous, self._previous_until),
        )

    def _renew(self) -> None:
        """Asks for votes before the right runs out."""
        self._handover.forget_old()
        self._report_ready()
        view = self.voter.view
        if view.epoch == 0:
            self._find_view()
            return
        if self._own_id() in view.members or not self.leaving:
            self._ask_votes(view)

    def _report_ready(self) -> None:
        """Tells once that the votes of an earlier run have run out."""
        members = self._deps.members
        ready_at = self._started_at + ownership.VOTE_HOLD_S
        if members.table.own.owns_keys or (self._deps.timers.now() < ready_at):
            return
        members.update_own(owns_keys=True)

    def _keep(self) -> None:
        """Does the keeper's work where it falls to this node."""
        view = self.voter.view
        if view.epoch == 0:
            return
        until = ownership.lease_expires_at(view, self._asked_at)
        self._had_majority |= until > self._deps.timers.now()
        if self._is_keeper(view) and self._had_majority:
            self._propose(view)

    def _hurry(self) -> None:
        """Asks again soon while this node waits for the right of its view."""
        view = self.voter.view
        if self._own_id() not in view.members:
            return
        now = self._deps.timers.now()
        if ownership.lease_expires_at(view, self._asked_at) > now:
            return
        if now - self._adopted_at > HURRY_FOR_S:
            return
        self._ask_votes(view)

    def _ask_votes(self, view: ownership.View) -> None:
        """Asks for the votes that are needed, or for all when in trouble."""
        self._vote_for_itself()
        names = list(map(ownership.name_of, view.members))
        own = self._own_name()
        if own in names:
            # Each member begins behind itself, so that all are asked alike.
            place = names.index(own)
            names = names[place + 1 :] + names[:place]
        left_s = ownership.lease_expires_at(view, self._asked_at)
        left_s -= self._deps.timers.now()
        if left_s > ownership.OWNERSHIP_LEASE_S / 2.0:
            names = names[: len(view.members) // 2]
        for name in names:
            gevent.spawn(self._ask_vote, name, view)

    def _vote_for_itself(self) -> None:
        now = self._deps.timers.now()
        view = self.voter.view
        self.voter, granted = ownership.vote(self.voter, view.epoch, now)
        if granted:
            self._asked_at[self._own_name()] = now

    def _ask_vote(self, name: str, view: ownership.View) -> None:
        """Asks one member for its vote."""
        member = self._deps.members.table.get(name)
        if member is None or not member.is_present():
            return
        asked_at = self._deps.timers.now()
        message: peers.VoteMessage = {
            "id": self._deps.next_id(),
            "name": self._own_name(),
            "svc": self._service,
            "epoch": view.epoch,
        }
        if self.voter.adopted.get(name, 0) < view.epoch:
            message["members"] = list(view.members)
        try:
            answer = self._deps.links.to(member.peer).request(
                peers.MessageType.VOTE, message, b"", VOTE_TIMEOUT_S
            )
        except errors.FlamingolugError:
            return
        voted: peers.VotedMessage = answer.message
        self._learn(voted["epoch"], voted.get("members"))
        self.voter = ownership.record_adoption(
            self.voter, name, voted["epoch"], self._deps.timers.now()
        )
        if voted["granted"] and self.voter.view == view:
            self._asked_at[name] = asked_at

    def _learn(self, epoch: int, members: list[str] | None) -> None:
        """Adopts a view that a peer tells of."""
        if members is not None and epoch > self.voter.view.epoch:
            self._adopt(ownership.View(epoch, tuple(members)))

    def _adopt(self, view: ownership.View) -> None:
        """Adopts a later view and sees to the keys that come with it."""
        old = self.voter.view
        if view.epoch <= old.epoch:
            return
        until = ownership.lease_expires_at(old, self._asked_at)
        self.voter = ownership.adopt(self.voter, view, self._own_name())
        self._previous_until = until
        self._asked_at = {}
        self._adopted_at = self._deps.timers.now()
        self._had_majority = False
        self._deps.counters.add(_handover.VIEW_CHANGES, "adopted")
        telemetry.event(
            _LOGGER,
            "owners.adopted",
            service=self._service,
            epoch=view.epoch,
            members=",".join(view.members),
        )
        self._handover.take_over(self._service, old, view)
        # Everyone learns at once that this node acts under the old view no
        # more; that ends the holds of the others.
        names = set(map(ownership.name_of, (*old.members, *view.members)))
        for name in names - {self._own_name()}:
            gevent.spawn(self._ask_vote, name, view)

    def _find_view(self) -> None:
        """Looks for a view: at peers first, then in the store."""
        if not self._service or self._finding or self.leaving:
            return
        self._finding = True
        gevent.spawn(self._find)

    def _find(self) -> None:
        try:
            table = self._deps.members.table
            for member in table.of_service(self._service):
                if member.name != self._own_name():
                    self._ask_vote(member.name, self.voter.view)
                if self.voter.view.epoch:
                    return
            self._create_view()
        finally:
            self._finding = False

    def _create_view(self) -> None:
        """Reads the view from the store, or makes the first one."""
        source = self._deps.store
        if source is None:
            return
        key = ownership.view_key(self._service)
        first = ownership.View(1, (self._own_id(),))
        try:
            entry = source.read(key)
            found = ownership.decode_view(entry.value)
            if found.epoch == 0:
                source.swap(key, ownership.encode_view(first), entry.version)
                found = first
                # Nobody voted under a service's first view before.
                self.voter = self.voter._replace(vote_hold_until=0.0)
            self._adopt(found)
        except errors.FlamingolugError as exc:
            telemetry.failure(_LOGGER, "owners.store-failed", exc)

    def _is_keeper(self, view: ownership.View) -> bool:
        """Returns whether this node changes the view when it must."""
        present = {
            each.name
            for each in self._deps.members.table.of_service(self._service)
            if each.state is membership.MemberState.ALIVE
        }
        names = sorted(map(ownership.name_of, view.members))
        able = [each for each in names if each in present]
        return bool(able) and able[0] == self._own_name()

    def _present(self) -> list[str]:
        """Returns the runs of nodes that are alive beside the service."""
        return [
            each.incarnation_id()
            for each in self._deps.members.table.of_service(self._service)
            if each.state is membership.MemberState.ALIVE and each.owns_keys
        ]

    def _gone(self, view: ownership.View) -> list[str]:
        """Returns members that ended, left or serve something else now."""
        age_s = self._deps.timers.now() - self._started_at
        gone: list[str] = []
        for incarnation_id in view.members:
            member = self._deps.members.table.get(
                ownership.name_of(incarnation_id)
            )
            if member is None:
                if age_s > UNKNOWN_IS_GONE_S:
                    gone.append(incarnation_id)
                continue
            ended = member.incarnation > ownership.incarnation_of(
                incarnation_id
            )
            elsewhere = member.service != self._service
            if ended or elsewhere or not member.is_present():
                gone.append(incarnation_id)
        return gone

    def _propose(self, view: ownership.View) -> None:
        """Brings the view in line with the membership."""
        wanted = ownership.next_view(view, self._present(), self._gone(view))
        source = self._deps.store
        if wanted is None or source is None or self._changing:
            return
        self._changing = True
        gevent.spawn(self._swap_view, source, view, wanted)

    def _swap_view(
        self,
        source: store.Store,
        view: ownership.View,
        wanted: ownership.View,
    ) -> None:
        key = ownership.view_key(self._service)
        try:
            entry = source.read(key)
            found = ownership.decode_view(entry.value)
            if found.epoch != view.epoch:
                self._adopt(found)
                return
            source.swap(key, ownership.encode_view(wanted), entry.version)
            self._adopt(wanted)
        except errors.FlamingolugError as exc:
            telemetry.failure(_LOGGER, "owners.store-failed", exc)
        finally:
            self._changing = False
