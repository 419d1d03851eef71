"""Reads manifests in YAML and converts them to and from canonical JSON."""

import hashlib
from typing import Any

import msgspec

from flamingolug import documents
from flamingolug import errors
from flamingolug.manifest import _model
from flamingolug.manifest import _schema

#: Largest size of a manifest file, in bytes.
MAX_MANIFEST_BYTES = 1_000_000
#: Service time of kinds that do not set `service_time_ms`. The schema repeats
#: this value as the default.
DEFAULT_SERVICE_TIME_MS = 10.0
_DIGEST_BYTES = 16
_ENCODER = msgspec.json.Encoder(order="sorted")


def load_file(path: str) -> _model.Manifest:
    """Reads and checks a manifest file.

    Raises:
        ConfigurationError: the file is unreadable or invalid; the message
            contains its path and, for an invalid value, the key.
    """
    text = documents.read_text(path, MAX_MANIFEST_BYTES)
    return parse(text, path)


def parse(text: str, source: str) -> _model.Manifest:
    """Parses and checks a manifest in YAML.

    Raises:
        ConfigurationError: the manifest is invalid; the message contains
            `source` and, for an invalid value, the key.
    """
    tree = documents.load_checked(text, _schema.json_schema(), source)
    return _from_tree(tree, source)


def canonical_bytes(manifest: _model.Manifest) -> bytes:
    """Returns the canonical JSON form of a manifest, as kept in the store.

    Equal manifests have the same canonical form, because keys are sorted and
    defaults are written out.
    """
    kinds: dict[str, Any] = {}
    for kind in manifest.kinds.values():
        fields = kind._asdict()
        del fields["name"]
        if kind.route is None:
            del fields["route"]
        else:
            fields["route"] = kind.route._asdict()
        kinds[kind.name] = fields
    return _ENCODER.encode(
        {
            "schema_version": _schema.SCHEMA_VERSION,
            "deployment": manifest.deployment,
            "services": manifest.services,
            "kinds": kinds,
        }
    )


def decode(data: bytes, source: str) -> _model.Manifest:
    """Returns the manifest that `canonical_bytes` encoded as `data`.

    Raises:
        ConfigurationError: `data` is not JSON, lacks a field or describes kinds
            that are not consistent with each other.
    """
    try:
        tree = msgspec.json.decode(data)
        return _from_tree(tree, source)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as exc:
        raise errors.ConfigurationError(
            f"not a stored manifest: {exc!r}",
            step="decode",
            peer=source,
        ) from exc


def digest_of(data: bytes) -> str:
    """Returns the hexadecimal BLAKE2b digest of a canonical manifest."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def _from_tree(tree: dict[str, Any], source: str) -> _model.Manifest:
    """Returns the typed manifest after checking its consistency."""
    services = tuple(tree["services"])
    kinds: dict[str, _model.Kind] = {}
    for name, fields in tree["kinds"].items():
        kinds[name] = _build_kind(name, fields)
    manifest = _model.Manifest(tree["deployment"], services, kinds)
    _check_consistency(manifest, source)
    return manifest


def _build_kind(name: str, fields: dict[str, Any]) -> _model.Kind:
    """Returns the typed form of one kind, with defaults filled in."""
    route = fields.get("route")
    return _model.Kind(
        name=name,
        service=fields["service"],
        route=_model.Route(route["method"], route["path"]) if route else None,
        rank=fields["rank"],
        worth=float(fields["worth"]),
        non_idempotent=fields.get("non_idempotent", False),
        deadline_ms=fields["deadline_ms"],
        attempts=fields["attempts"],
        service_time_ms=float(
            fields.get("service_time_ms", DEFAULT_SERVICE_TIME_MS)
        ),
        calls=tuple(fields.get("calls", ())),
    )


def _check_consistency(manifest: _model.Manifest, source: str) -> None:
    """Checks services, calls, idempotence and attempts of every kind.

    Raises:
        ConfigurationError: a kind refers to an undeclared service or kind, its
            calls form a cycle, it is declared idempotent although a callee is
            not, or its attempts do not suffice for its chain of calls.
    """
    for kind in manifest.kinds.values():
        _require(
            kind.service in manifest.services,
            f"kinds.{kind.name}.service: {kind.service!r} is not in services",
            source,
        )
        for callee_name in kind.calls:
            _require(
                callee_name in manifest.kinds,
                f"kinds.{kind.name}.calls: {callee_name!r} is not a kind",
                source,
            )
    _check_cycles(manifest, source)
    for kind in manifest.kinds.values():
        for callee in manifest.all_called_kinds(kind.name):
            _require(
                kind.non_idempotent or not callee.non_idempotent,
                f"kinds.{kind.name}.non_idempotent: must be true, because "
                f"its chain calls {callee.name}, which is non-idempotent",
                source,
            )
    for kind in manifest.kinds.values():
        needed = manifest.attempts_needed(kind.name)
        _require(
            kind.attempts >= needed,
            f"kinds.{kind.name}.attempts: {kind.attempts} is too few, its "
            f"chain makes {needed} attempts when nothing fails",
            source,
        )


def _check_cycles(manifest: _model.Manifest, source: str) -> None:
    """Raises ConfigurationError if the calls between kinds form a cycle."""
    checked: set[str] = set()
    for start in manifest.kinds:
        stack: list[tuple[str, bool]] = [(start, False)]
        path: list[str] = []
        while stack:
            name, callees_checked = stack.pop()
            if callees_checked:
                path.pop()
                checked.add(name)
                continue
            if name in checked:
                continue
            _require(
                name not in path,
                f"kinds.{name}.calls: calls itself through "
                f"{' -> '.join([*path, name])}",
                source,
            )
            path.append(name)
            stack.append((name, True))
            for callee_name in manifest.kinds[name].calls:
                stack.append((callee_name, False))


def _require(condition: bool, message: str, source: str) -> None:
    """Raises ConfigurationError with `message` unless `condition` holds."""
    if not condition:
        raise errors.ConfigurationError(message, step="check", peer=source)
