"""Refuses a root call that one of its called services would refuse.

A refusal before anything has run costs one table lookup for each kind that the
call may lead to. A refusal by the called service would waste the work that its
callers have done by then.
"""

from flamingolug import calls
from flamingolug import configuration
from flamingolug import membership
from flamingolug import telemetry


def refuse_by_callee_cutoff(
    call: calls.Call,
    active: configuration.ActiveManifest,
    loads: membership.PeerLoads,
) -> calls.Outcome | None:
    """Returns a refusal if a called service would refuse the call, else None.

    The callee cutoff of a service is the highest level that it admits. A call
    whose root kind is not in the shedding order is not checked.
    """
    if call.root_kind not in active.shedding_order.nested_starts:
        return None
    level = active.shedding_order.level(call.root_kind, True, call.tie_break)
    for kind in active.manifest.all_called_kinds(call.kind):
        if level > loads.callee_cutoff(kind.service, active.revision):
            return calls.not_run(telemetry.Refusal.LEVEL, "entry", kind.service)
    return None
