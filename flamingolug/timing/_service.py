"""Timer service: monotonic time, Unix time and periodic callbacks."""

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
    """A periodic callback; `cancel` ends it."""

    def __init__(self) -> None:
        """Creates an active subscription."""
        self.active = True

    def cancel(self) -> None:
        """Stops further callbacks; one already running finishes."""
        self.active = False


class Timers(Protocol):
    """What parts may ask of time."""

    def now(self) -> float:
        """Returns monotonic seconds of this process."""

    def unix_time(self) -> float:
        """Returns seconds since the Unix epoch."""

    def every(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """Runs `callback` each `interval_s` seconds until cancelled."""


class GeventTimers:
    """Timers on the real clock, one greenlet per subscription."""

    def __init__(self) -> None:
        """Starts without subscriptions."""
        self._subscriptions: list[Subscription] = []
        self._phase_s = random.random()

    def now(self) -> float:
        """See `Timers.now`; time in which the machine was suspended counts."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_time(self) -> float:
        """See `Timers.unix_time`."""
        return time.time()

    def every(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """See `Timers.every`; an exception is logged, the next run follows."""
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
        """Returns the seconds until the next multiple of an interval.

        Subscriptions with intervals that divide each other fall due together,
        so that the process wakes up less often.
        """
        left_s = interval_s - (self.now() + self._phase_s) % interval_s
        if left_s < interval_s / 10.0:
            # It woke up a moment early; this one has just been run.
            left_s += interval_s
        return left_s

    def stop(self) -> None:
        """Cancels every subscription."""
        for subscription in self._subscriptions:
            subscription.cancel()


class ManualTimers:
    """Timers whose clock moves only by `advance`, for tests."""

    def __init__(self, wall_s: float = 1_700_000_000.0) -> None:
        """Starts at monotonic zero and the given Unix time."""
        self._now = 0.0
        self._wall_offset = wall_s
        self._sequence = itertools.count()
        self._due: list[
            tuple[float, int, float, Callable[[], None], Subscription]
        ] = []

    def now(self) -> float:
        """See `Timers.now`."""
        return self._now

    def unix_time(self) -> float:
        """See `Timers.unix_time`."""
        return self._wall_offset + self._now

    def every(
        self, interval_s: float, callback: Callable[[], None]
    ) -> Subscription:
        """See `Timers.every`."""
        subscription = Subscription()
        self._push(self._now + interval_s, interval_s, callback, subscription)
        return subscription

    def advance(self, seconds: float) -> None:
        """Moves the clock and runs every callback that falls due."""
        end = self._now + seconds
        while self._due and self._due[0][0] <= end:
            due, _, interval_s, callback, subscription = heapq.heappop(
                self._due
            )
            if not subscription.active:
                continue
            self._now = max(self._now, due)
            callback()
            self._push(due + interval_s, interval_s, callback, subscription)
        self._now = end

    def _push(
        self,
        due: float,
        interval_s: float,
        callback: Callable[[], None],
        subscription: Subscription,
    ) -> None:
        heapq.heappush(
            self._due,
            (due, next(self._sequence), interval_s, callback, subscription),
        )
