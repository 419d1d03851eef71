"""Interface of a key-value service with compare-and-swap."""

from typing import NamedTuple
from typing import Protocol


class Entry(NamedTuple):
    """A value and the version that compare-and-swap compares."""

    value: bytes
    #: 0 when the key has no value yet; increases with each write of the key.
    version: int


class Store(Protocol):
    """A key-value service with compare-and-swap and watches.

    Every method raises StoreUnavailableError when no response was received or
    the call was rejected; a write may have taken effect in this case.
    """

    def read(self, key: str) -> Entry:
        """Returns the entry of `key`."""

    def swap(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes `key` if its version is the expected one.

        Returns:
            The new version.

        Raises:
            StoreConflictError: the key has another version.
        """

    def watch(self, key: str, known_version: int, wait_s: float) -> Entry:
        """Returns the entry of `key` once it is newer than `known_version`.

        Returns the unchanged entry after `wait_s` seconds.
        """
