"""Concurrency limit of one backend server, learned from its own calls.

The signal is the ratio of a call's own time to the best own time seen for its
kind; own time leaves out the time in which the backend server waited for
calls of its own, so that a slow service below does not shrink the limit here.
"""

from typing import NamedTuple

#: Seconds between two updates of the limit.
WINDOW_S = 0.2
#: Ratio of own time to best own time that shows hidden queueing.
TOLERATED_INFLATION = 1.6
#: Factor on the limit when queueing shows.
DECREASE = 0.85
#: Factor on the limit while it is used up and no queueing shows.
INCREASE = 1.25
#: Part of the declared slots that a cold backend server starts with.
COLD_START_SHARE = 0.25
#: Calls in flight that it starts with at least.
COLD_START_CALLS = 2.0


class LimitState(NamedTuple):
    """Limit of one backend server."""

    #: Calls in flight at most; the integer part counts.
    limit: float
    #: Slots and connections that it declared; the limit never passes it.
    ceiling: int


def initial_limit(slots: int, connections: int) -> LimitState:
    """Returns the limit of a backend server that has just announced itself."""
    ceiling = max(min(slots, connections), 1)
    first = max(ceiling * COLD_START_SHARE, COLD_START_CALLS)
    return LimitState(min(first, float(ceiling)), ceiling)


def next_limit(
    state: LimitState, inflation: float | None, used_up: bool
) -> LimitState:
    """Returns the limit for the next window.

    Args:
        state: the current limit.
        inflation: mean ratio of own time to best own time in this window,
            None when nothing finished.
        used_up: whether the limit was reached in this window.
    """
    if inflation is None:
        return state
    if inflation > TOLERATED_INFLATION:
        return state._replace(limit=max(state.limit * DECREASE, 1.0))
    if not used_up:
        return state
    grown = max(state.limit * INCREASE, state.limit + 1.0)
    return state._replace(limit=min(grown, float(state.ceiling)))
