"""Concurrency slots of one upstream and the queue in front of them.

Pattern: bounded priority queue with deadlines. Nested calls of a rank go
before the other calls of that rank, since work has already been spent on the
requests that make them. A waiting call is refused as soon as it can no longer
finish in time.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple

from flamingolug.gateway import _model

#: Number of ranks that a load report distinguishes; less urgent ranks are
#: counted with the last one.
REPORTED_RANKS = 4
#: Fraction of the mean hold time that must remain before the deadline when a
#: call starts; about one call in ten takes less than this fraction of the mean.
MIN_REMAINING_FRACTION = 0.5
#: Weight of a new sample in the mean hold time.
HOLD_SMOOTHING = 0.05
#: Weight of a new sample in the fraction of calls that could not end in time.
EXPIRED_SMOOTHING = 0.05
#: Hold time assumed before the first call has finished, seconds.
INITIAL_HOLD_S = 0.1


class Ticket:
    """State of one call at the gate."""

    def __init__(self, call: _model.Call, nested: bool = False) -> None:
        """Creates a ticket that is neither waiting nor running.

        Args:
            call: the call.
            nested: whether a running request of a backend server waits for
                the call.
        """
        self.call = call
        self.nested = nested
        self.waiting = False
        self.running = False
        self.cancelled = False
        #: Whether the call runs without a slot, because the upstream neither
        #: runs nor queues it.
        self.detached = False
        #: Whether the exchange was ended because the upstream lost the call.
        self.hung = False
        self.started_at = 0.0
        #: Called when the wait ends: with True if the call starts, with False
        #: if it is refused.
        self.on_decision: Callable[[bool], None] = _ignore_decision
        #: Aborts the exchange with the backend server.
        self.stop: Callable[[], None] = _do_nothing


def _ignore_decision(granted: bool) -> None:
    del granted


def _do_nothing() -> None:
    pass


class _QueueEntry(NamedTuple):
    key: tuple[int, int, int]
    ticket: Ticket


class Slots:
    """Limits the running calls of one upstream and queues the others."""

    def __init__(
        self,
        limit: int,
        now: Callable[[], float],
        slowness: Callable[[], float] = lambda: 1.0,
    ) -> None:
        """Creates slots that are all free.

        Args:
            limit: number of calls that may run at once.
            now: clock, in seconds.
            slowness: returns the factor by which calls take longer than usual
                now.
        """
        self.limit = limit
        self.running = 0
        #: Mean time for which a call holds a slot at a slowness of 1, seconds.
        self.usual_hold_s = INITIAL_HOLD_S
        #: Number of waiting calls by rank.
        self.waiting_by_rank = [0] * REPORTED_RANKS
        #: Smoothed fraction of calls that were refused because they could not
        #: start or end in time.
        self.expired_ratio = 0.0
        self._now = now
        self._slowness = slowness
        self._queue: list[_QueueEntry] = []
        self._sequence_numbers = itertools.count()

    @property
    def hold_s(self) -> float:
        """Mean time for which a call that starts now holds a slot, seconds."""
        return self.usual_hold_s * self._slowness()

    def try_start(self, ticket: Ticket) -> bool | None:
        """Starts, queues or refuses a call.

        Returns:
            True when the call starts at once, None when it waits
            (`on_decision` is called later), False when it is refused.
        """
        now = self._now()
        call = ticket.call
        if call.deadline - now < self.hold_s * MIN_REMAINING_FRACTION:
            self._record_decision(expired=True)
            return False
        if self.running < self.limit and not self._queue:
            self._start(ticket, now)
            return True
        wait_s = self.expected_wait_s(call.rank, ticket.nested)
        start_by = min(
            call.wait_until,
            call.deadline - self.hold_s * MIN_REMAINING_FRACTION,
        )
        if now + wait_s > start_by:
            self._record_decision(expired=True)
            return False
        ticket.waiting = True
        self.waiting_by_rank[min(call.rank, REPORTED_RANKS - 1)] += 1
        key = (
            call.rank,
            0 if ticket.nested else 1,
            next(self._sequence_numbers),
        )
        heapq.heappush(self._queue, _QueueEntry(key, ticket))
        return None

    def expected_wait_s(self, rank: int, nested: bool) -> float:
        """Returns how long a new call of this rank would wait, seconds."""
        if self.running < self.limit and not self._queue:
            return 0.0
        ahead = sum(self.waiting_by_rank[: min(rank, REPORTED_RANKS - 1) + 1])
        if nested:
            ahead = sum(self.waiting_by_rank[: min(rank, REPORTED_RANKS - 1)])
            # Half of the waiting calls of this rank are assumed to be nested.
            ahead += self.waiting_by_rank[min(rank, REPORTED_RANKS - 1)] // 2
        return (ahead + 1) * self.hold_s / max(self.limit, 1)

    def release(self, ticket: Ticket, is_sample: bool) -> None:
        """Frees the slot of a call and starts waiting calls.

        Args:
            ticket: a ticket that was started.
            is_sample: whether its hold time counts in the mean.
        """
        now = self._now()
        ticket.running = False
        if ticket.detached:
            return
        self.running -= 1
        if is_sample:
            usual_s = (now - ticket.started_at) / self._slowness()
            self.usual_hold_s += (usual_s - self.usual_hold_s) * HOLD_SMOOTHING
        self.start_queued_calls()

    def detach(self, ticket: Ticket) -> None:
        """Frees the slot of a call whose outcome is still awaited."""
        if not ticket.running or ticket.detached:
            return
        ticket.detached = True
        self.running -= 1
        self.start_queued_calls()

    def start_queued_calls(self) -> None:
        """Starts waiting calls while slots are free."""
        now = self._now()
        while self._queue and self.running < self.limit:
            ticket = heapq.heappop(self._queue).ticket
            if not ticket.waiting:
                continue
            self._remove_waiting(ticket)
            min_remaining_s = self.hold_s * MIN_REMAINING_FRACTION
            if ticket.call.deadline - now < min_remaining_s:
                self._record_decision(expired=True)
                ticket.on_decision(False)
                continue
            self._start(ticket, now)
            ticket.on_decision(True)

    def cancel(self, ticket: Ticket) -> None:
        """Removes a waiting call from the queue and refuses it."""
        if ticket.waiting:
            self._remove_waiting(ticket)
            ticket.on_decision(False)

    def refuse_expired(self) -> None:
        """Refuses waiting calls that can no longer start in time."""
        now = self._now()
        min_remaining_s = self.hold_s * MIN_REMAINING_FRACTION
        remaining: list[_QueueEntry] = []
        expired: list[Ticket] = []
        for entry in self._queue:
            ticket = entry.ticket
            if not ticket.waiting:
                continue
            call = ticket.call
            if now > min(call.wait_until, call.deadline - min_remaining_s):
                expired.append(ticket)
                continue
            remaining.append(entry)
        if len(remaining) != len(self._queue):
            heapq.heapify(remaining)
            self._queue = remaining
        for ticket in expired:
            self._remove_waiting(ticket)
            self._record_decision(expired=True)
            ticket.on_decision(False)

    def refuse_all(self) -> None:
        """Refuses every waiting call."""
        queue, self._queue = self._queue, []
        for entry in queue:
            if entry.ticket.waiting:
                self._remove_waiting(entry.ticket)
                entry.ticket.on_decision(False)

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.running = True
        ticket.started_at = now
        self.running += 1
        self._record_decision(expired=False)

    def _record_decision(self, expired: bool) -> None:
        """Counts a call that started, or that could not end in time."""
        sample = 1.0 if expired else 0.0
        self.expired_ratio += (sample - self.expired_ratio) * EXPIRED_SMOOTHING

    def _remove_waiting(self, ticket: Ticket) -> None:
        ticket.waiting = False
        self.waiting_by_rank[min(ticket.call.rank, REPORTED_RANKS - 1)] -= 1
