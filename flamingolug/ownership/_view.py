"""Views: the agreed owners of one service's keys, in one order by the store.

The store keeps one view for each service. A view differs from the one before
it by one member, so that any majority of one meets any majority of the other.
"""

from collections.abc import Collection
from typing import NamedTuple

import msgspec

from flamingolug import errors
from flamingolug import policy


class View(NamedTuple):
    """Owners of one service's keys."""

    #: Counts up by one with each change; 0 is no view.
    epoch: int
    #: Runs of nodes, each as `name#incarnation`, sorted.
    members: tuple[str, ...]


NO_VIEW = View(0, ())
_SEPARATOR = "#"
_DECODER = msgspec.json.Decoder(View)


def view_key(service: str) -> str:
    """Returns the key under which the store keeps a service's view."""
    return f"flamingolug/owners/{service}"


def encode_view(view: View) -> bytes:
    """Returns the stored form."""
    return msgspec.json.encode(view)


def decode_view(data: bytes) -> View:
    """Returns the view in `data`, `NO_VIEW` when it is empty.

    Raises:
        ConfigurationError: the data is damaged.
    """
    if not data:
        return NO_VIEW
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError as exc:
        raise errors.ConfigurationError(
            f"stored view is damaged: {exc}", step="view.decode"
        ) from exc


def make_incarnation_id(name: str, incarnation: int) -> str:
    """Returns how a view names one run of a node."""
    return f"{name}{_SEPARATOR}{incarnation}"


def name_of(incarnation_id: str) -> str:
    """Returns the node's name in a run's identity."""
    return incarnation_id.partition(_SEPARATOR)[0]


def incarnation_of(incarnation_id: str) -> int:
    """Returns the incarnation in a run's identity, 0 when it has none."""
    return int(incarnation_id.partition(_SEPARATOR)[2] or 0)


def owner_in(view: View, key: str) -> str | None:
    """Returns the owner of a key, None in an empty view."""
    return policy.owner_of(key, view.members)


def next_view(
    view: View, present: Collection[str], gone: Collection[str]
) -> View | None:
    """Returns the view that should follow, None when it fits.

    One member is changed: a node that has started again takes its own place,
    then one that is gone leaves, then one that is present joins. The last
    member is never removed, because nobody would be left whose vote stops it.

    Args:
        view: the current view.
        present: runs of nodes that are alive beside the service.
        gone: runs of nodes that ended, left or are dead.
    """
    by_name = {name_of(each): each for each in sorted(present)}
    for old in view.members:
        new = by_name.get(name_of(old))
        if old in gone and new is not None and new != old:
            members = {*view.members, new} - {old}
            return View(view.epoch + 1, tuple(sorted(members)))
    for name in view.members:
        if name in gone and len(view.members) > 1:
            kept = tuple(each for each in view.members if each != name)
            return View(view.epoch + 1, kept)
    for name in sorted(present):
        if name not in view.members:
            grown = tuple(sorted((*view.members, name)))
            return View(view.epoch + 1, grown)
    return None
