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
#: Identifier of the root request, which entered the fleet from outside. It is
#: used in logs.
HEADER_REQUEST = "Flamingolug-Request"
HEADER_KEY = "Idempotency-Key"
#: In responses: the `Verdict` of the call, which is `answered`, `not-run` or
#: `unknown`.
HEADER_OUTCOME = "Flamingolug-Outcome"
#: In responses: reason, step and peer of an `Outcome` that is not answered.
HEADER_REASON = "Flamingolug-Reason"
HEADER_STEP = "Flamingolug-Step"
HEADER_PEER = "Flamingolug-Peer"
#: In responses: number of attempts used.
HEADER_ATTEMPTS = "Flamingolug-Attempts"

#: Lower-case names of headers that are not forwarded, because they apply to one
#: connection only or each hop writes them itself.
_NOT_FORWARDED = frozenset(
    name.decode() for name in http1.CONNECTION_HEADERS
) | {
    "date",
    "host",
    "server",
}


def forwardable_headers(
    headers: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that a node forwards.

    Removes the headers of one connection, Date, Host and Server, and those of
    flamingolug, which each hop writes itself.
    """
    forwarded: list[tuple[str, str]] = []
    for name, value in headers:
        lower_name = name.lower()
        if lower_name in _NOT_FORWARDED or lower_name.startswith(
            "flamingolug-"
        ):
            continue
        forwarded.append((name, value))
    return tuple(forwarded)
