"""Views: the nodes that own the keys of one service, agreed in the store.

The store keeps the latest view of each service and thereby orders the views.
Consecutive views differ by one member, so that any majority of one shares a
node with any majority of the other.
"""

from collections.abc import Collection
from typing import NamedTuple

import msgspec

from flamingolug import errors
from flamingolug import policy


class View(NamedTuple):
    """Nodes that own the keys of one service."""

    #: Increases by one with each view; 0 means that there is no view.
    epoch: int
    #: Incarnation identifiers, `name#incarnation`, sorted.
    members: tuple[str, ...]


NO_VIEW = View(0, ())
_SEPARATOR = "#"
_DECODER = msgspec.json.Decoder(View)


def view_key(service: str) -> str:
    """Returns the store key of a service's view."""
    return f"flamingolug/owners/{service}"


def encode_view(view: View) -> bytes:
    """Returns the view as JSON, the form in which it is stored."""
    return msgspec.json.encode(view)


def decode_view(data: bytes) -> View:
    """Returns the view encoded in `data`, `NO_VIEW` if it is empty.

    Raises:
        ConfigurationError: `data` is not a valid view.
    """
    if not data:
        return NO_VIEW
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError as exc:
        raise errors.ConfigurationError(
            f"cannot decode the stored view: {exc}", step="view.decode"
        ) from exc


def make_incarnation_id(name: str, incarnation: int) -> str:
    """Returns the identifier of one incarnation of a node."""
    return f"{name}{_SEPARATOR}{incarnation}"


def name_of(incarnation_id: str) -> str:
    """Returns the node name in an incarnation identifier."""
    return incarnation_id.partition(_SEPARATOR)[0]


def incarnation_of(incarnation_id: str) -> int:
    """Returns the incarnation in an incarnation identifier, 0 if absent."""
    return int(incarnation_id.partition(_SEPARATOR)[2] or 0)


def owner_in(view: View, key: str) -> str | None:
    """Returns the member that owns a key, None if the view is empty."""
    return policy.owner_of(key, view.members)


def next_view(
    view: View, present: Collection[str], gone: Collection[str]
) -> View | None:
    """Returns the view that should follow `view`, None if it is up to date.

    The next view changes one member. Replacing a restarted node's previous
    incarnation comes first, then removing a member that is gone, then adding a
    node that is present. The last member is never removed, because no voter
    would remain that could deny the removed node a lease.

    Args:
        view: the current view.
        present: incarnation identifiers of the alive nodes whose backend
            servers provide the service.
        gone: incarnation identifiers whose nodes have left, died, restarted or
            changed to another service.
    """
    present_by_name = {name_of(each): each for each in sorted(present)}
    for old in view.members:
        new = present_by_name.get(name_of(old))
        if old in gone and new is not None and new != old:
            members = {*view.members, new} - {old}
            return View(view.epoch + 1, tuple(sorted(members)))
    for member in view.members:
        if member in gone and len(view.members) > 1:
            remaining = tuple(each for each in view.members if each != member)
            return View(view.epoch + 1, remaining)
    for member in sorted(present):
        if member not in view.members:
            extended = tuple(sorted((*view.members, member)))
            return View(view.epoch + 1, extended)
    return None
