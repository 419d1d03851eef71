"""Maintains the ownership lease for keyed calls of the local service.

Every second the node requests votes from the other members of its view. One
member, the coordinator, updates the view through the store when the membership
changes. `flamingolug.ownership` implements the voting rules.
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
#: Seconds between two rounds of vote requests.
VOTE_INTERVAL_S = 1.0
#: Seconds between two comparisons of the view with the membership.
VIEW_CHECK_INTERVAL_S = 0.5
#: Seconds between two rounds of vote requests while a node waits for the lease
#: of a newly adopted view.
FAST_VOTE_INTERVAL_S = 0.1
#: Seconds after a view change during which `FAST_VOTE_INTERVAL_S` applies. More
#: frequent requests do not help a view that has had no majority for longer.
FAST_VOTE_PERIOD_S = 5.0
#: Seconds to wait for the answer to a vote request.
VOTE_TIMEOUT_S = 1.0
#: Unused; a node without a view searches for one every `VOTE_INTERVAL_S`.
FIND_INTERVAL_S = 1.0
#: Seconds after the start of this node before a member of the view that is not
#: in the membership table counts as departed.
UNKNOWN_MEMBER_TIMEOUT_S = 60.0
#: Longest time in seconds that a call waits for the ownership lease.
LEASE_WAIT_S = 1.5
_POLL_S = 0.02


class Dependencies(NamedTuple):
    """Dependencies of `OwnershipManager`."""

    members: membership.Membership
    links: peers.Links
    store: store.Store | None
    outcomes: _outcomes.Outcomes
    timers: timing.Timers
    counters: telemetry.Counters
    next_id: Callable[[], int]
    #: Sends the reply to a message of a peer.
    reply: Callable[
        [peers.InboundMessage, peers.MessageType, peers.Message, bytes], object
    ]


class OwnershipManager:
    """Manages the view, the votes and the ownership lease of one service.

    One node runs one instance, for the service of its backend server.
    """

    def __init__(self, deps: Dependencies) -> None:
        """Starts without a view."""
        now = deps.timers.now()
        self.voter = ownership.new_voter(now)
        self._deps = deps
        self._started_at = now
        #: Whether this node is giving its keys to other owners.
        self.stopping = False
        self._service = ""
        #: When each vote for the view was requested, by name of the voter.
        self._vote_requested_at: dict[str, float] = {}
        #: End of the lease of the previous view, in monotonic seconds.
        self._previous_lease_expires_at = float("-inf")
        #: Whether a view check has found this node holding the lease under the
        #: current view; only then may this node change the view.
        self._has_held_lease = False
        #: When the view was adopted, in monotonic seconds.
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
        self._swapping_view = False
        self._finding_view = False

    def start(self) -> None:
        """Starts the periodic vote requests and view checks."""
        self._deps.timers.every(VOTE_INTERVAL_S, self._run_vote_round)
        self._deps.timers.every(VIEW_CHECK_INTERVAL_S, self._check_view)
        self._deps.timers.every(FAST_VOTE_INTERVAL_S, self._request_votes_fast)

    def set_service(self, service: str) -> None:
        """Sets the service of the backend server beside this node."""
        self._service = service
        self.stopping = False

    def refuse_if_not_owner(self, call: calls.Call) -> calls.Outcome | None:
        """Returns why a keyed call must not run here now, None if it may.

        Waits up to `LEASE_WAIT_S` for the lease if this node owns the key.
        """
        now = self._deps.timers.now
        wait_until = min(now() + LEASE_WAIT_S, call.deadline)
        while not self._may_run(call.key):
            owner = ownership.owner_in(self.voter.view, call.key)
            if owner != self._own_id() or now() >= wait_until:
                return calls.not_run(
                    telemetry.Refusal.NO_RIGHT, "ownership", owner or ""
                )
            gevent.sleep(_POLL_S)
        return None

    def may_run(self, key: str) -> bool:
        """Returns whether this node may run calls with a key now."""
        return self._may_run(key)

    def may_have_run_elsewhere(self, call: calls.Call) -> bool:
        """Returns whether an earlier call with this key may have run elsewhere.

        The key has no record at this node.
        """
        return self._handover.may_have_run_elsewhere(call)

    def handle_handover(self, inbound: peers.InboundMessage) -> None:
        """Replies with the records of keys that moved to the sender."""
        message: peers.HandoverMessage = inbound.message
        self._adopt_if_newer(message["epoch"], message["members"])
        answer, body = self._handover.answer(message, self.voter.view)
        self._deps.reply(inbound, peers.MessageType.RECORDS, answer, body)

    def handle_vote(self, inbound: peers.InboundMessage) -> None:
        """Replies to a vote request."""
        message: peers.VoteMessage = inbound.message
        if message["svc"] != self._service:
            return
        self._adopt_if_newer(message["epoch"], message.get("members"))
        now = self._deps.timers.now()
        self.voter = ownership.record_adoption(
            self.voter, message["name"], message["epoch"], now
        )
        self.voter, granted = ownership.handle_vote_request(
            self.voter, message["epoch"], now
        )
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

    def wait_until_released(self, timeout_s: float) -> None:
        """Waits until other nodes own the keys of this node.

        Also returns when the view has no other member, and at the time-out.
        """
        deadline = self._deps.timers.now() + timeout_s
        while self._deps.timers.now() < deadline:
            view_members = self.voter.view.members
            if self._own_id() not in view_members or len(view_members) == 1:
                # Leaves new owners, if there are any, time to fetch the
                # records.
                gevent.sleep(VIEW_CHECK_INTERVAL_S)
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
            (view, ownership.lease_expires_at(view, self._vote_requested_at)),
            (self.voter.previous_view, self._previous_lease_expires_at),
        )

    def _run_vote_round(self) -> None:
        """Runs the periodic work of ownership.

        Removes expired gaps (see `_handover.Gap`) and offers this node as an
        owner. Then requests votes or, while this node has no view, starts a
        search for one.
        """
        self._handover.remove_expired_gaps()
        self._offer_as_owner()
        view = self.voter.view
        if view.epoch == 0:
            self._start_view_search()
            return
        if self._own_id() in view.members or not self.stopping:
            self._request_votes(view)

    def _offer_as_owner(self) -> None:
        """Announces this node as a possible owner of keys, once.

        Does nothing until `ownership.VOTE_HOLD_S` after the start: votes given
        by an earlier incarnation have then expired.
        """
        members = self._deps.members
        ready_at = self._started_at + ownership.VOTE_HOLD_S
        if members.table.own.may_own_keys or (
            self._deps.timers.now() < ready_at
        ):
            return
        members.update_own(may_own_keys=True)

    def _check_view(self) -> None:
        """Updates the view if this node is its coordinator."""
        view = self.voter.view
        if view.epoch == 0:
            return
        expires_at = ownership.lease_expires_at(view, self._vote_requested_at)
        self._has_held_lease |= expires_at > self._deps.timers.now()
        if self._is_coordinator(view) and self._has_held_lease:
            self._propose_view(view)

    def _request_votes_fast(self) -> None:
        """Requests votes at short intervals after a view change."""
        view = self.voter.view
        if self._own_id() not in view.members:
            return
        now = self._deps.timers.now()
        if ownership.lease_expires_at(view, self._vote_requested_at) > now:
            return
        if now - self._adopted_at > FAST_VOTE_PERIOD_S:
            return
        self._request_votes(view)

    def _request_votes(self, view: ownership.View) -> None:
        """Requests votes from a majority of the members.

        Requests them from all members once less than half of the lease is left.
        """
        self._vote_for_self()
        names = list(map(ownership.name_of, view.members))
        own = self._own_name()
        if own in names:
            # Each member starts with its successor, which spreads the requests
            # evenly over the members.
            index = names.index(own)
            names = names[index + 1 :] + names[:index]
        remaining_s = ownership.lease_expires_at(view, self._vote_requested_at)
        remaining_s -= self._deps.timers.now()
        if remaining_s > ownership.OWNERSHIP_LEASE_S / 2.0:
            names = names[: len(view.members) // 2]
        for name in names:
            gevent.spawn(self._request_vote, name, view)

    def _vote_for_self(self) -> None:
        now = self._deps.timers.now()
        view = self.voter.view
        self.voter, granted = ownership.handle_vote_request(
            self.voter, view.epoch, now
        )
        if granted:
            self._vote_requested_at[self._own_name()] = now

    def _request_vote(self, name: str, view: ownership.View) -> None:
        """Requests the vote of one member."""
        member = self._deps.members.table.get(name)
        if member is None or not member.is_present():
            return
        requested_at = self._deps.timers.now()
        message: peers.VoteMessage = {
            "id": self._deps.next_id(),
            "name": self._own_name(),
            "svc": self._service,
            "epoch": view.epoch,
        }
        if self.voter.adopted.get(name, 0) < view.epoch:
            message["members"] = list(view.members)
        try:
            answer = self._deps.links.link_to(member.peer).request(
                peers.MessageType.VOTE, message, b"", VOTE_TIMEOUT_S
            )
        except errors.FlamingolugError:
            return
        voted: peers.VotedMessage = answer.message
        self._adopt_if_newer(voted["epoch"], voted.get("members"))
        self.voter = ownership.record_adoption(
            self.voter, name, voted["epoch"], self._deps.timers.now()
        )
        if voted["granted"] and self.voter.view == view:
            self._vote_requested_at[name] = requested_at

    def _adopt_if_newer(self, epoch: int, members: list[str] | None) -> None:
        """Adopts a view received from a peer if its epoch is higher."""
        if members is not None and epoch > self.voter.view.epoch:
            self._adopt(ownership.View(epoch, tuple(members)))

    def _adopt(self, view: ownership.View) -> None:
        """Adopts a later view and fetches the records of keys gained by it."""
        old = self.voter.view
        if view.epoch <= old.epoch:
            return
        expires_at = ownership.lease_expires_at(old, self._vote_requested_at)
        self.voter = ownership.adopt(self.voter, view, self._own_name())
        self._previous_lease_expires_at = expires_at
        self._vote_requested_at = {}
        self._adopted_at = self._deps.timers.now()
        self._has_held_lease = False
        self._deps.counters.add(_handover.OWNERSHIP_EVENTS, "adopted")
        telemetry.event(
            _LOGGER,
            "owners.adopted",
            service=self._service,
            epoch=view.epoch,
            members=",".join(view.members),
        )
        self._handover.start_fetching(self._service, old, view)
        # Vote requests also announce that this node has stopped acting under
        # the old view. A voter need not wait for the end of its hold time once
        # every member of the old view has announced this.
        names = set(map(ownership.name_of, (*old.members, *view.members)))
        for name in names - {self._own_name()}:
            gevent.spawn(self._request_vote, name, view)

    def _start_view_search(self) -> None:
        """Starts a search for the view: at peers first, then in the store."""
        if not self._service or self._finding_view or self.stopping:
            return
        self._finding_view = True
        gevent.spawn(self._search_view)

    def _search_view(self) -> None:
        try:
            table = self._deps.members.table
            for member in table.of_service(self._service):
                if member.name != self._own_name():
                    # If the view of the peer is newer, its answer contains the
                    # view, which `_request_vote` adopts.
                    self._request_vote(member.name, self.voter.view)
                if self.voter.view.epoch:
                    return
            self._load_or_create_view()
        finally:
            self._finding_view = False

    def _load_or_create_view(self) -> None:
        """Reads the view from the store, or creates the first one."""
        source = self._deps.store
        if source is None:
            return
        key = ownership.view_key(self._service)
        initial = ownership.View(1, (self._own_id(),))
        try:
            entry = source.read(key)
            stored = ownership.decode_view(entry.value)
            if stored.epoch == 0:
                source.swap(key, ownership.encode_view(initial), entry.version)
                stored = initial
                # No node has voted before the first view of a service, so
                # there is no earlier vote to wait for.
                self.voter = self.voter._replace(vote_hold_until=0.0)
            self._adopt(stored)
        except errors.FlamingolugError as exc:
            telemetry.failure(_LOGGER, "owners.store-failed", exc)

    def _is_coordinator(self, view: ownership.View) -> bool:
        """Returns whether this node is the coordinator of a view.

        The coordinator is the first live member by name; it changes the view.
        """
        alive_names = {
            each.name
            for each in self._deps.members.table.of_service(self._service)
            if each.state is membership.MemberState.ALIVE
        }
        names = sorted(map(ownership.name_of, view.members))
        candidates = [each for each in names if each in alive_names]
        return bool(candidates) and candidates[0] == self._own_name()

    def _live_incarnation_ids(self) -> list[str]:
        """Returns the live incarnations that can own keys of the service."""
        return [
            each.incarnation_id()
            for each in self._deps.members.table.of_service(self._service)
            if each.state is membership.MemberState.ALIVE and each.may_own_keys
        ]

    def _departed_members(self, view: ownership.View) -> list[str]:
        """Returns members that restarted, left, failed or changed service."""
        uptime_s = self._deps.timers.now() - self._started_at
        departed: list[str] = []
        for incarnation_id in view.members:
            member = self._deps.members.table.get(
                ownership.name_of(incarnation_id)
            )
            if member is None:
                if uptime_s > UNKNOWN_MEMBER_TIMEOUT_S:
                    departed.append(incarnation_id)
                continue
            restarted = member.incarnation > ownership.incarnation_of(
                incarnation_id
            )
            serves_another = member.service != self._service
            if restarted or serves_another or not member.is_present():
                departed.append(incarnation_id)
        return departed

    def _propose_view(self, view: ownership.View) -> None:
        """Starts a view change if the membership requires one."""
        proposed = ownership.next_view(
            view, self._live_incarnation_ids(), self._departed_members(view)
        )
        source = self._deps.store
        if proposed is None or source is None or self._swapping_view:
            return
        self._swapping_view = True
        gevent.spawn(self._swap_view, source, view, proposed)

    def _swap_view(
        self,
        source: store.Store,
        view: ownership.View,
        proposed: ownership.View,
    ) -> None:
        key = ownership.view_key(self._service)
        try:
            entry = source.read(key)
            stored = ownership.decode_view(entry.value)
            if stored.epoch != view.epoch:
                self._adopt(stored)
                return
            source.swap(key, ownership.encode_view(proposed), entry.version)
            self._adopt(proposed)
        except errors.FlamingolugError as exc:
            telemetry.failure(_LOGGER, "owners.store-failed", exc)
        finally:
            self._swapping_view = False
