"""Table of members and the order of precedence among member records."""

import enum
import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from flamingolug import ownership
from flamingolug import peers

#: Seconds for which the record of a dead or left member is kept.
GONE_MEMBER_RETENTION_S = 7_200.0


class MemberState(enum.StrEnum):
    """State of a member in the gossip protocol."""

    ALIVE = "alive"
    #: A heartbeat failed; the member may refute the suspicion.
    SUSPECT = "suspect"
    #: The member did not refute the suspicion in time.
    DEAD = "dead"
    #: The member announced that it leaves the fleet.
    LEFT = "left"


_ORDER = {state: index for index, state in enumerate(MemberState)}


class Member(NamedTuple):
    """Record of one node."""

    name: str
    #: Increases with each start of the node.
    incarnation: int
    zone: str
    region: str
    #: Address of the node's HTTP listener.
    http: str
    #: Address of the node's endpoint for peers.
    peer: str
    #: Service of the backend server beside the node; empty if there is none.
    service: str
    state: MemberState
    #: Orders the records of one incarnation.
    version: int
    #: Whether the node may own keys; false until its vote hold after the start
    #: has ended.
    may_own_keys: bool = False
    #: When the record last changed here, in monotonic seconds of this process.
    changed_at: float = 0.0

    def incarnation_id(self) -> str:
        """Returns the incarnation identifier that ownership views use."""
        return ownership.make_incarnation_id(self.name, self.incarnation)

    def is_present(self) -> bool:
        """Returns whether the member is alive or suspected."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def checksum(self) -> int:
        """Returns a hash of the record, 0 if the member is dead or left.

        It covers name, incarnation, version and state.
        """
        if not self.is_present():
            return 0
        text = f"{self.name}/{self.incarnation}/{self.version}/{self.state}"
        digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
        return int.from_bytes(digest, "big")

    def to_message(self) -> peers.MemberMessage:
        """Returns the record as it is sent to peers."""
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
            "own": self.may_own_keys,
        }


def from_message(message: peers.MemberMessage, now: float) -> Member:
    """Returns the record in a message, with `changed_at` set to `now`.

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
        may_own_keys=message["own"],
        changed_at=now,
    )


def replaces(candidate: Member, current: Member) -> bool:
    """Returns whether a record takes precedence over the current one.

    A later incarnation takes precedence, then a higher version, then the state
    that `MemberState` lists later.
    """
    if candidate.incarnation != current.incarnation:
        return candidate.incarnation > current.incarnation
    if candidate.version != current.version:
        return candidate.version > current.version
    return _ORDER[candidate.state] > _ORDER[current.state]


class MemberTable:
    """Records of all members, including this node."""

    def __init__(self, own: Member) -> None:
        """Starts with only this node."""
        self._members = {own.name: own}
        self._own_name = own.name
        #: Exclusive or of the checksums of all records; equal tables have equal
        #: checksums.
        self.checksum = own.checksum()
        #: Increases with each change; values derived from the table are valid
        #: while it stays the same.
        self.change_count = 0
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
        """Returns a member by name, None if there is none."""
        return self._members.get(name)

    def by_incarnation_id(self, incarnation_id: str) -> Member | None:
        """Returns a member if its current incarnation has this identifier."""
        member = self._members.get(ownership.name_of(incarnation_id))
        if member is None or member.incarnation_id() != incarnation_id:
            return None
        return member

    def all(self) -> Iterable[Member]:
        """Returns all members in no particular order."""
        return self._members.values()

    def of_service(self, service: str) -> list[Member]:
        """Returns the members beside backend servers of a service, by name.

        Dead and left members are included.
        """
        return sorted(self._by_service.get(service, {}).values())

    def names_in(self, state: MemberState) -> list[str]:
        """Returns the names of the members in a state."""
        return list(self._by_state[state])

    def merge(self, record: Member) -> bool:
        """Merges a record that a peer sent.

        A record that contradicts this node's own state is refuted: the own
        record gets a higher version.

        Returns:
            Whether the table has changed.
        """
        if record.name == self._own_name:
            return self._refute(record)
        current = self._members.get(record.name)
        if current is not None and not replaces(record, current):
            return False
        self._store(record)
        return True

    def update_own(self, now: float, **fields: object) -> Member:
        """Changes this node's record and raises its version."""
        own = self.own
        changed = own._replace(
            version=own.version + 1,
            changed_at=now,
            **fields,  # type: ignore[arg-type]
        )
        self._store(changed)
        return changed

    def remove_expired(self, now: float) -> None:
        """Removes dead and left members after their retention time."""
        for state in (MemberState.DEAD, MemberState.LEFT):
            for name in self.names_in(state):
                if (
                    now - self._members[name].changed_at
                    > GONE_MEMBER_RETENTION_S
                ):
                    self._remove(name)

    def _refute(self, record: Member) -> bool:
        own = self.own
        if record.incarnation != own.incarnation:
            return False
        if record.version < own.version:
            return False
        if record.state == own.state and record.version == own.version:
            return False
        self._store(own._replace(version=record.version + 1))
        return True

    def _store(self, member: Member) -> None:
        """Stores a record and updates the checksum."""
        self._remove(member.name)
        self._members[member.name] = member
        self.checksum ^= member.checksum()
        self._index(member)

    def _index(self, member: Member) -> None:
        """Adds a record to the indexes, which spare each call a table scan."""
        self._by_service.setdefault(member.service, {})[member.name] = member
        self._by_state[member.state].add(member.name)
        self.change_count += 1

    def _remove(self, name: str) -> None:
        """Removes a record if it exists."""
        removed = self._members.pop(name, None)
        if removed is None:
            return
        self.checksum ^= removed.checksum()
        del self._by_service[removed.service][name]
        self._by_state[removed.state].discard(name)
        self.change_count += 1
