"""One request in progress and what its caller is told."""

from collections.abc import Callable
from typing import NamedTuple

from flamingolug import http1


class Answer(NamedTuple):
    """What a caller is told."""

    status: int
    headers: http1.Headers
    body: bytes


class CallerNames(NamedTuple):
    """Names of the headers between a caller and a node."""

    request_id: bytes
    deadline: bytes
    #: Headers that are set on the way and never taken from a caller.
    replaced: frozenset[bytes]


class RequestState:
    """One request in progress."""

    def __init__(self, req: http1.Request, started_at: float) -> None:
        """Creates the state of a request that has not been routed yet."""
        self.request = req
        self.started_at = started_at
        self.cancelled = False
        self.offers = 0
        #: Attempts that reached an upstream, or may have.
        self.arrivals = 0
        #: Whether an attempt ended without its outcome being known.
        self.outcome_unknown = False
        #: Upstream that it was offered to last.
        self.last_upstream_id = ""
        #: Why it is not offered once more, empty while it may be.
        self.stop_reason = ""
        self.cancel_attempt: Callable[[], None] = _do_nothing

    def cancel(self) -> None:
        """Notes that the caller has gone."""
        if not self.cancelled:
            self.cancelled = True
            self.cancel_attempt()


def _do_nothing() -> None:
    pass
