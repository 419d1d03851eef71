"""Pressure of the services that the backend server beside the node calls.

Each gate tells the highest pressure of its own upstream and of what that
calls, so that a shortage deep in a chain is known at the entry.
"""

from collections.abc import Callable

#: Weight of a new report; with a hundred calls a second the mean follows
#: within a twentieth of a second.
SMOOTHING = 0.2
#: Age in seconds at which a report says nothing any more.
MAX_AGE_S = 1.0


class CalleePressure:
    """Mean pressure of each called service."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts without reports."""
        self._now = now
        self._means: dict[str, float] = {}
        self._told_at: dict[str, float] = {}

    def record(self, service: str, pressure: float) -> None:
        """Takes in the pressure that a result tells."""
        mean = self._means.get(service, 0.0)
        self._means[service] = mean + (pressure - mean) * SMOOTHING
        self._told_at[service] = self._now()

    def highest(self) -> float:
        """Returns the highest pressure told lately."""
        now = self._now()
        highest = 0.0
        for service, pressure in self._means.items():
            if now - self._told_at[service] < MAX_AGE_S:
                highest = max(highest, pressure)
        return highest
