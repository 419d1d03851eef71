"""A key-value service with revisions, leases and a history of changes."""

from collections.abc import Sequence
from typing import NamedTuple
from typing import Protocol


class Item(NamedTuple):
    """One key as written, or its removal."""

    key: str
    #: None when the key has been removed.
    value: bytes | None
    #: Revision of the store at the key's last change.
    revision: int


class Page(NamedTuple):
    """Items or changes, and the revision up to which they are complete."""

    items: list[Item]
    as_of: int


class LeasedStore(Protocol):
    """What the gateway asks of the store.

    Every method raises StoreUnavailableError when no answer came or the call
    was turned away; a write may then have taken effect, or may do so later
    if its condition still holds.
    """

    def read(self, key: str) -> Page:
        """Returns the item of `key`, no item when there is none."""

    def list_prefix(self, prefix: str) -> Page:
        """Returns all items below a prefix; not a snapshot."""

    def watch(self, prefix: str, after: int, wait_s: float) -> Page:
        """Returns the changes after a revision once there is one.

        Raises:
            HistoryLostError: the changes are no longer known.
        """

    def write(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease: int,
        deletes: Sequence[str] = (),
    ) -> int:
        """Writes `key` if its revision is the expected one, 0 for none.

        Returns:
            The new revision.

        Raises:
            StoreConflictError: the revision is another one.
            LeaseLostError: the lease has ended.
        """

    def grant_lease(self, ttl_s: float) -> int:
        """Returns a new lease."""

    def renew_lease(self, lease: int) -> None:
        """Renews a lease.

        Raises:
            LeaseLostError: the lease has ended.
        """

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
