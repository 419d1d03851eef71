"""Header names of flamingolug, and the headers that a node forwards."""

from collections.abc import Iterable

from flamingolug import http1

HEADER_KIND = "Flamingolug-Kind"
HEADER_CALLER = "Flamingolug-Caller"
#: Milliseconds that the caller waits for the response. The header can shorten
#: the deadline of the kind, not extend it.
HEADER_DEADLINE = "Flamingolug-Deadline-Ms"
#: Opaque token. A backend server must copy it from a request to every call that
#: it makes for this request.
HEADER_CONTEXT = "Flamingolug-Context"
#: Identifier of the request that entered the fleet, for logs.
HEADER_REQUEST = "Flamingolug-Request"
HEADER_KEY = "Idempotency-Key"
#: In responses: `answered`, `not-run` or `unknown`.
HEADER_OUTCOME = "Flamingolug-Outcome"
HEADER_REASON = "Flamingolug-Reason"
HEADER_STEP = "Flamingolug-Step"
HEADER_PEER = "Flamingolug-Peer"
HEADER_ATTEMPTS = "Flamingolug-Attempts"

#: Lower-case names of headers that apply to one connection only, or that each
#: hop writes itself.
_HOP_BY_HOP = frozenset(name.decode() for name in http1.CONNECTION_HEADERS) | {
    "date",
    "host",
    "server",
}


def forwardable_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that a node forwards.

    Removes the headers that apply to one connection only, and those of
    flamingolug, which each hop writes itself.
    """
    forwarded: list[tuple[str, str]] = []
    for name, value in headers:
        lower_name = name.lower()
        if lower_name in _HOP_BY_HOP or lower_name.startswith("flamingolug-"):
            continue
        forwarded.append((name, value))
    return tuple(forwarded)
