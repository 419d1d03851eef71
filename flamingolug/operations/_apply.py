"""Applies a manifest through the store and tells truthfully what became of it.

A write whose answer is lost is looked for in the store before it is written
again. It is recognised by its bytes, so repeating an apply is harmless.
"""

import enum
from collections.abc import Callable
from typing import NamedTuple

from flamingolug import configuration
from flamingolug import errors
from flamingolug import manifest
from flamingolug import store

#: Tries to learn what became of a write.
MAX_TRIES = 5
#: Seconds between two tries.
RETRY_S = 0.5


class ApplyState(enum.StrEnum):
    """What became of an apply."""

    #: The store holds it under the given revision.
    ACCEPTED = "accepted"
    #: The store held the same manifest already.
    UNCHANGED = "unchanged"
    #: Another operator's revision was accepted first; nothing was written.
    LOST_RACE = "lost-race"
    #: The store did not answer before anything was written.
    NOT_APPLIED = "not-applied"
    #: The write may have taken effect.
    UNKNOWN = "unknown"


class ApplyResult(NamedTuple):
    """State of an apply, and what the store holds as far as is known."""

    state: ApplyState
    accepted: configuration.Accepted | None
    #: Stored form, to be told to nodes.
    stored: bytes
    message: str


class Author(NamedTuple):
    """Who applies, and when by the operator's clock."""

    operator: str
    applied_at: float


def read_accepted(
    source: store.Store,
) -> tuple[configuration.Accepted | None, store.Entry]:
    """Returns the accepted manifest and the store's entry.

    Raises:
        StoreUnavailableError: the store does not answer.
        ConfigurationError: the stored value is damaged.
    """
    entry = source.read(configuration.MANIFEST_KEY)
    return configuration.decode(entry.value), entry


def apply_manifest(
    source: store.Store,
    wanted: manifest.Manifest,
    author: Author,
    expected_revision: int | None,
    sleep: Callable[[float], None],
) -> ApplyResult:
    """Writes a manifest as the next revision.

    Args:
        source: the store.
        wanted: the manifest.
        author: who applies it.
        expected_revision: revision that the operator has seen; another one
            in the store counts as a lost race. None accepts any.
        sleep: waits the given seconds between tries.
    """
    body = manifest.canonical_bytes(wanted)
    try:
        current, entry = read_accepted(source)
    except errors.StoreUnavailableError as exc:
        return ApplyResult(
            ApplyState.NOT_APPLIED, None, b"", f"nothing was written: {exc}"
        )
    if current is not None and current.body == body:
        return ApplyResult(ApplyState.UNCHANGED, current, entry.value, "")
    revision = current.revision if current else 0
    if expected_revision is not None and expected_revision != revision:
        return _lost(current, entry.value)
    mine = _next_accepted(current, body, author)
    return _write(source, mine, entry.version, sleep)


def _next_accepted(
    current: configuration.Accepted | None, body: bytes, author: Author
) -> configuration.Accepted:
    """Returns what the store should hold after the apply."""
    revision = (current.revision if current else 0) + 1
    digest = manifest.digest_of(body)
    entry = configuration.HistoryEntry(
        revision, digest, author.operator, author.applied_at
    )
    history = (entry, *(current.history if current else ()))
    return configuration.Accepted(revision, digest, history, body)


def _write(
    source: store.Store,
    mine: configuration.Accepted,
    version: int,
    sleep: Callable[[float], None],
) -> ApplyResult:
    """Swaps the value in; a lost answer is followed up by reading."""
    stored = configuration.encode(mine)
    doubt = ""
    for attempt in range(MAX_TRIES):
        if attempt:
            sleep(RETRY_S)
        try:
            if not doubt:
                source.swap(configuration.MANIFEST_KEY, stored, version)
                return ApplyResult(ApplyState.ACCEPTED, mine, stored, "")
            current, entry = read_accepted(source)
        except errors.StoreConflictError:
            doubt = "the store holds another version"
            continue
        except errors.StoreUnavailableError as exc:
            doubt = str(exc)
            continue
        if entry.value == stored:
            return ApplyResult(ApplyState.ACCEPTED, mine, stored, "")
        if entry.version != version:
            return _superseded(mine, current, entry.value)
        # The write has not taken effect so far: write the same bytes again.
        doubt = ""
    return ApplyResult(
        ApplyState.UNKNOWN,
        mine,
        stored,
        f"the write of revision {mine.revision} may have taken effect: "
        f"{doubt}; run `flamingolug history` once the store answers, or "
        "apply again, which is harmless",
    )


def _superseded(
    mine: configuration.Accepted,
    current: configuration.Accepted | None,
    stored: bytes,
) -> ApplyResult:
    """Tells a later revision on top of ours from a lost race."""
    history = current.history if current else ()
    if mine.history[0] in history:
        return ApplyResult(
            ApplyState.ACCEPTED, mine, stored, "a later revision followed"
        )
    return _lost(current, stored)


def _lost(current: configuration.Accepted | None, stored: bytes) -> ApplyResult:
    winner = current.history[0] if current and current.history else None
    by = winner.operator if winner else "nobody"
    revision = winner.revision if winner else 0
    return ApplyResult(
        ApplyState.LOST_RACE,
        current,
        stored,
        f"revision {revision} by {by} was accepted first; nothing of yours "
        "was applied; look at `flamingolug diff`, then apply again",
    )
