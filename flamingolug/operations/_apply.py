"""Applies a manifest by compare-and-swap in the store.

When no response to a write arrives, the store is read before the write is
repeated. A write that took effect is recognised by its bytes or its history
entry, so that repeating an apply is harmless.
"""

import enum
from collections.abc import Callable
from typing import NamedTuple

from flamingolug import configuration
from flamingolug import errors
from flamingolug import manifest
from flamingolug import store

#: Maximum number of store requests of one apply after its first read: attempts
#: to write, and reads that check whether a write has taken effect.
MAX_REQUESTS = 5
#: Seconds between two of these requests.
RETRY_INTERVAL_S = 0.5


class ApplyState(enum.StrEnum):
    """Outcome of an apply."""

    #: The store has accepted the manifest under the given revision.
    ACCEPTED = "accepted"
    #: The store already contained the same manifest; nothing was written.
    UNCHANGED = "unchanged"
    #: Another operator's revision was accepted first, or the store did not
    #: contain the expected revision; nothing was written.
    LOST_RACE = "lost-race"
    #: The store did not respond to the first read; nothing was written.
    NOT_APPLIED = "not-applied"
    #: No response confirmed the write; it may have taken effect.
    UNKNOWN = "unknown"


class ApplyResult(NamedTuple):
    """Outcome of an apply."""

    state: ApplyState
    #: For `ACCEPTED`: the manifest as written. For `UNKNOWN`: the one that may
    #: have been written. For `UNCHANGED` and `LOST_RACE`: the one in the store,
    #: None when the store is empty. For `NOT_APPLIED`: None.
    accepted: configuration.AcceptedManifest | None
    #: Stored form to send to nodes: that of `accepted` or, if a later revision
    #: has already replaced it, that of the later one. Empty when `accepted` is
    #: None.
    stored_form: bytes
    #: Explanation for the operator, empty when there is nothing to add.
    message: str


class Author(NamedTuple):
    """Operator and time of an apply."""

    #: Name of the operator, recorded in the history.
    operator: str
    #: Seconds since the Unix epoch, by the operator's clock.
    applied_at: float


def read_accepted(
    kv_store: store.Store,
) -> tuple[configuration.AcceptedManifest | None, store.Entry]:
    """Returns the accepted manifest, None without one, and the store's entry.

    Raises:
        StoreUnavailableError: the store does not respond.
        ConfigurationError: the stored value is invalid.
    """
    entry = kv_store.read(configuration.MANIFEST_KEY)
    return configuration.decode(entry.value), entry


def apply_manifest(
    kv_store: store.Store,
    wanted: manifest.Manifest,
    author: Author,
    expected_revision: int | None,
    sleep: Callable[[float], None],
) -> ApplyResult:
    """Writes a manifest to the store as the next revision.

    Args:
        kv_store: the store that keeps the accepted manifest.
        wanted: the manifest to apply.
        author: operator and time, for the history.
        expected_revision: revision that the operator expects in the store;
            another one counts as a lost race. None accepts any.
        sleep: suspends the caller for the given seconds.

    Raises:
        ConfigurationError: the stored value is invalid.
    """
    body = manifest.canonical_bytes(wanted)
    try:
        current, entry = read_accepted(kv_store)
    except errors.StoreUnavailableError as exc:
        return ApplyResult(
            ApplyState.NOT_APPLIED, None, b"", f"nothing was written: {exc}"
        )
    if current is not None and current.body == body:
        return ApplyResult(ApplyState.UNCHANGED, current, entry.value, "")
    revision = current.revision if current else 0
    if expected_revision is not None and expected_revision != revision:
        return _lost_race_result(current, entry.value)
    proposed = _next_accepted(current, body, author)
    return _write(kv_store, proposed, entry.version, sleep)


def _next_accepted(
    current: configuration.AcceptedManifest | None, body: bytes, author: Author
) -> configuration.AcceptedManifest:
    """Returns the accepted manifest to write, one revision after `current`."""
    revision = (current.revision if current else 0) + 1
    digest = manifest.digest_of(body)
    entry = configuration.HistoryEntry(
        revision, digest, author.operator, author.applied_at
    )
    history = (entry, *(current.history if current else ()))
    return configuration.AcceptedManifest(revision, digest, history, body)


def _write(
    kv_store: store.Store,
    proposed: configuration.AcceptedManifest,
    version: int,
    sleep: Callable[[float], None],
) -> ApplyResult:
    """Writes `proposed` if the store's entry still has `version`.

    After a conflict or a missing response, reads the store to determine
    whether the write has taken effect.
    """
    stored = configuration.encode(proposed)
    unconfirmed_reason = ""
    for request_number in range(MAX_REQUESTS):
        if request_number:
            sleep(RETRY_INTERVAL_S)
        try:
            if not unconfirmed_reason:
                kv_store.swap(configuration.MANIFEST_KEY, stored, version)
                return ApplyResult(ApplyState.ACCEPTED, proposed, stored, "")
            current, entry = read_accepted(kv_store)
        except errors.StoreConflictError:
            unconfirmed_reason = "the store contains another version"
            continue
        except errors.StoreUnavailableError as exc:
            unconfirmed_reason = str(exc)
            continue
        if entry.value == stored:
            return ApplyResult(ApplyState.ACCEPTED, proposed, stored, "")
        if entry.version != version:
            return _superseded_result(proposed, current, entry.value)
        # The write has not taken effect so far; write the same bytes again.
        unconfirmed_reason = ""
    return ApplyResult(
        ApplyState.UNKNOWN,
        proposed,
        stored,
        f"the write of revision {proposed.revision} may have taken effect: "
        f"{unconfirmed_reason}; run `flamingolug history` once the store "
        "responds, or apply again, which is harmless",
    )


def _superseded_result(
    proposed: configuration.AcceptedManifest,
    current: configuration.AcceptedManifest | None,
    stored: bytes,
) -> ApplyResult:
    """Returns the result when the store contains a later version.

    The write took effect if the history contains its entry; a later revision
    has then replaced it. Otherwise another revision was accepted first.
    """
    history = current.history if current else ()
    if proposed.history[0] in history:
        return ApplyResult(
            ApplyState.ACCEPTED, proposed, stored, "a later revision followed"
        )
    return _lost_race_result(current, stored)


def _lost_race_result(
    current: configuration.AcceptedManifest | None, stored: bytes
) -> ApplyResult:
    """Returns the result if the store contains an unexpected revision."""
    winner = current.history[0] if current and current.history else None
    by = winner.operator if winner else "nobody"
    revision = winner.revision if winner else 0
    return ApplyResult(
        ApplyState.LOST_RACE,
        current,
        stored,
        f"the store contains revision {revision} by {by}; nothing was "
        "written; look at `flamingolug diff`, then apply again",
    )
