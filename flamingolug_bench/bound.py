"""What an all-knowing scheduler could get from the same capacity.

It knows every arrival, slot and service time beforehand, wastes nothing and
never idles a slot while there is work. It keeps the promised order: for each
urgency rank in turn, and within it by worth for each millisecond of the
scarcest service, it serves as many requests as the slot time left in every
service of the kind's chain allows. A request holds its slot for its own
service time and, as the backend servers call in turn, for those of the calls
below it. Queueing, links and nodes cost nothing.
"""

from collections.abc import Mapping
from typing import NamedTuple

from flamingolug import manifest


class Bound(NamedTuple):
    """Best possible outcome of one window."""

    #: Whole requests by kind.
    served: Mapping[str, float]
    #: Sum of their worth.
    worth: float


def best_outcome(
    found: manifest.Manifest,
    slots: Mapping[str, int],
    arrivals: Mapping[str, int],
    window_s: float,
) -> Bound:
    """Returns the best outcome for the arrivals of one window.

    Args:
        found: the manifest.
        slots: slots of each service, over all its backend servers.
        arrivals: requests that entered, by kind.
        window_s: length of the window.
    """
    left = {name: count * window_s for name, count in slots.items()}
    served: dict[str, float] = {}
    worth = 0.0
    order = sorted(
        arrivals,
        key=lambda name: (
            found.kinds[name].rank,
            -found.kinds[name].worth / found.chain_time_ms(name),
        ),
    )
    for name in order:
        holds = slot_seconds(found, name)
        count = float(arrivals[name])
        for service, seconds in holds.items():
            count = min(count, left[service] / seconds)
        for service, seconds in holds.items():
            left[service] -= count * seconds
        served[name] = count
        worth += count * found.kinds[name].worth
    return Bound(served, worth)


def slot_seconds(found: manifest.Manifest, name: str) -> dict[str, float]:
    """Returns the slot seconds that one request takes in each service."""
    kind = found.kinds[name]
    holds = {kind.service: found.chain_time_ms(name) / 1000.0}
    for child in kind.calls:
        for service, seconds in slot_seconds(found, child).items():
            holds[service] = holds.get(service, 0.0) + seconds
    return holds
