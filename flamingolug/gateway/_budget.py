"""This node's share of the fleet's retry budget, for one service.

Only repeats that reach an upstream count; an attempt that a gate refused
before it arrived is free.
"""

from collections import deque
from collections.abc import Callable

from flamingolug.gateway import _model

#: Part of the fleet's ratio that one hop uses: a repeat high in a chain is
#: counted again at each of up to four services below it.
DEPTH_SHARE = 0.25
#: Part of the fleet's slack that the nodes share out in the same way.
SLACK_SHARE = 0.25


class RetryBudget:
    """Counts first arrivals and repeats in a sliding window."""

    def __init__(
        self, bounds: _model.RetryBounds, now: Callable[[], float]
    ) -> None:
        """Starts empty."""
        self._bounds = bounds
        self._now = now
        self._firsts: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def record_first_attempt(self) -> None:
        """Counts a request for the service."""
        self._firsts.append(self._now())

    def try_spend(self, nodes: int) -> bool:
        """Counts a repeat if it is within this node's share.

        Args:
            nodes: how many nodes share the budget.
        """
        now = self._now()
        since = now - self._bounds.window_s
        for times in (self._firsts, self._repeats):
            while times and times[0] < since:
                times.popleft()
        allowed = self._bounds.ratio * DEPTH_SHARE * len(
            self._firsts
        ) + self._bounds.slack * SLACK_SHARE / max(nodes, 1)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True
