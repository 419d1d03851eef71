"""Assigns keys to nodes by rendezvous hashing."""

import hashlib
from collections.abc import Iterable

__all__ = ["candidates_for", "owner_of"]


def _weight(key: str, name: str) -> tuple[bytes, str]:
    digest = hashlib.blake2b(f"{name}\n{key}".encode(), digest_size=8).digest()
    return digest, name


def owner_of(key: str, names: Iterable[str]) -> str | None:
    """Returns the owner of `key` among `names`, None when there are no names.

    The result depends only on the arguments; removing a name reassigns only
    the keys that it owned.
    """
    return max(names, key=lambda name: _weight(key, name), default=None)


def candidates_for(key: str, names: Iterable[str]) -> list[str]:
    """Returns `names` in the order in which they would own `key`.

    Each is the owner once those before it are removed.
    """
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)
