"""Pressure of the services that the backend server beside the node calls.

Each gate reports the highest pressure of its own upstream and of the services
that this one calls, so that the first node of a call chain detects an
overload anywhere further down.
"""

from collections.abc import Callable
from typing import NamedTuple

from flamingolug.gateway import _model

#: Weight of a new report; at a hundred calls a second the mean follows two
#: thirds of a change within 0.05 s.
SMOOTHING = 0.2
#: Age at which a pressure is ignored, seconds.
MAX_AGE_S = 1.0
#: Pressure from which the bottleneck is named; below it, slots are free.
MIN_REPORTED_PRESSURE = 0.9
#: Upper bound of the chain depth; services that call each other have no depth.
MAX_CHAIN_DEPTH = 15


class Pressure(NamedTuple):
    """Highest pressure in a call chain and where it arises."""

    ratio: float
    #: Service that has this pressure, empty for none.
    bottleneck: str


class CalleePressure:
    """Smoothed pressure of each called service."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Creates an instance without reports."""
        self._now = now
        self._smoothed: dict[str, float] = {}
        self._recorded_at: dict[str, float] = {}
        #: Bottleneck behind each called service, as reported last.
        self._bottlenecks: dict[str, str] = {}
        #: Longest chain of calls below the backend server beside the node.
        self.chain_depth = 0

    def record(self, service: str, load: _model.LoadReport) -> None:
        """Records what an outcome reports for a called service."""
        if load.bottleneck:
            self._bottlenecks[service] = load.bottleneck
        self.chain_depth = min(
            max(self.chain_depth, load.chain_depth + 1), MAX_CHAIN_DEPTH
        )
        mean = self._smoothed.get(service, 0.0)
        self._smoothed[service] = mean + (load.pressure - mean) * SMOOTHING
        self._recorded_at[service] = self._now()

    def highest(self) -> Pressure:
        """Returns the highest pressure that is recent, 0 for none."""
        now = self._now()
        highest = Pressure(0.0, "")
        for service, pressure in self._smoothed.items():
            if now - self._recorded_at[service] >= MAX_AGE_S:
                continue
            if pressure > highest.ratio:
                highest = Pressure(
                    pressure, self._bottlenecks.get(service, service)
                )
        return highest
