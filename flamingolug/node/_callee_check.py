"""Refuses a fresh request that a service below would refuse.

Refusing it before anything has run costs one look at a table; refusing it
below would waste what the services above have done by then.
"""

from flamingolug import calls
from flamingolug import configuration
from flamingolug import membership
from flamingolug import telemetry


def refuse_by_callee_level(
    call: calls.Call,
    found: configuration.ActiveManifest,
    loads: membership.PeerLoads,
) -> calls.Outcome | None:
    """Returns the refusal, None when every service below admits the call."""
    if call.root_kind not in found.shedding_order.nested:
        return None
    level = found.shedding_order.level(call.root_kind, True, call.tie_break)
    for kind in found.manifest.called_kinds(call.kind):
        if level > loads.callee_level(kind.service, found.revision):
            return calls.not_run(telemetry.Refusal.LEVEL, "entry", kind.service)
    return None
