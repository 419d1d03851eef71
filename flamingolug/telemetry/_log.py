"""Logs: one line of key=value pairs for each event."""

import json
import logging
import sys

from flamingolug import errors
from flamingolug.telemetry import _bounded

_SAFE = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+,"
)


_LIMIT = _bounded.LineLimit(0)
_STDOUT = 1


def configure_bounded(level: str, name: str) -> None:
    """Sends a bounded number of log lines to standard output.

    A reader that stops never blocks the process; lines that are left out are
    counted by event and reason.
    """
    handler = _bounded.BoundedHandler(_STDOUT)
    handler.setFormatter(_formatter(name))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    _LIMIT.lines_per_second = _bounded.LINES_PER_SECOND


def _formatter(name: str) -> logging.Formatter:
    return logging.Formatter(
        f"ts=%(created).3f level=%(levelname)s node={_quote(name)} %(message)s"
    )


def configure(level: str, name: str) -> None:
    """Sends log lines to standard error.

    Args:
        level: a level name of `logging`, such as `info`.
        name: the process's name, added to each line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_formatter(name))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def event(
    logger: logging.Logger,
    name: str,
    /,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """Logs one event as `event=name key=value ...`."""
    if not logger.isEnabledFor(level):
        return
    for (left_out, reason), count in _LIMIT.take_left_out().items():
        logger.info(
            "event=log.left_out of=%s reason=%s lines=%d",
            _quote(left_out),
            _quote(reason),
            count,
        )
    if not _LIMIT.allow(name, str(fields.get("reason", ""))):
        return
    pairs = [f"event={name}"]
    for key, value in fields.items():
        pairs.append(f"{key}={_quote(str(value))}")
    logger.log(level, "%s", " ".join(pairs))


def failure(
    logger: logging.Logger, name: str, exc: errors.FlamingolugError
) -> None:
    """Logs an error as a warning, with its step and peer."""
    event(
        logger,
        name,
        level=logging.WARNING,
        step=exc.step,
        peer=exc.peer,
        error=exc.message,
    )


def _quote(text: str) -> str:
    """Returns `text` quoted as JSON unless it is plain."""
    if text and all(character in _SAFE for character in text):
        return text
    return json.dumps(text)
