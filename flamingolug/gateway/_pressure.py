"""Pressure of the services that a node and its backend server call.

Each gate reports the highest pressure of its own upstream and of the services
that this one calls, so that the first node of a call chain detects an
overload anywhere further down.

Every report of a service's gates counts, with the outcome of any call and in
the status messages of links. In a large fleet an entry gets a request of one
kind each second or less, but hears from the gates of a service several times a
second.
"""

import math
from collections.abc import Callable
from typing import NamedTuple

from flamingolug.gateway import _model

#: Lowest weight of a report in the mean of a called service; at a hundred calls
#: a second the mean follows two thirds of a change within 0.05 s.
SMOOTHING = 0.2
#: Time constant of that mean, seconds, where calls are rare.
CALLEE_TIME_CONSTANT_S = 0.3
#: Age at which a pressure is ignored, seconds.
MAX_AGE_S = 1.0
#: Pressure from which the bottleneck is named; below it, slots are free.
MIN_REPORTED_PRESSURE = 0.9
#: Upper bound of the chain depth; services that call each other have no depth.
MAX_CHAIN_DEPTH = 15
#: Seconds without a call after which a service does not count in the depth.
CHAIN_DEPTH_MAX_AGE_S = 5.0
#: Decrease of a chain depth with each report of a smaller one.
CHAIN_DEPTH_DECAY = 0.05
#: Time constant of the smoothed pressure of a service, seconds.
TIME_CONSTANT_S = 0.15
#: Seconds without a report after which the pressure of a service decays.
SILENCE_S = 0.25
#: Seconds of silence in which it then halves: without reports, more requests
#: are admitted, which measure it.
HALF_LIFE_S = 2.4


class Pressure(NamedTuple):
    """Highest pressure in a call chain and where it arises."""

    ratio: float
    #: Service that has this pressure, empty for none.
    bottleneck: str
    #: Fraction of the calls of that service that could not end in time.
    expired_ratio: float = 0.0


def weight_after(elapsed_s: float, time_constant_s: float) -> float:
    """Returns the weight of a sample after a time without samples."""
    return 1.0 - math.exp(-elapsed_s / time_constant_s)


def follow_depth(previous: float, reported: int) -> float:
    """Returns a chain depth after a report.

    It rises at once and falls slowly, since gates that have not seen nested
    calls yet report too little.
    """
    return max(float(reported), previous - CHAIN_DEPTH_DECAY, 0.0)


class CalleePressure:
    """Smoothed pressure of each called service."""

    def __init__(self, now: Callable[[], float], own_service: str = "") -> None:
        """Creates an instance without reports.

        Args:
            now: returns the clock reading in seconds.
            own_service: service of the backend server beside the node.
        """
        self._now = now
        self._own_service = own_service
        self._smoothed: dict[str, float] = {}
        self._recorded_at: dict[str, float] = {}
        #: Bottleneck behind each called service and the fraction of its calls
        #: that could not end in time, as reported last.
        self._bottlenecks: dict[str, tuple[str, float]] = {}
        #: Longest chain of calls below the backend server beside the node, by
        #: the called service.
        self._chain_depths: dict[str, float] = {}

    def record(self, service: str, load: _model.LoadReport) -> None:
        """Records what an outcome reports for a called service."""
        if load.bottleneck:
            self._bottlenecks[service] = (load.bottleneck, load.expired_ratio)
        if service != self._own_service:
            # A service that calls itself would raise its depth without end.
            self._chain_depths[service] = follow_depth(
                self._chain_depths.get(service, 0.0),
                min(load.chain_depth + 1, MAX_CHAIN_DEPTH),
            )
        mean = self._smoothed.get(service, 0.0)
        now = self._now()
        elapsed_s = now - self._recorded_at.get(service, now)
        weight = max(SMOOTHING, weight_after(elapsed_s, CALLEE_TIME_CONSTANT_S))
        self._smoothed[service] = mean + (load.pressure - mean) * weight
        self._recorded_at[service] = now

    @property
    def chain_depth(self) -> int:
        """Longest chain of calls below the backend server beside the node."""
        oldest = self._now() - CHAIN_DEPTH_MAX_AGE_S
        depths = [
            depth
            for service, depth in self._chain_depths.items()
            if self._recorded_at[service] > oldest
        ]
        return math.ceil(max(depths, default=0.0))

    def highest(self) -> Pressure:
        """Returns the highest pressure that is recent, 0 for none."""
        now = self._now()
        highest = Pressure(0.0, "")
        for service, pressure in self._smoothed.items():
            if now - self._recorded_at[service] >= MAX_AGE_S:
                continue
            if pressure > highest.ratio:
                highest = Pressure(
                    pressure, *self._bottlenecks.get(service, (service, 0.0))
                )
        return highest


class ServicePressure:
    """Pressure in the call chains of one service, as its gates report it."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Creates a pressure of 0 without reports."""
        #: Service that has this pressure, empty for none so far.
        self.bottleneck = ""
        #: Fraction of the calls of the bottleneck that could not end in time,
        #: as reported last.
        self.expired_ratio = 0.0
        self._now = now
        self._ratio = 0.0
        #: When a gate reported last; the first report replaces the pressure.
        self._recorded_at = -math.inf

    @property
    def ratio(self) -> float:
        """Smoothed pressure; it decays while no gate reports."""
        silent_s = self._now() - self._recorded_at - SILENCE_S
        if silent_s <= 0.0:
            return self._ratio
        return float(self._ratio * 0.5 ** (silent_s / HALF_LIFE_S))

    def record(self, reported: Pressure) -> None:
        """Records a report; its bottleneck is empty if it is too low."""
        if reported.bottleneck:
            self.bottleneck = reported.bottleneck
        self.expired_ratio = reported.expired_ratio
        now = self._now()
        elapsed_s = now - self._recorded_at
        smoothed = self.ratio
        self._ratio = smoothed + (reported.ratio - smoothed) * weight_after(
            elapsed_s, TIME_CONSTANT_S
        )
        self._recorded_at = now


class ServicePressures:
    """Pressures of all services that a node sends requests to."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Creates an instance without reports."""
        self._now = now
        self._by_service: dict[str, ServicePressure] = {}

    def of(self, service: str) -> ServicePressure:
        """Returns the pressure of a service; all callers share it."""
        pressure = self._by_service.get(service)
        if pressure is None:
            pressure = ServicePressure(self._now)
            self._by_service[service] = pressure
        return pressure
