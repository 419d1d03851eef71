"""Slots of one upstream and the ordered wait in front of them.

Pattern: bounded priority queue with deadlines. Nested calls of a rank go
before fresh requests of that rank, since the work of their parents is already
spent. A wait ends early, with a refusal, once the call can no longer finish
in time.
"""

import heapq
import itertools
from collections.abc import Callable
from typing import NamedTuple

from flamingolug.gateway import _model

#: Ranks that the load report tells apart; all further ones share the last.
REPORTED_RANKS = 4
#: Part of the mean hold time that must be left when a call is started; a
#: call takes less than this share of the mean in about one case of ten.
MIN_USEFUL_SHARE = 0.5
#: Weight of a new sample in the mean hold time.
HOLD_SMOOTHING = 0.05
#: Hold time assumed before the first call has finished, seconds.
FIRST_HOLD_S = 0.1


class Ticket:
    """One call at the gate."""

    def __init__(self, call: _model.Call, nested: bool = False) -> None:
        """Creates a ticket that is neither waiting nor running.

        Args:
            call: the call.
            nested: whether a running request of a backend server waits for
                it.
        """
        self.call = call
        self.nested = nested
        self.waiting = False
        self.running = False
        self.cancelled = False
        self.started_at = 0.0
        #: Called with True to start, with False when the wait has failed.
        self.on_decision: Callable[[bool], None] = _ignore
        #: Breaks off the exchange with the backend server.
        self.stop: Callable[[], None] = _do_nothing


def _ignore(granted: bool) -> None:
    del granted


def _do_nothing() -> None:
    pass


class _Queued(NamedTuple):
    key: tuple[int, int, int]
    ticket: Ticket


class Slots:
    """Decides which calls start, wait or are refused at one upstream."""

    def __init__(self, limit: int, now: Callable[[], float]) -> None:
        """Starts with all slots free."""
        self.limit = limit
        self.running = 0
        self.hold_s = FIRST_HOLD_S
        self.waiting = [0] * REPORTED_RANKS
        self._now = now
        self._queue: list[_Queued] = []
        self._sequence = itertools.count()

    def try_start(self, ticket: Ticket) -> bool | None:
        """Offers a call.

        Returns:
            True when it starts at once, None when it waits (`on_decision` is
            called later), False when it is refused.
        """
        now = self._now()
        call = ticket.call
        if call.deadline - now < self.hold_s * MIN_USEFUL_SHARE:
            return False
        if self.running < self.limit and not self._queue:
            self._start(ticket, now)
            return True
        wait_s = self.expected_wait_s(call.rank, ticket.nested)
        latest = min(
            call.wait_until, call.deadline - self.hold_s * MIN_USEFUL_SHARE
        )
        if now + wait_s > latest:
            return False
        ticket.waiting = True
        self.waiting[min(call.rank, REPORTED_RANKS - 1)] += 1
        key = (call.rank, 0 if ticket.nested else 1, next(self._sequence))
        heapq.heappush(self._queue, _Queued(key, ticket))
        return None

    def expected_wait_s(self, rank: int, nested: bool) -> float:
        """Returns the time that a new call of this rank would wait."""
        if self.running < self.limit and not self._queue:
            return 0.0
        ahead = sum(self.waiting[: min(rank, REPORTED_RANKS - 1) + 1])
        if nested:
            ahead = sum(self.waiting[: min(rank, REPORTED_RANKS - 1)])
            ahead += self.waiting[min(rank, REPORTED_RANKS - 1)] // 2
        return (ahead + 1) * self.hold_s / max(self.limit, 1)

    def release(self, ticket: Ticket, sample: bool) -> None:
        """Frees the slot of a call and starts those that wait.

        Args:
            ticket: a ticket that was started.
            sample: whether its time tells how long calls hold a slot.
        """
        now = self._now()
        ticket.running = False
        self.running -= 1
        if sample:
            held_s = now - ticket.started_at
            self.hold_s += (held_s - self.hold_s) * HOLD_SMOOTHING
        self.start_waiting()

    def start_waiting(self) -> None:
        """Starts waiting calls while slots are free."""
        now = self._now()
        while self._queue and self.running < self.limit:
            ticket = heapq.heappop(self._queue).ticket
            if not ticket.waiting:
                continue
            self._forget(ticket)
            useful_s = self.hold_s * MIN_USEFUL_SHARE
            if ticket.call.deadline - now < useful_s:
                ticket.on_decision(False)
                continue
            self._start(ticket, now)
            ticket.on_decision(True)

    def cancel(self, ticket: Ticket) -> None:
        """Takes a waiting call out; it never starts."""
        if ticket.waiting:
            self._forget(ticket)
            ticket.on_decision(False)

    def refuse_expired(self) -> None:
        """Refuses waiting calls whose wait has lasted too long."""
        now = self._now()
        useful_s = self.hold_s * MIN_USEFUL_SHARE
        kept: list[_Queued] = []
        late: list[Ticket] = []
        for queued in self._queue:
            ticket = queued.ticket
            if not ticket.waiting:
                continue
            call = ticket.call
            if now > min(call.wait_until, call.deadline - useful_s):
                late.append(ticket)
                continue
            kept.append(queued)
        if len(kept) != len(self._queue):
            heapq.heapify(kept)
            self._queue = kept
        for ticket in late:
            self._forget(ticket)
            ticket.on_decision(False)

    def refuse_all(self) -> None:
        """Refuses every waiting call."""
        queue, self._queue = self._queue, []
        for queued in queue:
            if queued.ticket.waiting:
                self._forget(queued.ticket)
                queued.ticket.on_decision(False)

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.running = True
        ticket.started_at = now
        self.running += 1

    def _forget(self, ticket: Ticket) -> None:
        ticket.waiting = False
        self.waiting[min(ticket.call.rank, REPORTED_RANKS - 1)] -= 1
