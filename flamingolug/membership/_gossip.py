"""Heartbeats among nodes that carry members, loads and the revision.

Each node sends one heartbeat a second to one of its neighbours in turn, and
besides to those upstreams of the services it calls that have not reported of
themselves lately. Neighbours are as many as the logarithm of the fleet, so
links stay open and no handshake is made for a heartbeat. A change of members
is passed on to all neighbours at once and rides on further heartbeats.
"""

import hashlib
import logging
import math
import random
from collections.abc import Callable
from typing import cast
from typing import NamedTuple

import gevent

from flamingolug import errors
from flamingolug import peers
from flamingolug import telemetry
from flamingolug import timing
from flamingolug.membership import _loads
from flamingolug.membership import _table

_LOGGER = logging.getLogger(__name__)
#: Seconds between two heartbeats to the fleet at large.
HEARTBEAT_INTERVAL_S = 1.0
#: Seconds between two looks at upstreams of services in use.
INTEREST_INTERVAL_S = 0.25
#: Age of a report at which its sender is asked for a new one.
REPORT_AGE_S = 0.6
#: Seconds that a service counts as in use after its last call.
INTEREST_S = 2.0
HEARTBEAT_TIMEOUT_S = 1.2
#: One heartbeat in this many goes to a random member, so that parts of a
#: fleet that were parted find each other whatever their order.
MIX_EVERY = 10
#: Seconds in which changes are gathered before they are passed on.
PUSH_DELAY_S = 0.1
#: Seconds that a suspected member has to refute.
SUSPICION_S = 3.0
#: One heartbeat in this many goes to a member that is not alive.
REVIVE_EVERY = 10
#: Member records on one heartbeat at most.
MAX_RECORDS = 16
#: Times that a change is passed on, times log2 of the fleet.
RESEND_FACTOR = 2
MEMBER_CHANGES = "flamingolug.membership.changes"
TABLE_EXCHANGES = "flamingolug.membership.table-exchanges"
HEARTBEATS = "flamingolug.membership.heartbeats"


class Dependencies(NamedTuple):
    """What membership works with."""

    links: peers.Links
    loads: _loads.PeerLoads
    timers: timing.Timers
    counters: telemetry.Counters
    next_id: Callable[[], int]
    rng: random.Random


