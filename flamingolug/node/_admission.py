"""The one ordered wait in front of a backend server.

Calls wait by level, lower first. When the wait is full the least important
call is refused, be it waiting or new. A call that cannot finish before its
deadline is refused at once. Nothing else queues in front of the backend
server: what is admitted gets one of its slots and one connection.
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

_STEP = "admission"
#: Weight of a new sample in running means.
_SMOOTHING = 0.1
#: Seconds added to the best own time, so that the jitter of very short calls
#: does not look like queueing.
_JITTER_S = 0.003
#: Factor by which the best own time grows per window, to forget old bests.
_BEST_DRIFT = 1.005
#: Held time over the best one from which a kind counts as slow.
SLOW_FACTOR = 3.0
#: Slots kept from slow kinds, over what the other kinds need on average. Slow
#: work must not keep the slots from work that does not wait as it does.
RESERVE_FACTOR = 2.0
#: Part of the slots that is kept from slow kinds at most.
MAX_RESERVE_SHARE = 0.5


class _Waiter:
    """One call in the wait; ordered by level, then by arrival."""

    def __init__(
        self, kind: str, level: int, sequence: int, deadline: float
    ) -> None:
        self.kind = kind
        self.level = level
        self.key = (level, sequence)
        self.deadline = deadline
        self.granted: event.AsyncResult[bool] = event.AsyncResult()

    def __lt__(self, other: "_Waiter") -> bool:
        return self.key < other.key


class KindTimes:
    """Running times of one kind at one backend server, in seconds."""

    def __init__(self, expected_s: float) -> None:
        """Starts from the manifest's expectation."""
        self.running = 0
        #: Calls offered in the current window.
        self.offered = 0
        self.held_s = expected_s
        self.best_held_s = float("inf")
        self.best_own_s = float("inf")

    def is_slow(self) -> bool:
        """Returns whether calls hold their slots far longer than usual.

        The cause is a slow service below as a rule; the limit sees own time
        only and does not react to it.
        """
        return self.held_s > SLOW_FACTOR * (self.best_held_s + _JITTER_S)

    def record(self, held_s: float, own_s: float) -> float:
        """Takes in one call; returns its own time over the best one."""
        self.held_s += _SMOOTHING * (held_s - self.held_s)
        self.best_own_s = min(self.best_own_s, own_s)
        self.best_held_s = min(self.best_held_s, held_s)
        return own_s / (self.best_own_s + _JITTER_S)


