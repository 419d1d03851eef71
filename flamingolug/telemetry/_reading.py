"""Reads log lines of key=value pairs back."""

import json
import re
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

_PAIR = re.compile(r'([A-Za-z_][\w.]*)=("(?:[^"\\]|\\.)*"|\S*)')
_HEAD = ("ts", "level", "node", "event")


class LogLine(NamedTuple):
    """One event of a log."""

    #: Wall time of the node that wrote it, seconds since the Unix epoch.
    at: float
    node: str
    event: str
    #: All other pairs, in their order.
    fields: dict[str, str]


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yields the events in some lines; lines of another form are left out."""
    for text in texts:
        pairs = {
            key: _unquote(value) for key, value in _PAIR.findall(text.strip())
        }
        if "event" not in pairs:
            continue
        try:
            at = float(pairs.get("ts", ""))
        except ValueError:
            continue
        fields = {k: v for k, v in pairs.items() if k not in _HEAD}
        yield LogLine(at, pairs.get("node", "-"), pairs["event"], fields)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
