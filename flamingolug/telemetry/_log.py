"""Logs each event as one line of key=value pairs."""

import json
import logging
import sys

from flamingolug import errors
from flamingolug.telemetry import _bounded

#: Characters of values that are written without quotes.
_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+,"
)
#: Rate limit of this process; disabled until `configure_bounded` sets it.
_LINE_LIMIT = _bounded.LineLimit(0)
_STDOUT_DESCRIPTOR = 1


def configure_bounded(level: str, name: str) -> None:
    """Configures rate-limited logging to standard output.

    Writing never blocks the process, even when the reader of the log stops.
    Suppressed lines are counted by event and reason.

    Args:
        level: a level name of `logging`, such as `info`.
        name: name of the process, added to each line.
    """
    handler = _bounded.BoundedHandler(_STDOUT_DESCRIPTOR)
    handler.setFormatter(_formatter(name))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    _LINE_LIMIT.lines_per_second = _bounded.LINES_PER_SECOND


def _formatter(name: str) -> logging.Formatter:
    return logging.Formatter(
        f"ts=%(created).3f level=%(levelname)s node={_quote(name)} %(message)s"
    )


def configure(level: str, name: str) -> None:
    """Configures logging to standard error.

    Args:
        level: a level name of `logging`, such as `info`.
        name: name of the process, added to each line.
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
    """Logs one event as `event=name key=value ...`.

    Also logs how many lines the rate limit has suppressed since the last
    report, as `log.left_out`.

    Args:
        logger: the logger to use.
        name: name of the event.
        level: level of the line.
        fields: keys and values that follow the name. Lines with the same event
            name and value of `reason` share a rate limit.
    """
    if not logger.isEnabledFor(level):
        return
    for (event_name, reason), count in _LINE_LIMIT.pop_suppressed().items():
        logger.info(
            "event=log.left_out of=%s reason=%s lines=%d",
            _quote(event_name),
            _quote(reason),
            count,
        )
    if not _LINE_LIMIT.allow(name, str(fields.get("reason", ""))):
        return
    pairs = [f"event={name}"]
    for key, value in fields.items():
        pairs.append(f"{key}={_quote(str(value))}")
    logger.log(level, "%s", " ".join(pairs))


def failure(
    logger: logging.Logger, name: str, exc: errors.FlamingolugError
) -> None:
    """Logs an error as a warning with its step, peer and message."""
    event(
        logger,
        name,
        level=logging.WARNING,
        step=exc.step,
        peer=exc.peer,
        error=exc.message,
    )


def _quote(text: str) -> str:
    """Returns `text`, as a JSON string unless it needs no quotes."""
    if text and all(character in _UNQUOTED_CHARACTERS for character in text):
        return text
    return json.dumps(text)
