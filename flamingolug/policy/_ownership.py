"""Assigns idempotency keys to nodes by rendezvous hashing."""

import hashlib
from collections.abc import Iterable


def owner_of(key: str, names: Iterable[str]) -> str | None:
    """Returns the owner of `key` among `names`, None when there are no names.

    The result depends only on the arguments; removing a name reassigns only
    the keys that it owned.
    """
    best: tuple[bytes, str] | None = None
    for name in names:
        weight = hashlib.blake2b(
            f"{name}\n{key}".encode(), digest_size=8
        ).digest()
        if best is None or (weight, name) > best:
            best = (weight, name)
    return best[1] if best else None
