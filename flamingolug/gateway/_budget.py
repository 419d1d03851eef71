"""This node's part of the deployment-wide retry budget of one service.

Only attempts that reach an upstream count as retries; an offer that a gate
refuses does not use the budget.
"""

from collections import deque
from collections.abc import Callable

from flamingolug.gateway import _model

#: Fraction of the deployment's retry ratio that one hop may use: a retry near
#: the first node of a call chain is counted again at each of up to four
#: services further down.
HOP_FRACTION = 0.25
#: Fraction of the deployment's slack that one hop may use, for the same reason;
#: it is divided among the nodes.
SLACK_FRACTION = 0.25


class RetryBudget:
    """Limits retries by the first attempts in a sliding window."""

    def __init__(
        self, bounds: _model.RetryBounds, now: Callable[[], float]
    ) -> None:
        """Creates a budget without attempts."""
        self._bounds = bounds
        self._now = now
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_first_attempt(self) -> None:
        """Counts the first attempt of a request."""
        self._first_attempts.append(self._now())

    def try_spend(self, nodes: int) -> bool:
        """Returns whether a retry is within the budget, and counts it if so.

        Args:
            nodes: number of nodes that divide the slack.
        """
        now = self._now()
        window_start = now - self._bounds.window_s
        for times in (self._first_attempts, self._retries):
            while times and times[0] < window_start:
                times.popleft()
        allowed = self._bounds.ratio * HOP_FRACTION * len(
            self._first_attempts
        ) + self._bounds.slack * SLACK_FRACTION / max(nodes, 1)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True
