"""The level that an upstream admits, told to the nodes that call it.

In a window in which work was shed for want of capacity, the cutoff drops to
the level below which the window's offers match what was started. In a window
without shedding it rises by a step that doubles each time, so that a flood's
end is noticed within about ten windows whatever the size of the shedding order.
"""

from collections.abc import Mapping
from typing import NamedTuple

#: Seconds between two updates of the cutoff.
WINDOW_S = 0.1
#: Work admitted over what was started, so that slots never idle.
HEADROOM = 1.1
#: First step, in levels, by which the cutoff rises.
FIRST_STEP = 2


class CutoffState(NamedTuple):
    """Cutoff of one upstream between two windows."""

    #: Highest level admitted.
    cutoff: int
    #: Levels by which the cutoff rises next.
    step: int


class Window(NamedTuple):
    """What one upstream saw in one window."""

    #: Calls offered, by level.
    offered: Mapping[int, int]
    #: Calls started on the backend server.
    started: int
    #: Calls shed because better work filled the slots and the wait.
    shed: int
    #: Whether calls are waiting now.
    waiting: bool


def next_cutoff(state: CutoffState, window: Window, top: int) -> CutoffState:
    """Returns the cutoff for the next window.

    Args:
        state: the current cutoff.
        window: what was seen since the last update.
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
