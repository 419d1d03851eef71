"""Refuses a fresh request that a service below would refuse.

Refusing it before anything has run costs one look at a table; refusing it
below would waste what the services above have done by then.
"""

from flamingolug import calls
from flamingolug import configuration
from flamingolug import membership
from flamingolug import telemetry


def refuse_below(
    call: calls.Call,
    found: configuration.InForce,
    loads: membership.LoadBoard,
) -> calls.Outcome | None:
    """Returns the refusal, None when every service below admits the call."""
    if call.root_kind not in found.ladder.paid:
        return None
    level = found.ladder.level(call.root_kind, True, call.spread)
    for kind in found.manifest.called_kinds(call.kind):
        if level > loads.deep_level(kind.service, found.revision):
            return calls.not_run(telemetry.Refusal.LEVEL, "entry", kind.service)
    return None
