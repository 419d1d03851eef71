"""Waits between tries of a store that does not answer."""

import logging
import random

import gevent

from flamingolug import errors
from flamingolug import telemetry

_LOGGER = logging.getLogger(__name__)
#: First wait, seconds.
FIRST_WAIT_S = 0.2
#: Longest wait, seconds: what lapsed must be back within two seconds of the
#: store's return.
MAX_WAIT_S = 0.8
_GROWTH = 1.6


class Backoff:
    """Growing waits with jitter; logs when the store is lost and regained."""

    def __init__(self, task: str) -> None:
        """Starts as if the store was reached."""
        self._task = task
        self._wait_s = FIRST_WAIT_S
        self._lost = False

    def wait(self, exc: errors.StoreError) -> None:
        """Waits after a failure."""
        if not self._lost:
            self._lost = True
            telemetry.event(
                _LOGGER,
                "store.lost",
                level=logging.WARNING,
                task=self._task,
                step=exc.step,
                error=exc.message,
            )
        gevent.sleep(self._wait_s * (0.5 + random.random()))
        self._wait_s = min(self._wait_s * _GROWTH, MAX_WAIT_S)

    def succeeded(self) -> None:
        """Notes that the store has answered."""
        self._wait_s = FIRST_WAIT_S
        if self._lost:
            self._lost = False
            telemetry.event(_LOGGER, "store.regained", task=self._task)
