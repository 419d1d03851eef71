"""Table of members and the rule by which reports replace each other."""

import enum
import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from flamingolug import ownership
from flamingolug import peers

#: Seconds that a dead or departed member is remembered.
FORGET_S = 7_200.0


class MemberState(enum.StrEnum):
    """State of a member as gossip knows it."""

    ALIVE = "alive"
    #: A heartbeat failed; the member may refute it.
    SUSPECT = "suspect"
    #: It did not refute the suspicion in time.
    DEAD = "dead"
    #: It said itself that it leaves.
    LEFT = "left"


_ORDER = {state: index for index, state in enumerate(MemberState)}


class Member(NamedTuple):
    """One node."""

    name: str
    #: Number of this run of the node; a later run has a higher one.
    incarnation: int
    zone: str
    region: str
    http: str
    peer: str
    #: Service of the backend server beside it, empty for none yet.
    service: str
    state: MemberState
    #: Orders reports about one incarnation.
    version: int
    #: Whether it may own keys; a node that has just started holds its votes.
    owns_keys: bool = False
    #: Monotonic seconds of this process when the record changed here.
    changed_at: float = 0.0

    def incarnation_id(self) -> str:
        """Returns how views of key owners name this run of the node."""
        return ownership.make_incarnation_id(self.name, self.incarnation)

    def is_present(self) -> bool:
        """Returns whether it is not known to be gone."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def checksum(self) -> int:
        """Returns a number that changes with each report, 0 when gone."""
        if not self.is_present():
            return 0
        text = f"{self.name}/{self.incarnation}/{self.version}/{self.state}"
        digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
        return int.from_bytes(digest, "big")

    def to_message(self) -> peers.MemberMessage:
        """Returns the form that travels between nodes."""
        return {
            "name": self.name,
            "inc": self.incarnation,
            "zone": self.zone,
            "region": self.region,
            "http": self.http,
            "peer": self.peer,
            "service": self.service,
            "state": str(self.state),
            "ver": self.version,
            "own": self.owns_keys,
        }


def from_message(message: peers.MemberMessage, now: float) -> Member:
    """Returns the member that a message describes.

    Raises:
        ValueError: the state is unknown.
    """
    return Member(
        name=message["name"],
        incarnation=message["inc"],
        zone=message["zone"],
        region=message["region"],
        http=message["http"],
        peer=message["peer"],
        service=message["service"],
        state=MemberState(message["state"]),
        version=message["ver"],
        owns_keys=message["own"],
        changed_at=now,
    )


def replaces(newer: Member, older: Member) -> bool:
    """Returns whether a report takes the place of another.

    A later incarnation wins, then a higher version, then the worse state.
    """
    if newer.incarnation != older.incarnation:
        return newer.incarnation > older.incarnation
    if newer.version != older.version:
        return newer.version > older.version
    return _ORDER[newer.state] > _ORDER[older.state]


class MemberTable:
    """All members known, this node included."""

    def __init__(self, own: Member) -> None:
        """Starts with this node alone."""
        self._members = {own.name: own}
        self._own_name = own.name
        #: Exclusive or of the members' checksums: equal tables, equal sums.
        self.checksum = own.checksum()
        #: Counts the changes, so that others can tell whether to look again.
        self.changes = 0
        self._by_service: dict[str, dict[str, Member]] = {}
        self._by_state: dict[MemberState, set[str]] = {
            state: set() for state in MemberState
        }
        self._index(own)

    @property
    def own(self) -> Member:
        """This node's record."""
        return self._members[self._own_name]

    def get(self, name: str) -> Member | None:
        """Returns a member by name."""
        return self._members.get(name)

    def by_incarnation_id(self, incarnation_id: str) -> Member | None:
        """Returns the member that is this very run of its node."""
        member = self._members.get(ownership.name_of(incarnation_id))
        if member is None or member.incarnation_id() != incarnation_id:
            return None
        return member

    def all(self) -> Iterable[Member]:
        """Returns every member, in no order."""
        return self._members.values()

    def of_service(self, service: str) -> list[Member]:
        """Returns members beside backend servers of `service`, by name."""
        return sorted(self._by_service.get(service, {}).values())

    def names_in(self, state: MemberState) -> list[str]:
        """Returns the names of the members in a state."""
        return list(self._by_state[state])

    def merge(self, report: Member) -> bool:
        """Takes in a report; returns whether it changed the table.

        A report that this node is not alive is refuted: the own record gets
        a higher version, which then counts as the change.
        """
        if report.name == self._own_name:
            return self._refute(report)
        known = self._members.get(report.name)
        if known is not None and not replaces(report, known):
            return False
        self._put(report)
        return True

    def update_own(self, now: float, **fields: object) -> Member:
        """Changes this node's record and raises its version."""
        own = self.own
        changed = own._replace(
            version=own.version + 1,
            changed_at=now,
            **fields,  # type: ignore[arg-type]
        )
        self._put(changed)
        return changed

    def forget_old(self, now: float) -> None:
        """Drops members that have been gone for long."""
        for state in (MemberState.DEAD, MemberState.LEFT):
            for name in self.names_in(state):
                if now - self._members[name].changed_at > FORGET_S:
                    self._drop(name)

    def _refute(self, report: Member) -> bool:
        own = self.own
        if report.incarnation != own.incarnation:
            return False
        if report.version < own.version:
            return False
        if report.state == own.state and report.version == own.version:
            return False
        self._put(own._replace(version=report.version + 1))
        return True

    def _put(self, member: Member) -> None:
        """Stores a record and keeps the checksum."""
        self._drop(member.name)
        self._members[member.name] = member
        self.checksum ^= member.checksum()
        self._index(member)

    def _index(self, member: Member) -> None:
        """Enters a record in the indexes: a call must not look at all."""
        self._by_service.setdefault(member.service, {})[member.name] = member
        self._by_state[member.state].add(member.name)
        self.changes += 1

    def _drop(self, name: str) -> None:
        """Takes out a record, if there is one."""
        known = self._members.pop(name, None)
        if known is None:
            return
        self.checksum ^= known.checksum()
        del self._by_service[known.service][name]
        self._by_state[known.state].discard(name)
        self.changes += 1
