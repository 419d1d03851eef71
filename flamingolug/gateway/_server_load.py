"""Load that the backend server beside the node reports with its responses.

A report is a hint. A backend server may report wrong figures, so no report
alone decides whether a call runs: the slowness that it states only scales hold
times that the gate has measured, and its slots lower the gate's limit by three
quarters at most.
"""

from collections.abc import Callable
from typing import NamedTuple

#: Age at which a report is ignored, seconds. The slowness of a machine changes
#: several times a second.
MAX_AGE_S = 1.0
#: Range of the slowness that is used.
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 16.0
#: Weight of a new report in the smoothed slowness.
SLOWNESS_SMOOTHING = 0.3
#: Lowest fraction of the declared slots to which reports lower the limit.
MIN_SLOTS_FRACTION = 0.25
#: Seconds over which the lowest number of unaccounted calls is determined, and
#: the number of reports that this requires. A response that has not been read
#: yet counts as unaccounted only for a moment.
GAP_WINDOW_S = 0.25
MIN_GAP_REPORTS = 4


class ServerLoad(NamedTuple):
    """Load of a backend server at the time of a response."""

    #: Requests that it runs.
    running: int
    #: Requests in its own queue.
    waiting: int
    #: Requests that it can run at once.
    slots: int
    #: Factor by which work takes longer than usual on its machine now.
    slowness: float = 1.0


class LoadTracker:
    """Latest load of one incarnation of a backend server."""

    def __init__(self, now: Callable[[], float], declared_slots: int) -> None:
        """Creates a tracker without reports.

        Args:
            now: clock, in seconds.
            declared_slots: slots that the backend server declares to its node.
        """
        self._now = now
        self._declared_slots = declared_slots
        self._recorded_at = float("-inf")
        self._slowness = 1.0
        #: Slots in the latest report, at most the declared ones.
        self._slots = declared_slots
        self._unaccounted = 0
        self._window_ends = float("-inf")
        self._window_reports = 0
        self._lowest_gap = 0

    def record(self, load: ServerLoad, in_flight: int) -> str:
        """Records a report.

        Args:
            load: the report.
            in_flight: requests that the gate has sent and that are not
                answered, without the one whose response carries the report.

        Returns:
            Why the report is ignored, empty if it is used.
        """
        if load.running > load.slots or load.slots < 1:
            return "contradictory"
        if not MIN_SLOWNESS <= load.slowness <= MAX_SLOWNESS:
            return "out-of-range"
        now = self._now()
        if now - self._recorded_at >= MAX_AGE_S:
            self._slowness = load.slowness
        self._slowness += (load.slowness - self._slowness) * SLOWNESS_SMOOTHING
        self._slots = min(load.slots, self._declared_slots)
        self._record_gap(in_flight - load.running - load.waiting, now)
        self._recorded_at = now
        return ""

    def _record_gap(self, gap: int, now: float) -> None:
        if now - self._recorded_at >= MAX_AGE_S:
            self._unaccounted = 0
            self._window_ends = now
        if now >= self._window_ends:
            if self._window_reports >= MIN_GAP_REPORTS:
                self._unaccounted = max(self._lowest_gap, 0)
            self._window_ends = now + GAP_WINDOW_S
            self._window_reports = 0
            self._lowest_gap = gap
        self._window_reports += 1
        self._lowest_gap = min(self._lowest_gap, gap)

    @property
    def _recent(self) -> bool:
        return self._now() - self._recorded_at < MAX_AGE_S

    @property
    def slowness(self) -> float:
        """Factor by which work takes longer than usual, 1 if unknown."""
        return self._slowness if self._recent else 1.0

    @property
    def slots(self) -> int:
        """Slots to use: as reported, within bounds of the declared ones."""
        if not self._recent:
            return self._declared_slots
        floor = int(self._declared_slots * MIN_SLOTS_FRACTION)
        return max(self._slots, floor, 1)

    @property
    def unaccounted(self) -> int:
        """Calls in flight that the backend server neither runs nor queues.

        A lower bound, 0 if unknown.
        """
        return self._unaccounted if self._recent else 0
