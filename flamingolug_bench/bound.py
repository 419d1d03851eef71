"""Upper bound on the goodput of a deployment: an oracle scheduler.

The oracle has advance knowledge of every arrival, slot and service time. It
wastes no slot time and leaves no slot idle while there is work. Queueing,
links and nodes cost nothing.

It follows the shedding order of the product: rank by rank, and within a rank by
worth per millisecond of chain time, it serves as many requests of a kind as the
remaining slot time of every service in the call chain allows. The chain time is
the sum of the service times of a request and its nested calls. A request holds
its slot for its own service time and for that of all nested calls, because
backend servers make their calls one after another.
"""

from collections.abc import Mapping
from typing import NamedTuple

from flamingolug import manifest


class UpperBound(NamedTuple):
    """Outcome of the oracle scheduler for one time window."""

    #: Number of requests served, by kind.
    served: Mapping[str, float]
    #: Total worth of the served requests.
    worth: float


def compute_upper_bound(
    deployed_manifest: manifest.Manifest,
    slots: Mapping[str, int],
    arrivals: Mapping[str, int],
    window_s: float,
) -> UpperBound:
    """Returns the oracle's outcome for the arrivals of one window.

    Args:
        deployed_manifest: the manifest in force.
        slots: number of slots by service, summed over its backend servers.
        arrivals: number of requests that arrived in the window, by kind.
        window_s: length of the window.
    """
    remaining_s = {name: count * window_s for name, count in slots.items()}
    served: dict[str, float] = {}
    worth = 0.0
    ordered_kinds = sorted(
        arrivals,
        key=lambda name: (
            deployed_manifest.kinds[name].rank,
            -deployed_manifest.kinds[name].worth
            / deployed_manifest.chain_time_ms(name),
        ),
    )
    for name in ordered_kinds:
        slot_time_s = slot_seconds(deployed_manifest, name)
        count = float(arrivals[name])
        for service, seconds in slot_time_s.items():
            count = min(count, remaining_s[service] / seconds)
        for service, seconds in slot_time_s.items():
            remaining_s[service] -= count * seconds
        served[name] = count
        worth += count * deployed_manifest.kinds[name].worth
    return UpperBound(served, worth)


def slot_seconds(
    deployed_manifest: manifest.Manifest, name: str
) -> dict[str, float]:
    """Returns the slot seconds that one request occupies, by service."""
    kind = deployed_manifest.kinds[name]
    slot_time_s = {kind.service: deployed_manifest.chain_time_ms(name) / 1000.0}
    for callee in kind.calls:
        for service, seconds in slot_seconds(deployed_manifest, callee).items():
            slot_time_s[service] = slot_time_s.get(service, 0.0) + seconds
    return slot_time_s