class Membership:
    """This node's view of the fleet."""

    def __init__(self, own: _table.Member, deps: Dependencies) -> None:
        """Starts with this node alone."""
        deps.counters.declare(
            MEMBER_CHANGES, "Changes of members, by new state", "state"
        )
        deps.counters.declare(
            HEARTBEATS, "Heartbeats sent, by result", "result"
        )
        deps.counters.declare(
            TABLE_EXCHANGES, "Exchanges of all members after a missed change"
        )
        self.table = _table.MemberTable(own)
        self._deps = deps
        self._resend: dict[str, int] = {}
        self._zone_names: list[str] = []
        self._zone_changes = -1
        self._neighbour_names: list[str] = []
        self._neighbour_changes = -1
        self._pushing = False
        self._turns = 0
        self._used_at: dict[str, float] = {}
        self._asking: set[str] = set()
        self._revision: Callable[[], tuple[int, str]] = lambda: (0, "")
        self._on_revision: Callable[[int, str, str], None] = (
            lambda revision, digest, peer: None
        )
        self._announce(own)

    def start(self) -> None:
        """Begins the heartbeats."""
        timers = self._deps.timers
        timers.every(HEARTBEAT_INTERVAL_S, self._beat)
        timers.every(INTEREST_INTERVAL_S, self._ask_upstreams)

    def follow_revisions(
        self,
        current: Callable[[], tuple[int, str]],
        on_seen: Callable[[int, str, str], None],
    ) -> None:
        """Connects the configuration.

        Args:
            current: returns the revision and digest in force here.
            on_seen: told revision, digest and peer address of a peer.
        """
        self._revision = current
        self._on_revision = on_seen

    def use_service(self, service: str) -> None:
        """Notes that this node calls `service` now."""
        self._used_at[service] = self._deps.timers.now()

    def update_own(self, **fields: object) -> None:
        """Changes this node's record and spreads it."""
        changed = self.table.update_own(self._deps.timers.now(), **fields)
        self._announce(changed)

    def leave(self) -> None:
        """Tells the neighbours at once that this node leaves."""
        self.update_own(state=_table.MemberState.LEFT)
        self.push_neighbours()

    def push(self, names: list[str]) -> None:
        """Sends a heartbeat to each of `names` without waiting."""
        for name in names:
            gevent.spawn(self._heartbeat, name)

    def push_neighbours(self) -> None:
        """Sends a heartbeat to each neighbour without waiting."""
        self.push(self._neighbours())

    def contact(self, address: str) -> bool:
        """Asks the node at a peer address for all members.

        Returns:
            Whether it answered.
        """
        ping = self.make_ping()
        ping["join"] = True
        return self._ask(address, ping)

    def make_ping(self) -> peers.PingMessage:
        """Returns a heartbeat with the changes that are due."""
        revision, digest = self._revision()
        return {
            "id": self._deps.next_id(),
            "load": self._deps.loads.own_report(),
            "rev": revision,
            "digest": digest,
            "members": self._due_records(),
            "sum": self.table.checksum,
        }

    def make_pong(self, ping: peers.PingMessage) -> peers.PingMessage:
        """Takes in a heartbeat and returns its answer."""
        self.handle_ping(ping)
        pong = self.make_ping()
        pong["id"] = ping["id"]
        if ping.get("join"):
            pong["members"] = self._all_records()
        return pong

    def handle_ping(self, ping: peers.PingMessage) -> None:
        """Takes in what a heartbeat or its answer carries."""
        self._deps.loads.record(ping["load"])
        for message in ping["members"]:
            self.merge_message(message)
        sender = self.table.get(ping["load"]["name"])
        if sender is None:
            return
        self._on_revision(ping["rev"], ping["digest"], sender.peer)
        if sender.incarnation == ping["load"]["inc"]:
            self._heard(sender)

    def merge_message(self, message: peers.MemberMessage) -> None:
        """Takes in one member record."""
        now = self._deps.timers.now()
        try:
            report = _table.from_message(message, now)
        except ValueError:
            return
        if not self.table.merge(report):
            return
        changed = self.table.get(report.name)
        if changed is not None:
            self._announce(changed)

    def is_among_first_of_zone(self, count: int) -> bool:
        """Returns whether this node has a role that few of a zone take.

        The first `count` alive members by name have it, by this node's own
        view; for a while more or fewer may believe that they do.
        """
        if self._zone_changes != self.table.changes:
            own = self.table.own
            self._zone_changes = self.table.changes
            self._zone_names = sorted(
                each.name
                for each in self.table.all()
                if each.zone == own.zone
                and each.state is _table.MemberState.ALIVE
            )
        return self.table.own.name in self._zone_names[:count]

    def report_lost(self, name: str) -> None:
        """Takes note that a call found a member silent or unreachable."""
        member = self.table.get(name)
        if member is None or member.state is not _table.MemberState.ALIVE:
            return
        gevent.spawn(self._heartbeat, name)

    def _heard(self, member: _table.Member) -> None:
        """A member that speaks is alive, whatever others say."""
        if member.state in (
            _table.MemberState.SUSPECT,
            _table.MemberState.DEAD,
        ):
            self._set_state(member, _table.MemberState.ALIVE, 1)

    def _set_state(
        self, member: _table.Member, state: _table.MemberState, raise_by: int
    ) -> None:
        changed = member._replace(
            state=state,
            version=member.version + raise_by,
            changed_at=self._deps.timers.now(),
        )
        if self.table.merge(changed):
            self._announce(changed)

    def _announce(self, member: _table.Member) -> None:
        """Queues a change for the next heartbeats."""
        size = len(self._resend) + 2
        size = max(size, sum(1 for _ in self.table.all()) + 1)
        self._resend[member.name] = RESEND_FACTOR * math.ceil(math.log2(size))
        self._push_soon()
        self._deps.counters.add(MEMBER_CHANGES, str(member.state))
        telemetry.event(
            _LOGGER,
            "member.changed",
            peer=member.name,
            state=member.state,
            incarnation=member.incarnation,
            service=member.service,
        )

    def _all_records(self) -> list[peers.MemberMessage]:
        return [each.to_message() for each in self.table.all()]

    def _due_records(self) -> list[peers.MemberMessage]:
        """Returns the changes to pass on, those sent least often first."""
        names = sorted(self._resend, key=lambda name: -self._resend[name])
        records: list[peers.MemberMessage] = []
        for name in names[:MAX_RECORDS]:
            member = self.table.get(name)
            self._resend[name] -= 1
            if self._resend[name] <= 0 or member is None:
                del self._resend[name]
            if member is not None:
                records.append(member.to_message())
        return records

    def _beat(self) -> None:
        """Sends the heartbeat of this turn and ends old suspicions."""
        self._turns += 1
        self._end_suspicions()
        self.table.forget_old(self._deps.timers.now())
        self._deps.links.close_idle()
        if self._turns % REVIVE_EVERY == 0:
            gone = self.table.names_in(_table.MemberState.DEAD)
            if gone:
                gevent.spawn(self._heartbeat, self._deps.rng.choice(gone))
        name = self._next_in_turn()
        if name is not None:
            gevent.spawn(self._heartbeat, name)

    def _next_in_turn(self) -> str | None:
        """Returns the neighbour whose turn it is, now and then anyone."""
        if self._turns % MIX_EVERY == 0:
            names = self._alive_names()
            return self._deps.rng.choice(names) if names else None
        names = self._neighbours()
        return names[self._turns % len(names)] if names else None

    def _neighbours(self) -> list[str]:
        """Returns the members that this node keeps links with.

        All nodes order the members by a hash of their names, in a circle. The
        neighbours stand 1, 2, 4, 8 ... places behind this node, so there are
        as many as the logarithm of the fleet, and what each passes on to its
        neighbours reaches everyone in as many steps.
        """
        if self._neighbour_changes == self.table.changes:
            return self._neighbour_names
        own = self.table.own.name
        circle = sorted([own, *self._alive_names()], key=_place)
        place = circle.index(own)
        found: list[str] = []
        step = 1
        while step < len(circle):
            found.append(circle[(place + step) % len(circle)])
            step *= 2
        self._neighbour_changes = self.table.changes
        self._neighbour_names = found
        return found

    def _push_soon(self) -> None:
        """Passes changes on to the neighbours, several at once."""
        if self._pushing:
            return
        self._pushing = True
        gevent.spawn_later(PUSH_DELAY_S, self._push_now)

    def _push_now(self) -> None:
        self._pushing = False
        self.push_neighbours()

    def _is_contactable(self, name: str) -> bool:
        member = self.table.get(name)
        return member is not None and member.is_present()

    def _alive_names(self) -> list[str]:
        """Returns alive and suspected members, this node left out."""
        own = self.table.own.name
        return [
            each.name
            for each in self.table.all()
            if each.name != own and self._is_contactable(each.name)
        ]

    def _end_suspicions(self) -> None:
        now = self._deps.timers.now()
        for name in self.table.names_in(_table.MemberState.SUSPECT):
            member = self.table.get(name)
            if member is None or now - member.changed_at < SUSPICION_S:
                continue
            self._set_state(member, _table.MemberState.DEAD, 0)
            self._deps.loads.forget(name)

    def _ask_upstreams(self) -> None:
        """Asks silent upstreams of services in use for a report."""
        now = self._deps.timers.now()
        for service, used_at in list(self._used_at.items()):
            if now - used_at > INTEREST_S:
                del self._used_at[service]
                continue
            for member in self.table.of_service(service):
                if member.name in self._asking:
                    continue
                if not self._is_contactable(member.name):
                    continue
                if self._deps.loads.age_s(member.name) < REPORT_AGE_S:
                    continue
                gevent.spawn(self._heartbeat, member.name)

    def _heartbeat(self, name: str) -> None:
        """Sends one heartbeat; without an answer the member is suspected."""
        member = self.table.get(name)
        if member is None or name == self.table.own.name:
            return
        self._asking.add(name)
        try:
            answered = self._ask(member.peer, self.make_ping())
        finally:
            self._asking.discard(name)
        if answered:
            return
        current = self.table.get(name)
        if current is None or current.incarnation != member.incarnation:
            return
        if current.state is _table.MemberState.ALIVE:
            self._set_state(current, _table.MemberState.SUSPECT, 0)

    def _ask(self, address: str, ping: peers.PingMessage) -> bool:
        link = self._deps.links.to(address)
        try:
            answer = link.request(
                peers.MessageType.PING, ping, b"", HEARTBEAT_TIMEOUT_S
            )
        except errors.FlamingolugError:
            self._deps.counters.add(HEARTBEATS, "lost")
            return False
        self._deps.counters.add(HEARTBEATS, "answered")
        pong = cast(peers.PingMessage, answer.message)
        self.handle_ping(pong)
        if self._has_missed_changes(ping, pong):
            gevent.spawn(self._exchange_tables, address)
        return True

    def _has_missed_changes(
        self, ping: peers.PingMessage, pong: peers.PingMessage
    ) -> bool:
        """Returns whether tables differ though no change is on its way.

        Changes are passed on a limited number of times, so a few nodes may
        miss one.
        """
        if ping.get("join") or pong["members"] or self._resend:
            return False
        return pong["sum"] != self.table.checksum

    def _exchange_tables(self, address: str) -> None:
        """Sends and asks for all members."""
        self._deps.counters.add(TABLE_EXCHANGES)
        ping = self.make_ping()
        ping["members"] = self._all_records()
        ping["join"] = True
        self._ask(address, ping)


def _place(name: str) -> bytes:
    """Returns a member's place in the circle that all nodes agree on."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
