"""What callers record of each request.

Times `..._at` are seconds of `time.monotonic()`.
"""

from typing import NamedTuple

from flamingolug import http1

#: Request deadline sent by each caller, milliseconds.
DEADLINE_MS = 2000
#: Seconds after the deadline at which a caller stops waiting for a response.
TIMEOUT_MARGIN_S = 1.5
#: `TimeoutMs` of the routes that `documents.make_route` returns, seconds.
ROUTE_TIMEOUT_S = 1.5
#: `TimeoutMs` of the route `bulk`, whose answers are read very slowly, seconds.
BULK_TIMEOUT_S = 8.0


class RequestRecord(NamedTuple):
    """Outcome of one request as its caller observed it."""

    request_id: str
    instance: str
    #: `Instance.start_count` of the node process that it was sent to.
    start_count: int
    route: str
    sent_at: float
    ended_at: float
    #: HTTP status, or one of the values below.
    status: int
    #: Whether the response carries the request's identity and, for status
    #: 200, the seal and the body that belong to this identity. True without a
    #: complete response, unless bytes arrived that are no response.
    valid: bool = True
    #: Whether it was sent while another request on its connection was
    #: unanswered.
    behind: bool = False
    #: Whether the connection ended in the middle of the response.
    partial: bool = False
    #: Seconds after which the deadline or the time-out of the route is reached.
    budget_s: float = ROUTE_TIMEOUT_S
    #: Seconds by which the caller may have observed the end too late.
    lag_s: float = 0.0


#: Values of `RequestRecord.status` without a complete response: the connection
#: was closed first, it could not be opened, no response came in time, a
#: response before it closed the connection, or the caller gave up an earlier
#: request on the connection.
CLOSED_EARLY, NO_CONNECTION, TIMED_OUT, NOT_READ, ABANDONED = 0, -1, -2, -3, -4
#: Outcome of reading that stands for any HTTP status.
ANSWERED = 1


def is_valid(
    response: http1.Response, request_id: str, padding_bytes: int = 0
) -> bool:
    """Returns whether a response belongs to a request and is complete."""
    expected_id = request_id.encode()
    if response.header(b"x-attempt-id") != expected_id:
        return False
    if response.status != 200:
        return True
    seal_matches = response.header(b"x-response-seal") == b"seal-" + expected_id
    body = b"body of " + expected_id + b"." * padding_bytes
    return seal_matches and response.body == body
