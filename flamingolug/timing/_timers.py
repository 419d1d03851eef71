"""Monotonic time, Unix time and periodic callbacks."""

import heapq
import itertools
import logging
import random
import time
from collections.abc import Callable
from typing import Protocol

import gevent

from flamingolug import telemetry

_LOGGER = logging.getLogger(__name__)


class Subscription:
    """The registration of a periodic callback."""

    def __init__(self) -> None:
        """Creates an active subscription."""
        self.active = True

    def cancel(self) -> None:
        """Prevents further runs of the callback; a current run continues."""
        self.active = False


class Timers(Protocol):
    """Clocks and periodic callbacks for the parts of a process."""

    def now(self) -> float:
        """Returns the monotonic time of this process in seconds."""

    def unix_time(self) -> float:
        """Returns the seconds since the Unix epoch."""

    def every(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Runs `callback` every `interval_s` seconds until cancelled."""


class GeventTimers:
    """Timers on the system clock, with one greenlet per subscription."""

    def __init__(self) -> None:
        """Starts without subscriptions."""
        self._subscriptions: list[Subscription] = []
        #: Random offset of the due times of all callbacks, 0 to 1 s.
        self._phase_s = random.random()

    def now(self) -> float:
        """See `Timers.now`; includes time while the machine is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_time(self) -> float:
        """See `Timers.unix_time`."""
        return time.time()

    def every(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """See `Timers.every`; logs exceptions of the callback and continues."""
        subscription = Subscription()
        self._subscriptions.append(subscription)

        def run() -> None:
            while subscription.active:
                gevent.sleep(self._until_next(interval_s))
                if not subscription.active:
                    break
                try:
                    callback()
                except Exception as exc:
                    telemetry.event(
                        _LOGGER, "timer.failed", level=logging.ERROR, error=exc
                    )

        gevent.spawn(run)
        return subscription

    def _until_next(self, interval_s: float) -> float:
        """Returns the seconds until the next run of a subscription.

        Runs are due at multiples of the interval, shifted by a random phase
        that is the same for all subscriptions of the process. Subscriptions
        whose intervals divide each other are therefore due together, so that
        the process wakes up less often.
        """
        remaining_s = interval_s - (self.now() + self._phase_s) % interval_s
        if remaining_s < interval_s / 10.0:
            # Usually the last sleep ended slightly early, and the run for this
            # multiple has already been made. At the start and after a slow
            # callback, the run is skipped instead.
            remaining_s += interval_s
        return remaining_s

    def stop(self) -> None:
        """Cancels all subscriptions."""
        for subscription in self._subscriptions:
            subscription.cancel()


class ManualTimers:
    """Timers for tests, whose clock advances only through `advance`."""

    def __init__(self, start_unix_time: float = 1_700_000_000.0) -> None:
        """Starts at a monotonic time of 0.

        Args:
            start_unix_time: Unix time at the start.
        """
        self._now = 0.0
        self._start_unix_time = start_unix_time
        self._sequence = itertools.count()
        #: Heap of due time, sequence number, interval, callback and
        #: subscription. The sequence number breaks ties in order of insertion.
        self._schedule: list[
            tuple[float, int, float, Callable[[], None], Subscription]
        ] = []

    def now(self) -> float:
        """See `Timers.now`."""
        return self._now

    def unix_time(self) -> float:
        """See `Timers.unix_time`."""
        return self._start_unix_time + self._now

    def every(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """See `Timers.every`."""
        subscription = Subscription()
        self._push(self._now + interval_s, interval_s, callback, subscription)
        return subscription

    def advance(self, seconds: float) -> None:
        """Advances the clock and runs the callbacks that become due."""
        end = self._now + seconds
        while self._schedule and self._schedule[0][0] <= end:
            due_at, _, interval_s, callback, subscription = heapq.heappop(
                self._schedule
            )
            if not subscription.active:
                continue
            self._now = max(self._now, due_at)
            callback()
            self._push(due_at + interval_s, interval_s, callback, subscription)
        self._now = end

    def _push(
        self,
        due_at: float,
        interval_s: float,
        callback: Callable[[], None],
        subscription: Subscription,
    ) -> None:
        heapq.heappush(
            self._schedule,
            (due_at, next(self._sequence), interval_s, callback, subscription),
        )
