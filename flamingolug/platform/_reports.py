"""Decodes messages of a backend server to the node beside it."""

import re
from typing import Annotated

import msgspec

from flamingolug import gateway
from flamingolug import http1

#: Identifier of an upstream: printable characters that are not encoded.
_ID = rb"([!-$&-.0->@-~]{1,128})"
_REPORT_PATH = re.compile(rb"/v1/instances/" + _ID + rb"/heartbeat")
_LEAVE_PATH = re.compile(rb"/v1/instances/" + _ID + rb"/deregister")
_DAY_MS = 86_400_000.0


class _Report(msgspec.Struct):
    service: str = msgspec.field(name="Service")
    slots: gateway.SlotCount = msgspec.field(name="Slots")
    state: str = msgspec.field(name="State")
    #: Number of the report; increases within one incarnation of the backend
    #: server.
    sequence: gateway.Counter = msgspec.field(name="Sequence")
    #: Remaining milliseconds of slow processing after the start.
    warmup_ms: Annotated[float, msgspec.Meta(ge=0.0, le=_DAY_MS)] = (
        msgspec.field(name="ColdRemainingMs", default=0.0)
    )
    #: Start of the incarnation, milliseconds since the Unix epoch.
    born: gateway.Counter = 0


_DECODER = msgspec.json.Decoder(_Report)


def decode_report(req: http1.Request, service: str) -> gateway.Report | None:
    """Returns the report in a request, None when there is no valid one.

    Args:
        req: a request to the control address.
        service: service of the backend server beside this node.
    """
    match = _REPORT_PATH.fullmatch(req.target.partition(b"?")[0])
    if match is None or req.method != b"POST":
        return None
    try:
        report = _DECODER.decode(req.body)
        state = gateway.UpstreamState(report.state)
    except (msgspec.DecodeError, RecursionError, ValueError):
        return None
    if report.service != service:
        return None
    # A backend server announces its end by `deregister`, not by a report.
    if state is gateway.UpstreamState.GONE:
        return None
    return gateway.Report(
        id=match.group(1).decode("latin-1"),
        service=report.service,
        slots=report.slots,
        state=state,
        warmup_s=report.warmup_ms / 1000.0,
        start_time_ms=report.born,
        sequence=report.sequence,
    )


def decode_leave(req: http1.Request) -> str | None:
    """Returns the id of the leaving upstream, None for any other request."""
    match = _LEAVE_PATH.fullmatch(req.target.partition(b"?")[0])
    if match is None or req.method != b"POST":
        return None
    return match.group(1).decode("latin-1")
