"""Differences between two manifests."""

from typing import NamedTuple

from flamingolug import manifest


class Change(NamedTuple):
    """One value that differs between two manifests."""

    #: Dotted path such as `kinds.browse.rank`.
    key: str
    #: Value before the change; empty when the key is new or its value is an
    #: empty list.
    before: str
    #: Value after the change; empty when the key is removed or its value is an
    #: empty list.
    after: str


def diff_manifests(
    before: manifest.Manifest | None, after: manifest.Manifest
) -> list[Change]:
    """Returns the differences, ordered by key.

    Without `before`, every value of `after` is a difference.
    """
    old_values = _flatten(before) if before else {}
    new_values = _flatten(after)
    changes: list[Change] = []
    for key in sorted(old_values.keys() | new_values.keys()):
        if old_values.get(key) != new_values.get(key):
            changes.append(
                Change(key, old_values.get(key, ""), new_values.get(key, ""))
            )
    return changes


def _flatten(parsed: manifest.Manifest) -> dict[str, str]:
    """Returns the text of every value by its dotted path."""
    flattened = {
        "deployment": parsed.deployment,
        "services": ", ".join(parsed.services),
    }
    for kind in parsed.kinds.values():
        for field, value in kind._asdict().items():
            if field == "name" or value is None:
                continue
            text = str(value)
            if isinstance(value, tuple):
                text = " ".join(str(each) for each in value)
            flattened[f"kinds.{kind.name}.{field}"] = text
    return flattened
