"""Exit codes and JSON output of the commands."""

import enum
from typing import Any

import msgspec


class ExitCode(enum.IntEnum):
    """Exit codes of the commands, on which scripts can act."""

    #: Done; for `apply`, every node has the revision or a later one.
    OK = 0
    #: The manifest or an argument is not valid, a node refused the request or
    #: is not a member, no manifest has been accepted yet, or the command failed
    #: unexpectedly.
    REFUSED = 2
    #: Another revision was accepted first, or the store does not contain the
    #: expected revision; nothing was changed.
    LOST_RACE = 3
    #: It is unknown whether the write has taken effect.
    UNKNOWN = 4
    #: The store or a node did not respond, or the logs contain no matching
    #: event. An `apply` or `drain` may have taken effect.
    UNREACHABLE = 5
    #: The store has accepted the revision, but neither it nor a later one has
    #: become active at every node within the time-out.
    SPREADING = 6
    #: The manifest file differs from the accepted manifest.
    DIFFERENT = 7


def to_json(value: Any) -> str:
    """Returns `value` as one line of JSON."""
    return msgspec.json.encode(value).decode()
