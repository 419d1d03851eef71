"""Header names and paths that the platform defines."""

from flamingolug import gateway

READY_PATH = b"/v1/ready"

_REQUEST_ID = b"x-attempt-id"
#: The value is the milliseconds that remain until the deadline when the request
#: is sent.
_DEADLINE = b"x-deadline-ms"
_CALLER = b"x-caller-service"
_EXPECTED_INSTANCE = b"x-expected-instance"
_LOAD = b"x-server-load"
_ANSWERING_INSTANCE = b"x-instance-id"
_NOT_RUN = b"x-not-executed"

UPSTREAM_HEADER_NAMES = gateway.UpstreamHeaderNames(
    request_id=_REQUEST_ID,
    deadline=_DEADLINE,
    expected_instance=_EXPECTED_INSTANCE,
    caller=_CALLER,
    # The backend server sets it on each response that it generated itself; a
    # success without it is not delivered.
    seal=b"x-response-seal",
    not_run=_NOT_RUN,
    load=_LOAD,
    # Removed from the response of the backend server. The node itself adds the
    # request id to the response to the caller.
    internal=frozenset((_LOAD, _ANSWERING_INSTANCE, _REQUEST_ID)),
)
CALLER_HEADER_NAMES = gateway.CallerHeaderNames(
    request_id=_REQUEST_ID,
    deadline=_DEADLINE,
    overwritten=frozenset(
        (_REQUEST_ID, _DEADLINE, _CALLER, _EXPECTED_INSTANCE)
    ),
)
