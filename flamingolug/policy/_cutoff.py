"""Cutoff: the highest shedding level that an upstream admits.

The shedding order assigns a level to each call; a lower level is more
important. An upstream reports its cutoff to the nodes that call it. After a
window in which calls were shed for lack of capacity, the cutoff drops to the
level up to which the calls offered in the window reach 1.1 times the calls
started; it stays if fewer were offered. After a window without shedding it
rises by a step that doubles each time while calls are queued and quadruples
otherwise. The number of windows until it has recovered from an overload
therefore grows only with the logarithm of the number of levels: at most 9
windows for 512 levels and 16 for 100,000.
"""

from collections.abc import Mapping
from typing import NamedTuple

#: Seconds between two updates of the cutoff.
WINDOW_S = 0.1
#: Ratio of the calls to admit to those started, above 1 so that slots never
#: idle.
HEADROOM = 1.1
#: Levels by which the cutoff rises after the first window without shedding.
FIRST_STEP = 2


class CutoffState(NamedTuple):
    """State of one upstream's cutoff between two windows."""

    #: Highest level admitted; the number of levels if all are admitted.
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
    state: CutoffState, window: CutoffWindow, level_count: int
) -> CutoffState:
    """Returns the cutoff for the next window.

    Args:
        state: the current cutoff.
        window: counts since the last update.
        level_count: number of shedding levels; as a cutoff it admits all of
            them.
    """
    if window.shed == 0:
        raised = min(state.cutoff + state.step, level_count)
        factor = 2 if window.waiting else 4
        return CutoffState(raised, min(state.step * factor, level_count))
    target = max(window.started * HEADROOM, 1.0)
    total = 0
    for level in sorted(window.offered):
        total += window.offered[level]
        if total >= target:
            return CutoffState(min(level, state.cutoff), FIRST_STEP)
    return CutoffState(state.cutoff, FIRST_STEP)
