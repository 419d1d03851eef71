"""Encodes and decodes the accepted manifest as kept in the store.

The stored form is a header, one line of JSON with the revision, the digest and
the history, followed by the manifest in its canonical JSON form.
"""

from typing import NamedTuple

import msgspec

from flamingolug import errors
from flamingolug import manifest

#: Key of the accepted manifest in the store.
MANIFEST_KEY = "flamingolug/manifest"
#: Revisions that the stored history keeps; older ones are dropped.
MAX_HISTORY = 50
_HEADER_END = b"\n"


class HistoryEntry(NamedTuple):
    """Record of one accepted revision and the operator who applied it."""

    revision: int
    #: Hexadecimal digest of the manifest of this revision.
    digest: str
    #: Name of the operator: the value of `--operator`, else the user name.
    operator: str
    #: Time of the apply, seconds since the Unix epoch by the operator's clock.
    applied_at: float


class AcceptedManifest(NamedTuple):
    """A manifest that the store has accepted, or is to accept, as a revision.

    It becomes active at a node when that node activates it.
    """

    #: Starts at 1 and increases by one with each accepted change.
    revision: int
    #: Hexadecimal digest of `body`.
    digest: str
    #: Accepted revisions, the latest first; the first entry is this revision.
    #: The stored form keeps the first `MAX_HISTORY` of them.
    history: tuple[HistoryEntry, ...]
    #: The manifest in its canonical JSON form.
    body: bytes


class _Header(NamedTuple):
    """First line of the stored form, encoded as a JSON array."""

    revision: int
    digest: str
    history: tuple[HistoryEntry, ...]


_HEADER_DECODER = msgspec.json.Decoder(_Header)


def encode(accepted: AcceptedManifest) -> bytes:
    """Returns the stored form; drops history beyond `MAX_HISTORY`."""
    header = _Header(
        accepted.revision, accepted.digest, accepted.history[:MAX_HISTORY]
    )
    return msgspec.json.encode(header) + _HEADER_END + accepted.body


def decode(data: bytes) -> AcceptedManifest | None:
    """Returns the accepted manifest in `data`, None when `data` is empty.

    Raises:
        ConfigurationError: the header is invalid or the digest does not match.
    """
    if not data:
        return None
    header_line, _, body = data.partition(_HEADER_END)
    try:
        header = _HEADER_DECODER.decode(header_line)
    except msgspec.MsgspecError as exc:
        raise errors.ConfigurationError(
            f"stored manifest is damaged: {exc}", step="decode"
        ) from exc
    if manifest.digest_of(body) != header.digest:
        raise errors.ConfigurationError(
            "stored manifest does not match its digest", step="decode"
        )
    return AcceptedManifest(
        header.revision, header.digest, header.history, body
    )
