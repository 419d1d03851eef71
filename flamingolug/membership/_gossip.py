"""Heartbeats among nodes that carry members, loads and the revision.

Each node sends one heartbeat a second to one member, taken in turn from a
shuffled list, and besides to those upstreams of the services it calls that
have not reported of themselves lately. Changes of members ride on heartbeats
a number of times that grows with the logarithm of the fleet.
"""

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
INTEREST_S = 10.0
HEARTBEAT_TIMEOUT_S = 1.2
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


class Needs(NamedTuple):
    """What membership works with."""

    links: peers.Links
    loads: _loads.LoadBoard
    timers: timing.Timers
    counters: telemetry.Counters
    next_id: Callable[[], int]
    rng: random.Random


class Membership:
    """This node's view of the fleet."""

    def __init__(self, own: _table.Member, needs: Needs) -> None:
        """Starts with this node alone."""
        needs.counters.declare(
            MEMBER_CHANGES, "Changes of members, by new state", "state"
        )
        needs.counters.declare(
            HEARTBEATS, "Heartbeats sent, by result", "result"
        )
        needs.counters.declare(
            TABLE_EXCHANGES, "Exchanges of all members after a missed change"
        )
        self.table = _table.MemberTable(own)
        self._needs = needs
        self._resend: dict[str, int] = {}
        self._round: list[str] = []
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
        timers = self._needs.timers
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
        self._used_at[service] = self._needs.timers.now()

    def update_own(self, **fields: object) -> None:
        """Changes this node's record and spreads it."""
        changed = self.table.update_own(self._needs.timers.now(), **fields)
        self._announce(changed)

    def leave(self) -> None:
        """Tells some members at once that this node leaves."""
        self.update_own(state=_table.MemberState.LEFT)
        self.push(self._alive_names())

    def push(self, names: list[str]) -> None:
        """Sends a heartbeat to each of `names` without waiting."""
        for name in names:
            gevent.spawn(self._heartbeat, name)

    def push_some(self, count: int) -> None:
        """Sends a heartbeat to some random members without waiting."""
        names = self._alive_names()
        self._needs.rng.shuffle(names)
        self.push(names[:count])

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
            "id": self._needs.next_id(),
            "load": self._needs.loads.own_report(),
            "rev": revision,
            "digest": digest,
            "members": self._due_records(),
            "sum": self.table.checksum,
        }

    def make_pong(self, ping: peers.PingMessage) -> peers.PingMessage:
        """Takes in a heartbeat and returns its answer."""
        self.take_in(ping)
        pong = self.make_ping()
        pong["id"] = ping["id"]
        if ping.get("join"):
            pong["members"] = self._all_records()
        return pong

    def take_in(self, ping: peers.PingMessage) -> None:
        """Takes in what a heartbeat or its answer carries."""
        self._needs.loads.record(ping["load"])
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
        now = self._needs.timers.now()
        try:
            report = _table.from_message(message, now)
        except ValueError:
            return
        if not self.table.merge(report):
            return
        changed = self.table.get(report.name)
        if changed is not None:
            self._announce(changed)

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
            changed_at=self._needs.timers.now(),
        )
        if self.table.merge(changed):
            self._announce(changed)

    def _announce(self, member: _table.Member) -> None:
        """Queues a change for the next heartbeats."""
        size = len(self._resend) + 2
        size = max(size, sum(1 for _ in self.table.all()) + 1)
        self._resend[member.name] = RESEND_FACTOR * math.ceil(math.log2(size))
        self._needs.counters.add(MEMBER_CHANGES, str(member.state))
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
        self.table.forget_old(self._needs.timers.now())
        self._needs.links.close_idle()
        if self._turns % REVIVE_EVERY == 0:
            gone = self._names_in(_table.MemberState.DEAD)
            if gone:
                gevent.spawn(self._heartbeat, self._needs.rng.choice(gone))
        name = self._next_in_round()
        if name is not None:
            gevent.spawn(self._heartbeat, name)

    def _next_in_round(self) -> str | None:
        while True:
            if not self._round:
                self._round = self._alive_names()
                self._needs.rng.shuffle(self._round)
            if not self._round:
                return None
            name = self._round.pop()
            if self._is_contactable(name):
                return name

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

    def _names_in(self, state: _table.MemberState) -> list[str]:
        return [each.name for each in self.table.all() if each.state == state]

    def _end_suspicions(self) -> None:
        now = self._needs.timers.now()
        for name in self._names_in(_table.MemberState.SUSPECT):
            member = self.table.get(name)
            if member is None or now - member.changed_at < SUSPICION_S:
                continue
            self._set_state(member, _table.MemberState.DEAD, 0)
            self._needs.loads.forget(name)

    def _ask_upstreams(self) -> None:
        """Asks silent upstreams of services in use for a report."""
        now = self._needs.timers.now()
        for service, used_at in list(self._used_at.items()):
            if now - used_at > INTEREST_S:
                del self._used_at[service]
                continue
            for member in self.table.of_service(service):
                if member.name in self._asking:
                    continue
                if not self._is_contactable(member.name):
                    continue
                if self._needs.loads.age_s(member.name) < REPORT_AGE_S:
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
        link = self._needs.links.to(address)
        try:
            answer = link.request(
                peers.MessageType.PING, ping, b"", HEARTBEAT_TIMEOUT_S
            )
        except errors.FlamingolugError:
            self._needs.counters.add(HEARTBEATS, "lost")
            return False
        self._needs.counters.add(HEARTBEATS, "answered")
        pong = cast(peers.PingMessage, answer.message)
        self.take_in(pong)
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
        self._needs.counters.add(TABLE_EXCHANGES)
        ping = self.make_ping()
        ping["members"] = self._all_records()
        ping["join"] = True
        self._ask(address, ping)
