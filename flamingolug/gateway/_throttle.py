"""Refuses fresh requests of a kind whose work is mostly wasted below.

Pattern: adaptive admission share (multiplicative decrease on wasted work,
multiplicative increase without). A request that a deeper service will refuse
is refused at the entry, before any work is spent on it. What is refused here
does not count as failed, so that the share recovers within about three
seconds of the cause's end whatever the share was.
"""

import random
from collections.abc import Callable

#: Seconds between two changes of the share; some outcomes fall in each.
WINDOW_S = 0.25
#: Part of finished requests that may fail before the share falls. Single
#: upstreams that fail part of their requests stay below it.
TOLERATED_FAILING = 0.2
#: How far a window of nothing but failures lowers the share.
DECREASE = 0.5
#: Growth of the share in a window without too many failures.
INCREASE = 1.4
#: Least share: what is left probes for recovery.
MIN_SHARE = 0.03
#: Part of the outcomes seen that is kept from one window to the next.
KEPT = 0.85
#: Outcomes below which a ratio tells nothing and the share grows.
MIN_OUTCOMES = 1.5
#: How much likelier a request that has been refused before is admitted: its
#: caller has waited already and does not come a third time.
RETURNING_FACTOR = 3.0


class Throttle:
    """Share of the fresh requests of one kind that is admitted."""

    def __init__(self, now: Callable[[], float]) -> None:
        """Starts with everything admitted."""
        self.share = 1.0
        self._now = now
        self._window_ends = now() + WINDOW_S
        self._served = 0.0
        self._failed = 0.0

    def refuse(self, returning: bool, rng: random.Random) -> bool:
        """Returns whether a request is refused.

        Args:
            returning: whether it has been refused before.
            rng: decides which requests make up the share.
        """
        self._advance()
        share = self.share * (RETURNING_FACTOR if returning else 1.0)
        return share < 1.0 and rng.random() >= share

    def note(self, served: bool) -> None:
        """Counts a request on which an upstream has worked."""
        self._advance()
        if served:
            self._served += 1.0
        else:
            self._failed += 1.0

    def _advance(self) -> None:
        """Changes the share for each window that has ended."""
        now = self._now()
        if now > self._window_ends + 100 * WINDOW_S:
            # Nothing was asked for a long time.
            self.share = 1.0
            self._served = self._failed = 0.0
            self._window_ends = now + WINDOW_S
        while now >= self._window_ends:
            self._window_ends += WINDOW_S
            self._end_window()

    def _end_window(self) -> None:
        outcomes = self._served + self._failed
        failing = self._failed / outcomes if outcomes >= MIN_OUTCOMES else 0.0
        if failing > TOLERATED_FAILING:
            self.share = max(self.share * (1.0 - DECREASE * failing), MIN_SHARE)
        else:
            self.share = min(self.share * INCREASE, 1.0)
        self._served *= KEPT
        self._failed *= KEPT
