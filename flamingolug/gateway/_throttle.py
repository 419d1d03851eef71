"""Refuses fresh requests of a kind that mostly fail below.

Pattern: client-side adaptive throttling. A request that a deeper service
will refuse is refused at the entry, before any work is spent on it.
"""

import random
from collections.abc import Callable

#: Requests admitted for each that succeeded; the rest of the requests probes
#: for recovery.
ADMIT_RATIO = 1.6
#: Time over which half of what was seen is forgotten, seconds.
HALF_LIFE_S = 2.0
#: Requests below which nothing is refused, since a ratio of few means little.
MIN_REQUESTS = 8.0


class Throttle:
    """Recent requests and successes of one kind of work."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts without a history."""
        self._now = now
        self._at = now()
        self._requests = 0.0
        self._successes = 0.0

    def refuse(self, rng: random.Random) -> bool:
        """Returns whether a request is refused; a refusal counts as failed."""
        self._decay()
        requests = self._requests
        excess = requests - ADMIT_RATIO * self._successes
        refused = (
            requests >= MIN_REQUESTS
            and excess > 0.0
            and rng.random() < excess / (requests + 1.0)
        )
        if refused:
            self._requests += 1.0
        return refused

    def note(self, served: bool) -> None:
        """Counts a finished request."""
        self._decay()
        self._requests += 1.0
        if served:
            self._successes += 1.0

    def _decay(self) -> None:
        now = self._now()
        factor = 0.5 ** ((now - self._at) / HALF_LIFE_S)
        self._at = now
        self._requests *= factor
        self._successes *= factor
