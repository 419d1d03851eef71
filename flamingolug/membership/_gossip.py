"""Heartbeats that carry member records, load reports and manifest revisions.

Each node sends one heartbeat a second to one of its neighbours in turn. It also
sends heartbeats to the nodes beside upstreams of the services that it calls if
their latest load report is old. The number of neighbours grows only with the
logarithm of the fleet size, so that each of them is contacted often enough for
its link to stay open, and a heartbeat needs no handshake. A change of members
is sent to all neighbours out of turn and repeated on later heartbeats.
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
#: Seconds between two regular heartbeats.
HEARTBEAT_INTERVAL_S = 1.0
#: Seconds between two checks of the load reports of nodes beside upstreams in
#: use.
REPORT_CHECK_INTERVAL_S = 0.25
#: Age in seconds from which a load report is refreshed by a heartbeat.
REFRESH_AGE_S = 0.6
#: Seconds for which a service counts as in use after its last call.
IN_USE_S = 2.0
#: Seconds to wait for the answer to a heartbeat.
HEARTBEAT_TIMEOUT_S = 1.2
#: Once in this many rounds, the regular heartbeat goes to a random alive or
#: suspected member instead of a neighbour, so that nodes whose tables differ
#: find each other whatever the order of the members on the ring of
#: `_neighbours`.
RANDOM_HEARTBEAT_ROUNDS = 10
#: Seconds for which changes are batched before they are sent to neighbours.
BATCH_DELAY_S = 0.1
#: Seconds within which a suspected member must refute the suspicion.
SUSPICION_TIMEOUT_S = 3.0
#: Once in this many rounds, an additional heartbeat goes to a random dead
#: member, which is alive again if it answers. The parts of a partitioned fleet,
#: which regard each other's members as dead, find each other in this way.
DEAD_HEARTBEAT_ROUNDS = 10
#: Maximum number of changed member records in one heartbeat.
MAX_RECORDS = 16
#: A change is sent `RESEND_FACTOR` * log2(fleet size) times.
RESEND_FACTOR = 2
MEMBER_CHANGES = "flamingolug.membership.changes"
TABLE_EXCHANGES = "flamingolug.membership.table-exchanges"
HEARTBEATS = "flamingolug.membership.heartbeats"


class Dependencies(NamedTuple):
    """Dependencies of `Membership`."""

    links: peers.Links
    loads: _loads.PeerLoads
    timers: timing.Timers
    counters: telemetry.Counters
    next_id: Callable[[], int]
    rng: random.Random


class Membership:
    """Keeps the member table of the fleet up to date by gossip."""

    def __init__(self, own: _table.Member, deps: Dependencies) -> None:
        """Starts with only this node in the table."""
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
        #: How often each queued change is still to be sent, by member name.
        self._remaining_sends: dict[str, int] = {}
        #: Cached names, each with the `change_count` of the table for which
        #: they are valid.
        self._zone_names: list[str] = []
        self._zone_names_change_count = -1
        self._neighbour_names: list[str] = []
        self._neighbour_names_change_count = -1
        self._batch_scheduled = False
        self._round = 0
        #: Monotonic seconds of the last call, by service.
        self._last_call_at: dict[str, float] = {}
        #: Names of the members to which a heartbeat is in flight.
        self._awaiting_answer: set[str] = set()
        self._active_revision: Callable[[], tuple[int, str]] = lambda: (0, "")
        self._on_peer_revision: Callable[[int, str, str], None] = (
            lambda revision, digest, peer: None
        )
        self._queue_change(own)

    def start(self) -> None:
        """Starts the heartbeats."""
        timers = self._deps.timers
        timers.every(HEARTBEAT_INTERVAL_S, self._run_heartbeat_round)
        timers.every(REPORT_CHECK_INTERVAL_S, self._refresh_reports)

    def set_revision_callbacks(
        self,
        current: Callable[[], tuple[int, str]],
        on_received: Callable[[int, str, str], None],
    ) -> None:
        """Sets the callbacks that exchange manifest revisions with peers.

        Args:
            current: returns revision and digest of this node's active manifest.
            on_received: called with the revision and digest of a peer's active
                manifest and the address of the peer.
        """
        self._active_revision = current
        self._on_peer_revision = on_received

    def record_call(self, service: str) -> None:
        """Records that this node calls `service` now."""
        self._last_call_at[service] = self._deps.timers.now()

    def update_own(self, **fields: object) -> None:
        """Changes this node's record and queues it for the next heartbeats."""
        changed = self.table.update_own(self._deps.timers.now(), **fields)
        self._queue_change(changed)

    def leave(self) -> None:
        """Marks this node as left and notifies the neighbours at once."""
        self.update_own(state=_table.MemberState.LEFT)
        self.send_to_neighbours()

    def send_heartbeats(self, names: list[str]) -> None:
        """Sends a heartbeat to each of `names` without waiting."""
        for name in names:
            gevent.spawn(self._send_heartbeat, name)

    def send_to_neighbours(self) -> None:
        """Sends a heartbeat to each neighbour without waiting."""
        self.send_heartbeats(self._neighbours())

    def request_members(self, address: str) -> bool:
        """Requests the records of all members from the node at `address`.

        Returns:
            Whether the node answered.
        """
        ping = self.make_ping()
        ping["join"] = True
        return self._exchange_heartbeat(address, ping)

    def make_ping(self) -> peers.PingMessage:
        """Returns a heartbeat with the next queued changes.

        Each of these changes counts as sent, and is removed from the queue once
        it has been sent often enough.
        """
        revision, digest = self._active_revision()
        return {
            "id": self._deps.next_id(),
            "load": self._deps.loads.own_report(),
            "rev": revision,
            "digest": digest,
            "members": self._take_due_records(),
            "sum": self.table.checksum,
        }

    def make_pong(self, ping: peers.PingMessage) -> peers.PingMessage:
        """Processes a heartbeat and returns the answer to it."""
        self.handle_ping(ping)
        pong = self.make_ping()
        pong["id"] = ping["id"]
        if ping.get("join"):
            pong["members"] = self._all_records()
        return pong

    def handle_ping(self, ping: peers.PingMessage) -> None:
        """Processes the content of a heartbeat or of an answer to one."""
        self._deps.loads.record(ping["load"])
        for message in ping["members"]:
            self.merge_message(message)
        sender = self.table.get(ping["load"]["name"])
        if sender is None:
            return
        self._on_peer_revision(ping["rev"], ping["digest"], sender.peer)
        if sender.incarnation == ping["load"]["inc"]:
            self._mark_alive(sender)

    def merge_message(self, message: peers.MemberMessage) -> None:
        """Merges one member record into the table."""
        now = self._deps.timers.now()
        try:
            record = _table.from_message(message, now)
        except ValueError:
            # The state is not one that this version of the program defines.
            return
        if not self.table.merge(record):
            return
        changed = self.table.get(record.name)
        if changed is not None:
            self._queue_change(changed)

    def has_zone_role(self, count: int) -> bool:
        """Returns whether this node is among the first `count` of its zone.

        A task that only `count` nodes of each zone have to perform runs on
        these. The alive members in this node's table are ordered by name.
        Tables can differ for a while, so the result may be true on more or
        fewer than `count` nodes.
        """
        if self._zone_names_change_count != self.table.change_count:
            own = self.table.own
            self._zone_names_change_count = self.table.change_count
            self._zone_names = sorted(
                each.name
                for each in self.table.all()
                if each.zone == own.zone
                and each.state is _table.MemberState.ALIVE
            )
        return self.table.own.name in self._zone_names[:count]

    def probe_member(self, name: str) -> None:
        """Probes an alive member that did not answer or receive a call."""
        member = self.table.get(name)
        if member is None or member.state is not _table.MemberState.ALIVE:
            return
        gevent.spawn(self._send_heartbeat, name)

    def _mark_alive(self, member: _table.Member) -> None:
        """Marks the sender of a heartbeat alive, whatever peers reported."""
        if member.state in (
            _table.MemberState.SUSPECT,
            _table.MemberState.DEAD,
        ):
            self._set_state(member, _table.MemberState.ALIVE, 1)

    def _set_state(
        self,
        member: _table.Member,
        state: _table.MemberState,
        version_increment: int,
    ) -> None:
        """Changes the state of a member's record and queues the change.

        Args:
            member: the current record.
            state: the new state.
            version_increment: 0 if `MemberState` lists `state` after the
                current state, otherwise 1, so that the new record takes
                precedence over the current one.
        """
        changed = member._replace(
            state=state,
            version=member.version + version_increment,
            changed_at=self._deps.timers.now(),
        )
        if self.table.merge(changed):
            self._queue_change(changed)

    def _queue_change(self, member: _table.Member) -> None:
        """Queues a change for the next heartbeats, counts it and logs it."""
        # Queued changes may concern more members than the table contains. The
        # size is at least 2, so that its logarithm is not 0.
        size = len(self._remaining_sends) + 2
        size = max(size, sum(1 for _ in self.table.all()) + 1)
        self._remaining_sends[member.name] = RESEND_FACTOR * math.ceil(
            math.log2(size)
        )
        self._schedule_batch()
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

    def _take_due_records(self) -> list[peers.MemberMessage]:
        """Returns the next changes to send and counts them as sent.

        The least often sent changes come first.
        """
        names = sorted(
            self._remaining_sends, key=lambda name: -self._remaining_sends[name]
        )
        records: list[peers.MemberMessage] = []
        for name in names[:MAX_RECORDS]:
            member = self.table.get(name)
            self._remaining_sends[name] -= 1
            if self._remaining_sends[name] <= 0 or member is None:
                del self._remaining_sends[name]
            if member is not None:
                records.append(member.to_message())
        return records

    def _run_heartbeat_round(self) -> None:
        """Removes outdated state and sends the regular heartbeat."""
        self._round += 1
        self._expire_suspicions()
        self.table.remove_expired(self._deps.timers.now())
        self._deps.links.close_idle()
        if self._round % DEAD_HEARTBEAT_ROUNDS == 0:
            dead = self.table.names_in(_table.MemberState.DEAD)
            if dead:
                gevent.spawn(self._send_heartbeat, self._deps.rng.choice(dead))
        name = self._next_target()
        if name is not None:
            gevent.spawn(self._send_heartbeat, name)

    def _next_target(self) -> str | None:
        """Returns the next neighbour in turn, or periodically a random member.

        Returns None if no other member can be contacted.
        """
        if self._round % RANDOM_HEARTBEAT_ROUNDS == 0:
            names = self._present_names()
            return self._deps.rng.choice(names) if names else None
        names = self._neighbours()
        return names[self._round % len(names)] if names else None

    def _neighbours(self) -> list[str]:
        """Returns the names of the neighbours of this node.

        All nodes order the members on a ring by a hash of their names. The
        neighbours are 1, 2, 4, 8 ... positions after this node. Their number is
        the logarithm of the fleet size, and a change that each node sends on to
        its neighbours reaches all nodes in as many steps.
        """
        if self._neighbour_names_change_count == self.table.change_count:
            return self._neighbour_names
        own = self.table.own.name
        ring = sorted([own, *self._present_names()], key=_ring_position)
        position = ring.index(own)
        names: list[str] = []
        step = 1
        while step < len(ring):
            names.append(ring[(position + step) % len(ring)])
            step *= 2
        self._neighbour_names_change_count = self.table.change_count
        self._neighbour_names = names
        return names

    def _schedule_batch(self) -> None:
        """Schedules one heartbeat to each neighbour for a batch of changes."""
        if self._batch_scheduled:
            return
        self._batch_scheduled = True
        gevent.spawn_later(BATCH_DELAY_S, self._send_batch)

    def _send_batch(self) -> None:
        self._batch_scheduled = False
        self.send_to_neighbours()

    def _is_present(self, name: str) -> bool:
        member = self.table.get(name)
        return member is not None and member.is_present()

    def _present_names(self) -> list[str]:
        """Returns the names of alive and suspected members except this node."""
        own = self.table.own.name
        return [
            each.name
            for each in self.table.all()
            if each.name != own and self._is_present(each.name)
        ]

    def _expire_suspicions(self) -> None:
        now = self._deps.timers.now()
        for name in self.table.names_in(_table.MemberState.SUSPECT):
            member = self.table.get(name)
            if member is None or now - member.changed_at < SUSPICION_TIMEOUT_S:
                continue
            self._set_state(member, _table.MemberState.DEAD, 0)
            self._deps.loads.remove(name)

    def _refresh_reports(self) -> None:
        """Sends heartbeats to nodes of services in use, if their report is old.

        The answers contain newer load reports.
        """
        now = self._deps.timers.now()
        for service, last_call_at in list(self._last_call_at.items()):
            if now - last_call_at > IN_USE_S:
                del self._last_call_at[service]
                continue
            for member in self.table.of_service(service):
                if member.name in self._awaiting_answer:
                    continue
                if not self._is_present(member.name):
                    continue
                if self._deps.loads.report_age_s(member.name) < REFRESH_AGE_S:
                    continue
                gevent.spawn(self._send_heartbeat, member.name)

    def _send_heartbeat(self, name: str) -> None:
        """Sends one heartbeat and suspects the member if it does not answer."""
        member = self.table.get(name)
        if member is None or name == self.table.own.name:
            return
        self._awaiting_answer.add(name)
        try:
            answered = self._exchange_heartbeat(member.peer, self.make_ping())
        finally:
            self._awaiting_answer.discard(name)
        if answered:
            return
        current = self.table.get(name)
        if current is None or current.incarnation != member.incarnation:
            return
        if current.state is _table.MemberState.ALIVE:
            self._set_state(current, _table.MemberState.SUSPECT, 0)

    def _exchange_heartbeat(
        self, address: str, ping: peers.PingMessage
    ) -> bool:
        link = self._deps.links.link_to(address)
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
        """Returns whether tables differ although no changes are queued.

        Each change is sent a limited number of times, so a few nodes may miss
        it.
        """
        if ping.get("join") or pong["members"] or self._remaining_sends:
            return False
        return pong["sum"] != self.table.checksum

    def _exchange_tables(self, address: str) -> None:
        """Sends the records of all members and requests those of the peer."""
        self._deps.counters.add(TABLE_EXCHANGES)
        ping = self.make_ping()
        ping["members"] = self._all_records()
        ping["join"] = True
        self._exchange_heartbeat(address, ping)


def _ring_position(name: str) -> bytes:
    """Returns the position of a member on the ring, equal on all nodes."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
