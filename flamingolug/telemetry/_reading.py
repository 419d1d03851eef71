"""Parses log lines of key=value pairs."""

import json
import re
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

_PAIR = re.compile(r'([A-Za-z_][\w.]*)=("(?:[^"\\]|\\.)*"|\S*)')
#: Keys that are not part of `LogLine.fields`.
_LINE_KEYS = ("ts", "level", "node", "event")


class LogLine(NamedTuple):
    """One parsed log line."""

    #: Time at which the node wrote the line, seconds since the Unix epoch.
    unix_time: float
    #: Name of the node, `-` when the line has none.
    node: str
    #: Name of the event.
    event: str
    #: All other pairs except the level, in the order of the line.
    fields: dict[str, str]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yields the parsed lines; skips lines without an event or a valid time."""
    for text in texts:
        pairs = {
            key: _unquote(value) for key, value in _PAIR.findall(text.strip())
        }
        if "event" not in pairs:
            continue
        try:
            unix_time = float(pairs.get("ts", ""))
        except ValueError:
            continue
        fields = {k: v for k, v in pairs.items() if k not in _LINE_KEYS}
        yield LogLine(unix_time, pairs.get("node", "-"), pairs["event"], fields)


def _unquote(value: str) -> str:
    """Decodes a JSON string; returns any other value unchanged."""
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