class Admission:
    """Slots, wait and cutoff of the backend server beside this node."""

    def __init__(
        self,
        limit: policy.LimitState,
        top: int,
        now: Callable[[], float],
        rank_of: Callable[[int], int] = lambda level: 0,
    ) -> None:
        """Starts empty.

        Args:
            limit: limit to begin with.
            top: one more than the highest level of the shedding order.
            now: monotonic clock.
            rank_of: returns the urgency rank of a level.
        """
        #: Waiting calls that were shed although work of a less urgent rank
        #: was started after they came.
        self.inversions = 0
        self._rank_of = rank_of
        self._last_started: dict[int, int] = {}
        self.limit = limit
        self.running = 0
        self._top = top
        self._cutoff = policy.CutoffState(top, top)
        self._now = now
        self._sequence = itertools.count()
        self._waiting: Any = sortedcontainers.SortedList()
        self._held_s = 0.0
        self._times: dict[str, KindTimes] = {}
        self._offered: dict[int, int] = {}
        self._started = 0
        self._shed = 0
        self._inflations: list[float] = []
        self._used_up = False
        self._need = 0.0
        self._reserve = 0

    @property
    def cutoff(self) -> int:
        """Highest level admitted."""
        return self._cutoff.cutoff

    @property
    def waiting(self) -> int:
        """Calls that wait."""
        return len(self._waiting)

    def set_top(self, top: int) -> None:
        """Starts over with another order: everything is admitted again."""
        self._top = top
        self._cutoff = policy.CutoffState(top, top)
        self._offered.clear()

    def enter(
        self, kind: str, level: int, deadline: float, expected_s: float
    ) -> None:
        """Waits for a slot; `leave` gives it back.

        Args:
            kind: kind of the call.
            level: its shedding level.
            deadline: monotonic seconds.
            expected_s: slot seconds that the manifest expects.

        Raises:
            RefusedError: shed, or too late to finish in time.
        """
        self._offered[level] = self._offered.get(level, 0) + 1
        times = self._times.setdefault(kind, KindTimes(expected_s))
        times.offered += 1
        if self._held_s == 0.0:
            self._held_s = expected_s
        if self._now() + times.held_s > deadline:
            raise errors.RefusedError(telemetry.Refusal.DEADLINE, step=_STEP)
        if not self._waiting and self._has_slot(times):
            self._start(kind, level)
            return
        self._used_up = True
        self._wait(kind, level, deadline)

    def refuse_if_full(self, level: int) -> bool:
        """Returns whether a call of `level` would be shed at once.

        It costs a fraction of entering, and counts as a call shed.
        """
        capacity = policy.wait_capacity(int(self.limit.limit), self._held_s)
        if len(self._waiting) < capacity:
            return False
        if level < self._waiting[-1].level:
            return False
        self._offered[level] = self._offered.get(level, 0) + 1
        self._shed += 1
        return True

    def leave(self, kind: str, held_s: float, own_s: float | None) -> None:
        """Gives back a slot.

        Args:
            kind: kind of the call.
            held_s: seconds that it held the slot.
            own_s: the same without waits for calls of its own, None when the
                call tells nothing of the backend server's speed.
        """
        times = self._times[kind]
        self.running -= 1
        times.running -= 1
        if own_s is not None:
            self._held_s += _SMOOTHING * (held_s - self._held_s)
            self._inflations.append(times.record(held_s, own_s))
        self._grant()

    def update_cutoff(self) -> None:
        """Ends a cutoff window."""
        self._refuse_late()
        self._update_reserve()
        window = policy.Window(
            self._offered, self._started, self._shed, bool(self._waiting)
        )
        self._cutoff = policy.next_cutoff(self._cutoff, window, self._top)
        self._offered = {}
        self._started = 0
        self._shed = 0

    def update_limit(self) -> None:
        """Ends a limit window."""
        inflation: float | None = None
        if self._inflations:
            inflation = sum(self._inflations) / len(self._inflations)
        self.limit = policy.next_limit(self.limit, inflation, self._used_up)
        for times in self._times.values():
            times.best_own_s *= _BEST_DRIFT
            times.best_held_s *= _BEST_DRIFT
        self._inflations = []
        self._used_up = self.running >= int(self.limit.limit)
        self._grant()

    def _has_slot(self, times: KindTimes) -> bool:
        """Returns whether a call of a kind may start now."""
        limit = int(self.limit.limit)
        if self.running >= limit:
            return False
        if not times.is_slow():
            return True
        slow = sum(
            each.running for each in self._times.values() if each.is_slow()
        )
        return slow < max(limit - self._reserve, 1)

    def _update_reserve(self) -> None:
        """Sets how many slots are kept from slow kinds.

        By Little's law the other kinds need rate times held time on average.
        """
        need = 0.0
        for times in self._times.values():
            if not times.is_slow():
                need += times.offered / policy.CUTOFF_WINDOW_S * times.held_s
            times.offered = 0
        self._need += _SMOOTHING * (need - self._need)
        most = int(self.limit.limit * MAX_RESERVE_SHARE)
        self._reserve = min(math.ceil(RESERVE_FACTOR * self._need), most)

    def _start(self, kind: str, level: int) -> None:
        self.running += 1
        self._times[kind].running += 1
        self._started += 1
        self._last_started[self._rank_of(level)] = next(self._sequence)
        if self.running >= int(self.limit.limit):
            self._used_up = True

    def _wait(self, kind: str, level: int, deadline: float) -> None:
        """Waits in order until granted or refused."""
        waiter = _Waiter(kind, level, next(self._sequence), deadline)
        expected_s = self._times[kind].held_s
        limit = int(self.limit.limit)
        ahead = self._waiting.bisect_left(waiter)
        wait_s = policy.predict_wait_s(ahead, limit, self._held_s)
        if self._now() + wait_s + expected_s > deadline:
            self._shed += 1
            raise errors.RefusedError(telemetry.Refusal.DEADLINE, step=_STEP)
        self._waiting.add(waiter)
        if len(self._waiting) > policy.wait_capacity(limit, self._held_s):
            self._shed += 1
            self._refuse(self._waiting.pop(), telemetry.Refusal.SHED)
        self._grant()
        try:
            waiter.granted.get()
        except BaseException:
            self._abandon(waiter)
            raise

    def _abandon(self, waiter: _Waiter) -> None:
        """Takes a call out of the wait, or gives its slot back."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif waiter.granted.successful():
            self.running -= 1
            self._times[waiter.kind].running -= 1
            self._grant()

    def _grant(self) -> None:
        """Starts waiting calls, in order, while slots are free."""
        if self.running >= int(self.limit.limit):
            return
        for waiter in list(self._waiting):
            times = self._times[waiter.kind]
            if not self._has_slot(times):
                if self.running >= int(self.limit.limit):
                    return
                continue
            self._waiting.remove(waiter)
            if self._now() + times.held_s > waiter.deadline:
                self._shed += 1
                self._refuse(waiter, telemetry.Refusal.DEADLINE)
                continue
            self._start(waiter.kind, waiter.level)
            waiter.granted.set(True)

    def _refuse_late(self) -> None:
        """Refuses waiting calls that can no longer finish in time."""
        now = self._now()
        for waiter in list(self._waiting):
            expected_s = self._times[waiter.kind].held_s
            if now + expected_s <= waiter.deadline:
                continue
            self._waiting.remove(waiter)
            self._shed += 1
            self._refuse(waiter, telemetry.Refusal.DEADLINE)

    def _refuse(self, waiter: _Waiter, reason: telemetry.Refusal) -> None:
        rank = self._rank_of(waiter.level)
        came = waiter.key[1]
        for other, started in self._last_started.items():
            if other > rank and started > came:
                self.inversions += 1
                break
        waiter.granted.set_exception(errors.RefusedError(reason, step=_STEP))
