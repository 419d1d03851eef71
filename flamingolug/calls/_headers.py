"""Header names of flamingolug, and which headers pass through a node."""

from collections.abc import Iterable

from flamingolug import http1

HEADER_KIND = "Flamingolug-Kind"
HEADER_CALLER = "Flamingolug-Caller"
#: Milliseconds that the caller waits at most; it can only shorten.
HEADER_DEADLINE = "Flamingolug-Deadline-Ms"
#: Opaque; a backend server passes it on with every call of its own.
HEADER_CONTEXT = "Flamingolug-Context"
#: Identity of the request, for logs.
HEADER_REQUEST = "Flamingolug-Request"
HEADER_KEY = "Idempotency-Key"
#: On answers: answered, not-run or unknown.
HEADER_OUTCOME = "Flamingolug-Outcome"
HEADER_REASON = "Flamingolug-Reason"
HEADER_STEP = "Flamingolug-Step"
HEADER_PEER = "Flamingolug-Peer"
HEADER_ATTEMPTS = "Flamingolug-Attempts"

_HOP_BY_HOP = frozenset(name.decode() for name in http1.CONNECTION_HEADERS) | {
    "date",
    "host",
    "server",
}


def forwardable(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that a node passes on.

    Headers of one connection stay behind, and so do flamingolug's own, which
    each hop writes anew.
    """
    kept: list[tuple[str, str]] = []
    for name, value in headers:
        lowered = name.lower()
        if lowered in _HOP_BY_HOP or lowered.startswith("flamingolug-"):
            continue
        kept.append((name, value))
    return tuple(kept)
