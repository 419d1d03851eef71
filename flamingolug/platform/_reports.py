"""What a backend server tells the node beside it."""

import re

import msgspec

from flamingolug import gateway
from flamingolug import http1

_REPORT_PATH = re.compile(rb"/v1/instances/([^/?]+)/heartbeat")
_LEAVE_PATH = re.compile(rb"/v1/instances/([^/?]+)/deregister")


class _Report(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    slots: int = msgspec.field(name="Slots")
    state: str = msgspec.field(name="State")
    #: Number of the report within this run.
    sequence: int = msgspec.field(name="Sequence")
    #: How much longer it stays slow after its start.
    cold_ms: float = msgspec.field(name="ColdRemainingMs", default=0.0)
    #: Start of the run, milliseconds since the Unix epoch.
    born: int = 0


_DECODER = msgspec.json.Decoder(_Report)


def decode_report(req: http1.Request, service: str) -> gateway.Report | None:
    """Returns the report in a request, None when it is not one.

    Args:
        req: a request to the control address.
        service: service of the backend server beside this node.
    """
    match = _REPORT_PATH.fullmatch(req.target.partition(b"?")[0])
    if match is None or req.method != b"POST":
        return None
    try:
        found = _DECODER.decode(req.body)
        state = gateway.UpstreamState(found.state)
    except (msgspec.DecodeError, msgspec.ValidationError, ValueError):
        return None
    if found.service != service or found.slots < 1:
        return None
    if state is gateway.UpstreamState.GONE:
        return None
    return gateway.Report(
        id=match.group(1).decode("latin-1"),
        service=found.service,
        slots=found.slots,
        state=state,
        warmup_s=found.cold_ms / 1000.0,
        start_time_ms=found.born,
        sequence=found.sequence,
    )


def decode_leave(req: http1.Request) -> str | None:
    """Returns who leaves for good, None when the request tells no leave."""
    match = _LEAVE_PATH.fullmatch(req.target.partition(b"?")[0])
    if match is None or req.method != b"POST":
        return None
    return match.group(1).decode("latin-1")
