"""Cutoff: the highest level that an upstream admits.

An upstream reports its cutoff to the nodes that call it. After a window in
which calls were shed for lack of capacity, the cutoff drops to the level up to
which the calls offered in the window match the calls started. After a window
without shedding it rises by a step that at least doubles each time, so that it
recovers from an overload within about ten windows, whatever the size of the
shedding order.
"""

from collections.abc import Mapping
from typing import NamedTuple

#: Seconds between two updates of the cutoff.
WINDOW_S = 0.1
#: Ratio of admitted to started calls, above 1 so that slots never idle.
HEADROOM = 1.1
#: Levels by which the cutoff rises after the first window without shedding.
FIRST_STEP = 2


class CutoffState(NamedTuple):
    """State of one upstream's cutoff between two windows."""

    #: Highest level admitted.
    cutoff: int
    #: Levels by which the cutoff rises after a window without shedding.
    step: int


class CutoffWindow(NamedTuple):
    """Counts of calls at one upstream in one window."""

    #: Calls offered, by level.
    offered: Mapping[int, int]
    #: Calls started on the backend server.
    started: int
    #: Calls shed because more important ones filled the slots and the queue.
    shed: int
    #: Whether calls are queued at the end of the window.
    waiting: bool


def next_cutoff(
    state: CutoffState, window: CutoffWindow, top: int
) -> CutoffState:
    """Returns the cutoff for the next window.

    Args:
        state: the current cutoff.
        window: counts since the last update.
        top: one more than the highest level of the shedding order.
    """
    if window.shed == 0:
        raised = min(state.cutoff + state.step, top)
        factor = 2 if window.waiting else 4
        return CutoffState(raised, min(state.step * factor, top))
    target = max(window.started * HEADROOM, 1.0)
    total = 0
    for level in sorted(window.offered):
        total += window.offered[level]
        if total >= target:
            return CutoffState(min(level, state.cutoff), FIRST_STEP)
    return CutoffState(state.cutoff, FIRST_STEP)
