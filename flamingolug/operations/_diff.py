"""Differences between two manifests."""

from typing import NamedTuple

from flamingolug import manifest


class Change(NamedTuple):
    """One difference."""

    #: Dotted path such as `kinds.browse.rank`.
    key: str
    #: Value before, empty when there was none.
    before: str
    #: Value after, empty when there is none.
    after: str


def diff_manifests(
    before: manifest.Manifest | None, after: manifest.Manifest
) -> list[Change]:
    """Returns the differences, ordered by key."""
    old = _flatten(before) if before else {}
    new = _flatten(after)
    changes: list[Change] = []
    for key in sorted(old.keys() | new.keys()):
        if old.get(key) != new.get(key):
            changes.append(Change(key, old.get(key, ""), new.get(key, "")))
    return changes


def _flatten(found: manifest.Manifest) -> dict[str, str]:
    """Returns every value by its dotted path."""
    flat = {
        "deployment": found.deployment,
        "services": ", ".join(found.services),
    }
    for kind in found.kinds.values():
        for field, value in kind._asdict().items():
            if field == "name" or value is None:
                continue
            text = str(value)
            if isinstance(value, tuple):
                text = " ".join(str(each) for each in value)
            flat[f"kinds.{kind.name}.{field}"] = text
    return flat
