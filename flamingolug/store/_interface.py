"""What flamingolug asks of the key-value service."""

from typing import NamedTuple
from typing import Protocol


class Entry(NamedTuple):
    """One value with the version that compare-and-swap checks."""

    value: bytes
    #: 0 when the key has no value yet; grows with each write.
    version: int


class Store(Protocol):
    """A key-value service with compare-and-swap and watches.

    Every method raises StoreUnavailableError when no answer came, in which
    case a write may or may not have taken effect.
    """

    def read(self, key: str) -> Entry:
        """Returns the value of `key`."""

    def swap(self, key: str, value: bytes, expected_version: int) -> int:
        """Writes `key` if its version is the expected one.

        Returns:
            The new version.

        Raises:
            StoreConflictError: the version is another one.
        """

    def watch(self, key: str, known_version: int, wait_s: float) -> Entry:
        """Returns `key` once its version passes `known_version`.

        After `wait_s` seconds the unchanged entry is returned.
        """
