"""This node's part of the deployment-wide retry budget of one service.

Only attempts that reach an upstream count as retries; an offer that a gate
refuses does not use the budget.
"""

import bisect
import math
from collections import deque
from collections.abc import Callable

from flamingolug.gateway import _model

#: Fraction of the deployment's retries that the last hop of a call chain may
#: use, and the factor for each further hop above it. A retry is counted again
#: at each service further down, so the fractions of a whole chain must add up
#: to at most 1. The last hop gets most, since a retry there repeats one call
#: instead of all the work above it.
HOP_FRACTION = 0.5
#: Fraction of a window by which the earlier window begins whose requests count
#: if they are more: the calls of a service become fewer when it starts to fail.
WINDOW_SHIFT = 0.5
#: Fraction of the fractional parts of all nodes that rounding up may use; the
#: rest covers the random number of nodes that do.
ROUNDED_UP_FRACTION = 0.7


class RetryBudget:
    """Limits retries by the first attempts in a sliding window."""

    def __init__(
        self,
        bounds: _model.RetryBounds,
        now: Callable[[], float],
        rounding: float = 1.0,
    ) -> None:
        """Creates a budget without attempts.

        Args:
            bounds: limits for all nodes together.
            now: returns the clock reading in seconds.
            rounding: random number below 1 that decides whether what this node
                may use is rounded up. In a large fleet that is less than one
                retry in a window, so some nodes use one and the others none.
        """
        self._bounds = bounds
        self._now = now
        self._rounding = rounding
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_first_attempt(self) -> None:
        """Counts the first attempt of a request."""
        self._first_attempts.append(self._now())
        self._forget_old_attempts()

    def try_spend(self, nodes: int, chain_depth: int) -> bool:
        """Returns whether a retry is within the budget, and counts it if so.

        Args:
            nodes: number of nodes that divide the slack.
            chain_depth: longest chain of calls below the service.
        """
        now = self._now()
        window_s = self._bounds.window_s
        self._forget_old_attempts()
        _drop_before(now - window_s, self._retries)
        fraction = HOP_FRACTION ** (chain_depth + 1)
        allowed = fraction * (
            self._bounds.ratio * self._count_first_attempts(now)
            + self._bounds.slack / max(nodes, 1)
        )
        whole = math.floor(allowed)
        if self._rounding < ROUNDED_UP_FRACTION * (allowed - whole):
            whole += 1
        if len(self._retries) + 1 > whole:
            return False
        self._retries.append(now)
        return True

    def _forget_old_attempts(self) -> None:
        window_s = self._bounds.window_s
        _drop_before(
            self._now() - window_s * (1.0 + WINDOW_SHIFT),
            self._first_attempts,
        )

    def _count_first_attempts(self, now: float) -> int:
        """Returns the requests of this window or of the one half before it."""
        times = self._first_attempts
        window_s = self._bounds.window_s
        recent = bisect.bisect_left(times, now - window_s)
        shifted = bisect.bisect_left(times, now - window_s * WINDOW_SHIFT)
        return max(len(times) - recent, shifted)


def _drop_before(start: float, times: deque[float]) -> None:
    while times and times[0] < start:
        times.popleft()
