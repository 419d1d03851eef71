"""Adaptive concurrency limit of one backend server.

The limit falls while calls take much longer than the lowest own time seen for
their kind, and otherwise rises when it is reached. Own time excludes the time
in which the backend server waits for called services, so that a slow called
service does not lower the limit.
"""

from typing import NamedTuple

#: Seconds between two updates of the limit.
WINDOW_S = 0.2
#: Ratio of own time to lowest own time above which calls queue inside the
#: backend server.
TOLERATED_LATENCY_RATIO = 1.6
#: Factor on the limit when calls queue inside the backend server.
DECREASE = 0.85
#: Factor on the limit while it is reached and no calls queue inside.
INCREASE = 1.25
#: Initial limit of a newly announced backend server as a fraction of its
#: ceiling.
INITIAL_LIMIT_FRACTION = 0.25
#: Minimum of the initial limit, in calls, unless the ceiling is lower.
MIN_INITIAL_LIMIT = 2.0


class LimitState(NamedTuple):
    """Limit of one backend server."""

    #: Maximum number of calls in flight; only the integer part is used.
    limit: float
    #: Upper bound of the limit, the smaller of declared slots and connections.
    ceiling: int


def initial_limit(slots: int, connections: int) -> LimitState:
    """Returns the limit of a newly announced backend server."""
    ceiling = max(min(slots, connections), 1)
    initial = max(ceiling * INITIAL_LIMIT_FRACTION, MIN_INITIAL_LIMIT)
    return LimitState(min(initial, float(ceiling)), ceiling)


def next_limit(
    state: LimitState, latency_ratio: float | None, saturated: bool
) -> LimitState:
    """Returns the limit for the next window.

    Args:
        state: the current limit.
        latency_ratio: mean ratio of own time to lowest own time in this window,
            None when no call finished.
        saturated: whether the limit was reached in this window.
    """
    if latency_ratio is None:
        return state
    if latency_ratio > TOLERATED_LATENCY_RATIO:
        return state._replace(limit=max(state.limit * DECREASE, 1.0))
    if not saturated:
        return state
    increased = max(state.limit * INCREASE, state.limit + 1.0)
    return state._replace(limit=min(increased, float(state.ceiling)))
