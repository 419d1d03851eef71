"""Exit codes and the two forms of output."""

import enum
from typing import Any

import msgspec


class ExitCode(enum.IntEnum):
    """Exit codes that a pipeline can act on."""

    #: Done; for `apply`, in force at every node.
    OK = 0
    #: The manifest or the command's arguments are not acceptable.
    REFUSED = 2
    #: Another operator's revision was accepted first.
    LOST_RACE = 3
    #: The write may have taken effect.
    UNKNOWN = 4
    #: Store or nodes do not answer; nothing was changed.
    UNREACHABLE = 5
    #: Accepted, but not seen in force everywhere in time.
    SPREADING = 6
    #: `diff` found differences.
    DIFFERENT = 7


def to_json(value: Any) -> str:
    """Returns `value` as one line of JSON."""
    return msgspec.json.encode(value).decode()
