"""Test doubles and builders shared by the tests of several packages."""

from collections.abc import Callable

from flamingolug import calls
from flamingolug import errors
from flamingolug import store
from flamingolug import telemetry


class MemoryStore:
    """Key-value store in memory that can be made to fail."""

    def __init__(self) -> None:
        """Starts empty and available."""
        #: Value and version by key.
        self.values: dict[str, tuple[bytes, int]] = {}
        #: Whether every access fails as unavailable.
        self.down = False
        #: Number of next writes that are applied but fail as unavailable.
        self.lose_answers = 0
        #: Runs before each write, ahead of the version check.
        self.before_swap: Callable[[], None] = lambda: None

    def read(self, key: str) -> store.Entry:
        """See `Store.read`."""
        self._raise_if_down()
        return store.Entry(*self.values.get(key, (b"", 0)))

    def swap(self, key: str, value: bytes, expected_version: int) -> int:
        """See `Store.swap`."""
        self._raise_if_down()
        self.before_swap()
        _, version = self.values.get(key, (b"", 0))
        if version != expected_version:
            raise errors.StoreConflictError("conflict", step="store.swap")
        self.values[key] = (value, version + 1)
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.StoreUnavailableError("lost", step="store.swap")
        return version + 1

    def watch(self, key: str, known_version: int, wait_s: float) -> store.Entry:
        """Returns the value at once, without waiting for a change."""
        del known_version, wait_s
        return self.read(key)

    def _raise_if_down(self) -> None:
        if self.down:
            raise errors.StoreUnavailableError("down", step="store")


def make_counters() -> telemetry.Counters:
    """Returns counters that export nothing."""
    return telemetry.Counters("test", "", 10.0)


def make_call(**changes: object) -> calls.Call:
    """Returns a keyed non-idempotent call with `changes` to its fields."""
    call = calls.Call(
        root_id="root",
        root_kind="submit",
        kind="submit",
        service="desk",
        depth=0,
        level=0,
        tie_break=0,
        method="POST",
        target="/tests",
        headers=(),
        body=b"body",
        key="key",
        key_created_at=0.0,
        caller="caller",
        deadline=10.0,
        allowance=3,
        non_idempotent=True,
    )
    return call._replace(**changes)  # type: ignore[arg-type]
