"""Header names and paths that the platform defines."""

from flamingolug import gateway

READY_PATH = b"/v1/ready"

_REQUEST_ID = b"x-attempt-id"
_DEADLINE = b"x-deadline-ms"
_CALLER = b"x-caller-service"
_EXPECTED = b"x-expected-instance"
_LOAD = b"x-server-load"
_INSTANCE = b"x-instance-id"
_NOT_RUN = b"x-not-executed"

UPSTREAM_HEADER_NAMES = gateway.UpstreamHeaderNames(
    request_id=_REQUEST_ID,
    # The value is the time that remains when the request is forwarded.
    deadline=_DEADLINE,
    expected_instance=_EXPECTED,
    caller=_CALLER,
    seal=b"x-response-seal",
    not_run=_NOT_RUN,
    internal=frozenset((_LOAD, _INSTANCE, _REQUEST_ID)),
)
CALLER_HEADER_NAMES = gateway.CallerHeaderNames(
    request_id=_REQUEST_ID,
    deadline=_DEADLINE,
    overwritten=frozenset((_REQUEST_ID, _DEADLINE, _CALLER, _EXPECTED)),
)
