"""Exit codes and JSON output of the commands."""

import enum
from typing import Any

import msgspec


class ExitCode(enum.IntEnum):
    """Exit codes of the commands, on which scripts can act."""

    #: Done; for `apply`, every node has the revision or a later one.
    OK = 0
    #: The manifest or an argument of the command is not valid, or a node
    #: refused the request.
    REFUSED = 2
    #: Another operator's revision was accepted first; nothing was changed.
    LOST_RACE = 3
    #: It is unknown whether the write has taken effect.
    UNKNOWN = 4
    #: The store or a node did not respond and nothing was changed, or the logs
    #: contain no matching event.
    UNREACHABLE = 5
    #: The store has accepted the revision, but not every node has applied it
    #: within the time-out.
    SPREADING = 6
    #: The manifest file differs from the accepted manifest.
    DIFFERENT = 7


def to_json(value: Any) -> str:
    """Returns `value` as one line of JSON."""
    return msgspec.json.encode(value).decode()
