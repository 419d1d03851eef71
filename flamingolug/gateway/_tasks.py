"""Tasks that run until the node ends."""

import logging
from collections.abc import Callable

import gevent

from flamingolug import telemetry

_LOGGER = logging.getLogger(__name__)
#: Seconds until a task that ended by a defect is started again.
RESTART_DELAY_S = 1.0


def spawn(name: str, run: Callable[[], None]) -> "gevent.Greenlet[[], None]":
    """Starts a task, and starts it again when a defect ends it.

    Args:
        name: name of the task, for the log.
        run: runs until it is killed; its state survives an exception.

    Returns:
        The greenlet of the task; killing it ends the task.
    """
    return gevent.spawn(lambda: _run_again(name, run))


def _run_again(name: str, run: Callable[[], None]) -> None:
    while True:
        try:
            run()
        except Exception as exc:
            telemetry.event(
                _LOGGER,
                "task.crashed",
                level=logging.ERROR,
                task=name,
                error=repr(exc),
            )
        gevent.sleep(RESTART_DELAY_S)
