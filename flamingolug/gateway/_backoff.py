"""Exponential backoff between attempts to reach the store."""

import logging
import random

import gevent

from flamingolug import errors
from flamingolug import telemetry

_LOGGER = logging.getLogger(__name__)
#: Mean wait after the first failure, seconds.
INITIAL_WAIT_S = 0.2
#: Upper bound of the mean wait, seconds; with jitter a wait takes up to 1.5
#: times as long. Entries that lapsed must be written again within two seconds
#: of the store's return.
MAX_WAIT_S = 0.8
_WAIT_GROWTH = 1.6


class Backoff:
    """Exponential backoff with jitter; logs outages of the store."""

    def __init__(self, task: str) -> None:
        """Creates a backoff with the initial wait.

        Args:
            task: name of the task that uses the store, for the log.
        """
        self._task = task
        self._wait_s = INITIAL_WAIT_S
        self._store_lost = False

    def wait(
        self, exc: errors.StoreError, longest_s: float = MAX_WAIT_S
    ) -> None:
        """Waits after a failure, longer each time.

        Args:
            exc: the failure.
            longest_s: upper bound of the mean wait, seconds.
        """
        if not self._store_lost:
            self._store_lost = True
            telemetry.event(
                _LOGGER,
                "store.lost",
                level=logging.WARNING,
                task=self._task,
                step=exc.step,
                error=exc.message,
            )
        wait_s = min(self._wait_s, longest_s)
        gevent.sleep(wait_s * (0.5 + random.random()))
        self._wait_s = min(self._wait_s * _WAIT_GROWTH, MAX_WAIT_S)

    def reset(self) -> None:
        """Resets the wait after an answer of the store."""
        self._wait_s = INITIAL_WAIT_S
        if self._store_lost:
            self._store_lost = False
            telemetry.event(_LOGGER, "store.regained", task=self._task)
