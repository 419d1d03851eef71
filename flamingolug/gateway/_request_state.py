"""State of a request in progress and the answer to its caller."""

from collections.abc import Callable
from typing import NamedTuple

from flamingolug import http1


class Answer(NamedTuple):
    """Response of this node to a caller."""

    status: int
    headers: http1.Headers
    body: bytes


class CallerHeaderNames(NamedTuple):
    """Names of the headers that callers and nodes exchange."""

    request_id: bytes
    deadline: bytes
    #: Headers that nodes set themselves; those of a caller are dropped.
    overwritten: frozenset[bytes]


class RequestState:
    """Progress of one request over all its offers."""

    def __init__(self, req: http1.Request, started_at: float) -> None:
        """Creates the state of a request that has not been routed yet."""
        self.request = req
        #: Clock reading at which the request's last data was received.
        self.started_at = started_at
        self.cancelled = False
        #: Whether it was cancelled because the node ends.
        self.interrupted = False
        #: Number of upstreams to which the request was offered.
        self.offers = 0
        #: Number of attempts that reached an upstream or may have reached it.
        self.arrivals = 0
        #: Whether an upstream has run the request or may have.
        self.may_have_run = False
        #: Whether any offer ended with an unknown outcome.
        self.outcome_unknown = False
        #: Upstream of the last offer, empty before the first one.
        self.last_upstream_id = ""
        #: Why the request is not offered again, empty while it may be.
        self.stop_reason = ""
        #: Cancels the offer in progress.
        self.cancel_offer: Callable[[], None] = _do_nothing

    def cancel(self) -> None:
        """Marks the request as cancelled and cancels its offer."""
        if not self.cancelled:
            self.cancelled = True
            self.cancel_offer()

    def finish_offer(self) -> None:
        """Records that no offer is in progress."""
        self.cancel_offer = _do_nothing

    def interrupt(self) -> None:
        """Cancels the request because the node ends; it is still answered."""
        self.interrupted = True
        self.cancel()


def _do_nothing() -> None:
    pass
