"""Form in which the store keeps the accepted manifest."""

from typing import NamedTuple

import msgspec

from flamingolug import errors
from flamingolug import manifest

MANIFEST_KEY = "flamingolug/manifest"
MAX_HISTORY = 50
_HEAD_END = b"\n"


class HistoryEntry(NamedTuple):
    """One accepted revision."""

    revision: int
    digest: str
    operator: str
    #: Seconds since the Unix epoch, by the operator's clock.
    applied_at: float


class Accepted(NamedTuple):
    """An accepted manifest with its place in the order of revisions."""

    #: Counts up by one with each accepted change.
    revision: int
    digest: str
    #: Latest first; the first entry is this revision.
    history: tuple[HistoryEntry, ...]
    #: The manifest in its one JSON form.
    body: bytes


class _Head(NamedTuple):
    revision: int
    digest: str
    history: tuple[HistoryEntry, ...]


_HEAD_DECODER = msgspec.json.Decoder(_Head)


def encode(accepted: Accepted) -> bytes:
    """Returns the stored form: one line of JSON, then the manifest."""
    head = _Head(
        accepted.revision, accepted.digest, accepted.history[:MAX_HISTORY]
    )
    return msgspec.json.encode(head) + _HEAD_END + accepted.body


def decode(data: bytes) -> Accepted | None:
    """Returns the accepted manifest in `data`, None when it is empty.

    Raises:
        ConfigurationError: the data is damaged.
    """
    if not data:
        return None
    first, _, body = data.partition(_HEAD_END)
    try:
        head = _HEAD_DECODER.decode(first)
    except msgspec.MsgspecError as exc:
        raise errors.ConfigurationError(
            f"stored manifest is damaged: {exc}", step="decode"
        ) from exc
    if manifest.digest_of(body) != head.digest:
        raise errors.ConfigurationError(
            "stored manifest does not match its digest", step="decode"
        )
    return Accepted(head.revision, head.digest, head.history, body)
