"""Interface of a key-value service with revisions, leases and history."""

from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol


class Item(NamedTuple):
    """State of a key after a write or a removal."""

    key: str
    #: None when the key has been removed.
    value: bytes | None
    #: Revision of the store at the last change of the key.
    revision: int


class Page(NamedTuple):
    """Items or changes, and the revision up to which they are complete."""

    items: list[Item]
    as_of: int


class LeasedStore(Protocol):
    """A key-value service with revisions, leases and watches.

    Every method raises StoreUnavailableError when no response was received or
    the call was rejected; a write may then have taken effect, or may still
    take effect later if its condition holds.
    """

    def read(self, key: str) -> Page:
        """Returns a page with the item of `key`, or without items if none."""

    def list_prefix(self, prefix: str) -> Page:
        """Returns all items with a prefix; they are not a snapshot."""

    def watch(self, prefix: str, after: int, wait_s: float) -> Page:
        """Returns the changes of keys with a prefix after a revision.

        Waits up to `wait_s` seconds for the first change; returns a page
        without items if there is none.

        Raises:
            HistoryLostError: the store no longer has these changes.
        """

    def write(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease: int,
        deletes: Sequence[str] = (),
    ) -> int:
        """Writes `key` if it has the expected revision.

        Args:
            key: key to write.
            value: new value of the key.
            expected_revision: revision that the key must have, 0 if it must
                not exist.
            lease: number of the lease with which the key ends.
            deletes: keys to remove in the same transaction.

        Returns:
            The new revision.

        Raises:
            StoreConflictError: the key has another revision.
            LeaseLostError: the lease has ended.
        """

    def grant_lease(self, ttl_s: float) -> int:
        """Returns the number of a new lease.

        It ends `ttl_s` seconds after it was granted or last renewed.
        """

    def renew_lease(self, lease: int) -> None:
        """Renews a lease.

        Raises:
            LeaseLostError: the lease has ended.
        """

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys.

        Raises:
            LeaseLostError: the lease has ended already.
        """
