"""Interface of a key-value service with revisions, leases and history."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol


class Position(NamedTuple):
    """A revision of the store and the era to which it belongs.

    An era begins when the store returns from an older copy. It then gives out
    revisions again, so a revision means something in its era only. Positions
    are ordered by era first.
    """

    #: 0 if it is unknown, as before the first answer of the store.
    era: int
    revision: int


#: Position of a key that does not exist, and the one before the first change.
NO_POSITION = Position(0, 0)


class Lease(NamedTuple):
    """A lease; in another era its number may belong to another holder."""

    era: int
    number: int


class Item(NamedTuple):
    """State of a key after a write or a removal."""

    key: str
    #: None when the key has been removed.
    value: bytes | None
    #: Position of the last change of the key.
    position: Position


class Page(NamedTuple):
    """Items or changes, and the position up to which they are complete."""

    items: list[Item]
    as_of: Position


class LeasedStore(Protocol):
    """A key-value service with revisions, leases and watches.

    Every method raises StoreUnavailableError when no response was received or
    the call was rejected; a write may then have taken effect, or may still
    take effect later if its condition holds. The same holds for a response
    from an era that has ended, and for a write that was prepared in one era
    and answered in the next.
    """

    @property
    def era(self) -> int:
        """Latest era that an answer of the store has shown, 0 for none.

        It never decreases.
        """

    def on_new_era(self, listener: Callable[[int], object]) -> None:
        """Registers a function that is called when an era has ended.

        The argument is the new era. The first era that is seen ends none.
        """

    def recheck_era(self) -> None:
        """Ends the watches in progress, so that they ask the store again.

        They fail as unanswered. For a node that has heard of a later era.
        """

    def read(self, key: str) -> Page:
        """Returns a page with the item of `key`, or without items if none."""

    def list_prefix(self, prefix: str) -> Page:
        """Returns all items with a prefix; they are not a snapshot."""

    def watch(self, prefix: str, after: Position, wait_s: float) -> Page:
        """Returns the changes of keys with a prefix after a position.

        Waits up to `wait_s` seconds for the first change; returns a page
        without items if there is none.

        Raises:
            HistoryLostError: the store no longer has these changes, or the era
                of the position has ended.
        """

    def write(
        self,
        key: str,
        value: bytes,
        expected: Position,
        lease: Lease,
        deletes: Sequence[str] = (),
    ) -> Position:
        """Writes `key` if its last change is at the expected position.

        Args:
            key: key to write.
            value: new value of the key.
            expected: position of the last change of the key, `NO_POSITION` if
                it must not exist.
            lease: lease with which the key ends.
            deletes: keys to remove in the same transaction.

        Returns:
            The position of the write.

        Raises:
            StoreConflictError: the key has another revision, or the era of the
                expected position has ended.
            LeaseLostError: the lease has ended, or its era has.
        """

    def delete(self, key: str, expected: Position) -> None:
        """Removes `key` if its last change is at the expected position.

        Raises:
            StoreConflictError: the key has another revision, or the era of the
                expected position has ended.
        """

    def grant_lease(self, ttl_s: float) -> Lease:
        """Returns a new lease.

        It ends `ttl_s` seconds after it was granted or last renewed.
        """

    def renew_lease(self, lease: Lease) -> None:
        """Renews a lease.

        Raises:
            LeaseLostError: the lease has ended, or its era has.
        """
