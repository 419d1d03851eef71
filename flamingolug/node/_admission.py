"""Admission control with a priority queue in front of a backend server.

Calls are queued by shedding level, lower levels first. When the queue is full,
the least important call is refused, whether it is queued or new. A call that
cannot finish before its deadline is refused immediately. There is no other
queue in front of the backend server: each admitted call gets one slot and one
connection.
"""

import itertools
import math
from collections.abc import Callable
from typing import Any

import sortedcontainers
from gevent import event

from flamingolug import errors
from flamingolug import policy
from flamingolug import telemetry

#: Step reported in refusals: the part of the node that refused the call.
_STEP = "admission"
#: Weight of a new sample in exponentially weighted moving averages.
_SMOOTHING = 0.1
#: Seconds added to a minimum time before other times are compared with it, so
#: that the jitter of very short calls is not taken for queueing.
_JITTER_S = 0.003
#: Factor by which the minimum times grow at each `update_limit`, so that old
#: minima expire.
_MINIMUM_GROWTH = 1.005
#: Ratio of mean to minimum slot time above which a kind counts as slow.
SLOW_FACTOR = 3.0
#: Ratio of the slots reserved for kinds that are not slow to the slots that
#: these kinds occupy on average. Calls of slow kinds must not take all slots
#: from calls that do not wait for the slow service.
RESERVE_FACTOR = 2.0
#: Maximum fraction of the limit that is reserved for kinds that are not slow.
MAX_RESERVE_FRACTION = 0.5


class _Waiter:
    """A queued call; ordered by level, then by arrival."""

    def __init__(
        self, kind: str, level: int, sequence: int, deadline: float
    ) -> None:
        self.kind = kind
        self.level = level
        self.sort_key = (level, sequence)
        self.deadline = deadline
        self.decision: event.AsyncResult[bool] = event.AsyncResult()

    def __lt__(self, other: "_Waiter") -> bool:
        return self.sort_key < other.sort_key


class KindStats:
    """Call counts and times of one kind at one backend server.

    The slot time of a call is how long it occupies its slot. Its self time
    excludes the time in which its child calls are in progress. Times are in
    seconds.
    """

    def __init__(self, expected_s: float) -> None:
        """Starts with the slot time that the manifest expects."""
        #: Calls that occupy a slot.
        self.running = 0
        #: Calls offered in the current cutoff window.
        self.offered = 0
        self.mean_slot_time_s = expected_s
        self.min_slot_time_s = float("inf")
        self.min_self_time_s = float("inf")

    def is_slow(self) -> bool:
        """Returns whether calls occupy their slots far longer than usual.

        The usual cause is a slow called service. The concurrency limit does
        not react to it, because the limit depends on self time only.
        """
        return self.mean_slot_time_s > SLOW_FACTOR * (
            self.min_slot_time_s + _JITTER_S
        )

    def record(self, slot_time_s: float, self_time_s: float) -> float:
        """Records a completed call.

        Returns:
            The ratio of its self time to the minimum self time.
        """
        self.mean_slot_time_s += _SMOOTHING * (
            slot_time_s - self.mean_slot_time_s
        )
        self.min_self_time_s = min(self.min_self_time_s, self_time_s)
        self.min_slot_time_s = min(self.min_slot_time_s, slot_time_s)
        return self_time_s / (self.min_self_time_s + _JITTER_S)


class Admission:
    """Slots, queue and cutoff of the backend server beside this node."""

    def __init__(
        self,
        limit: policy.LimitState,
        level_count: int,
        now: Callable[[], float],
        rank_of: Callable[[int], int] = lambda level: 0,
    ) -> None:
        """Starts without calls and with a cutoff above every level.

        Args:
            limit: the initial concurrency limit.
            level_count: one more than the highest level of the shedding order.
            now: monotonic clock.
            rank_of: returns the urgency rank of a level; a lower rank is more
                urgent.
        """
        #: Number of queued calls that were refused although a call of a less
        #: urgent rank started after they arrived.
        self.inversions = 0
        self._rank_of = rank_of
        #: Sequence number of the latest start, by urgency rank; used to count
        #: inversions.
        self._last_started: dict[int, int] = {}
        self.limit = limit
        self.running = 0
        self._level_count = level_count
        self._cutoff = policy.CutoffState(level_count, level_count)
        self._now = now
        self._sequence = itertools.count()
        self._waiting: Any = sortedcontainers.SortedList()
        self._mean_slot_time_s = 0.0
        self._stats: dict[str, KindStats] = {}
        self._offered: dict[int, int] = {}
        self._started = 0
        self._shed = 0
        self._self_time_ratios: list[float] = []
        self._saturated = False
        self._slot_demand = 0.0
        self._reserved_slots = 0

    @property
    def cutoff(self) -> int:
        """The highest level that other nodes should send here.

        `acquire` does not check it.
        """
        return self._cutoff.cutoff

    @property
    def waiting(self) -> int:
        """The number of queued calls."""
        return len(self._waiting)

    def reset_cutoff(self, level_count: int) -> None:
        """Sets the cutoff above every level, for a new shedding order."""
        self._level_count = level_count
        self._cutoff = policy.CutoffState(level_count, level_count)
        self._offered.clear()

    def acquire(
        self, kind: str, level: int, deadline: float, expected_s: float
    ) -> None:
        """Acquires a slot, waiting in the queue if necessary.

        Return the slot with `release`.

        Args:
            kind: kind of the call.
            level: its shedding level.
            deadline: its deadline, in seconds of the monotonic clock.
            expected_s: the slot time that the manifest expects, in seconds.

        Raises:
            RefusedError: the call was shed, or cannot finish before its
                deadline.
        """
        self._offered[level] = self._offered.get(level, 0) + 1
        stats = self._stats.setdefault(kind, KindStats(expected_s))
        stats.offered += 1
        if self._mean_slot_time_s == 0.0:
            self._mean_slot_time_s = expected_s
        if self._now() + stats.mean_slot_time_s > deadline:
            raise errors.RefusedError(telemetry.Refusal.DEADLINE, step=_STEP)
        if not self._waiting and self._can_start(stats):
            self._record_start(kind, level)
            return
        self._saturated = True
        self._wait_for_slot(kind, level, deadline)

    def refuse_if_full(self, level: int) -> bool:
        """Returns whether a call of `level` would be shed immediately.

        If so, the call counts as shed. This check is much cheaper than
        `acquire`.
        """
        capacity = policy.queue_capacity(
            int(self.limit.limit), self._mean_slot_time_s
        )
        if len(self._waiting) < capacity:
            return False
        if level < self._waiting[-1].level:
            return False
        self._offered[level] = self._offered.get(level, 0) + 1
        self._shed += 1
        return True

    def release(
        self, kind: str, slot_time_s: float, self_time_s: float | None
    ) -> None:
        """Releases a slot and starts queued calls.

        Args:
            kind: kind of the call.
            slot_time_s: how long the call occupied the slot, in seconds.
            self_time_s: the same without the time in which child calls were
                in progress. None when the call was not answered; its times are
                then not recorded.
        """
        stats = self._stats[kind]
        self.running -= 1
        stats.running -= 1
        if self_time_s is not None:
            self._mean_slot_time_s += _SMOOTHING * (
                slot_time_s - self._mean_slot_time_s
            )
            self._self_time_ratios.append(
                stats.record(slot_time_s, self_time_s)
            )
        self._start_waiting()

    def update_cutoff(self) -> None:
        """Ends a cutoff window.

        Refuses queued calls that can no longer meet their deadlines, updates
        the reserved slots and computes the next cutoff.
        """
        self._refuse_expired()
        self._update_reserved_slots()
        window = policy.CutoffWindow(
            self._offered, self._started, self._shed, bool(self._waiting)
        )
        self._cutoff = policy.next_cutoff(
            self._cutoff, window, self._level_count
        )
        self._offered = {}
        self._started = 0
        self._shed = 0

    def update_limit(self) -> None:
        """Computes the concurrency limit for the next limit window."""
        mean_ratio: float | None = None
        if self._self_time_ratios:
            mean_ratio = sum(self._self_time_ratios) / len(
                self._self_time_ratios
            )
        self.limit = policy.next_limit(self.limit, mean_ratio, self._saturated)
        for stats in self._stats.values():
            stats.min_self_time_s *= _MINIMUM_GROWTH
            stats.min_slot_time_s *= _MINIMUM_GROWTH
        self._self_time_ratios = []
        self._saturated = self.running >= int(self.limit.limit)
        self._start_waiting()

    def _can_start(self, stats: KindStats) -> bool:
        """Returns whether a slot is free for a call of this kind."""
        limit = int(self.limit.limit)
        if self.running >= limit:
            return False
        if not stats.is_slow():
            return True
        slow_running = sum(
            each.running for each in self._stats.values() if each.is_slow()
        )
        return slow_running < max(limit - self._reserved_slots, 1)

    def _update_reserved_slots(self) -> None:
        """Sets how many slots are reserved for kinds that are not slow.

        By Little's law, these kinds occupy arrival rate times slot time on
        average.
        """
        demand = 0.0
        for stats in self._stats.values():
            if not stats.is_slow():
                demand += (
                    stats.offered
                    / policy.CUTOFF_WINDOW_S
                    * stats.mean_slot_time_s
                )
            stats.offered = 0
        self._slot_demand += _SMOOTHING * (demand - self._slot_demand)
        max_reserved = int(self.limit.limit * MAX_RESERVE_FRACTION)
        self._reserved_slots = min(
            math.ceil(RESERVE_FACTOR * self._slot_demand), max_reserved
        )

    def _record_start(self, kind: str, level: int) -> None:
        self.running += 1
        self._stats[kind].running += 1
        self._started += 1
        self._last_started[self._rank_of(level)] = next(self._sequence)
        if self.running >= int(self.limit.limit):
            self._saturated = True

    def _wait_for_slot(self, kind: str, level: int, deadline: float) -> None:
        """Queues a call and waits until it gets a slot or is refused."""
        waiter = _Waiter(kind, level, next(self._sequence), deadline)
        mean_slot_time_s = self._stats[kind].mean_slot_time_s
        limit = int(self.limit.limit)
        ahead = self._waiting.bisect_left(waiter)
        wait_s = policy.predict_wait_s(ahead, limit, self._mean_slot_time_s)
        if self._now() + wait_s + mean_slot_time_s > deadline:
            self._shed += 1
            raise errors.RefusedError(telemetry.Refusal.DEADLINE, step=_STEP)
        self._waiting.add(waiter)
        if len(self._waiting) > policy.queue_capacity(
            limit, self._mean_slot_time_s
        ):
            self._shed += 1
            self._refuse(self._waiting.pop(), telemetry.Refusal.SHED)
        self._start_waiting()
        try:
            waiter.decision.get()
        except BaseException:
            self._cancel(waiter)
            raise

    def _cancel(self, waiter: _Waiter) -> None:
        """Removes a cancelled call from the queue or releases its slot."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif waiter.decision.successful():
            self.running -= 1
            self._stats[waiter.kind].running -= 1
            self._start_waiting()

    def _start_waiting(self) -> None:
        """Starts queued calls in order while slots are free."""
        if self.running >= int(self.limit.limit):
            return
        for waiter in list(self._waiting):
            stats = self._stats[waiter.kind]
            if not self._can_start(stats):
                if self.running >= int(self.limit.limit):
                    return
                continue
            self._waiting.remove(waiter)
            if self._now() + stats.mean_slot_time_s > waiter.deadline:
                self._shed += 1
                self._refuse(waiter, telemetry.Refusal.DEADLINE)
                continue
            self._record_start(waiter.kind, waiter.level)
            waiter.decision.set(True)

    def _refuse_expired(self) -> None:
        """Refuses queued calls that can no longer meet their deadlines."""
        now = self._now()
        for waiter in list(self._waiting):
            mean_slot_time_s = self._stats[waiter.kind].mean_slot_time_s
            if now + mean_slot_time_s <= waiter.deadline:
                continue
            self._waiting.remove(waiter)
            self._shed += 1
            self._refuse(waiter, telemetry.Refusal.DEADLINE)

    def _refuse(self, waiter: _Waiter, reason: telemetry.Refusal) -> None:
        rank = self._rank_of(waiter.level)
        arrival_number = waiter.sort_key[1]
        for other_rank, start_number in self._last_started.items():
            if other_rank > rank and start_number > arrival_number:
                self.inversions += 1
                break
        waiter.decision.set_exception(errors.RefusedError(reason, step=_STEP))
