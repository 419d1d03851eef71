"""Reads manifests from YAML and from the form kept in the store."""

import hashlib
from typing import Any

import msgspec

from flamingolug import documents
from flamingolug import errors
from flamingolug.manifest import _model
from flamingolug.manifest import _schema

MAX_MANIFEST_BYTES = 1_000_000
DEFAULT_SERVICE_TIME_MS = 10.0
_DIGEST_BYTES = 16
_ENCODER = msgspec.json.Encoder(order="sorted")


def load_file(path: str) -> _model.Manifest:
    """Reads and checks a manifest file.

    Raises:
        ConfigurationError: names file, line and key.
    """
    text = documents.read_text(path, MAX_MANIFEST_BYTES)
    return parse(text, path)


def parse(text: str, source: str) -> _model.Manifest:
    """Parses and checks a manifest in YAML.

    Raises:
        ConfigurationError: names source, line and key.
    """
    tree = documents.load_checked(text, _schema.json_schema(), source)
    return _from_tree(tree, source)


def canonical_bytes(manifest: _model.Manifest) -> bytes:
    """Returns the one JSON form of a manifest, as kept in the store."""
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
    """Reads the JSON form, which `canonical_bytes` made.

    Raises:
        ConfigurationError: not JSON, or a reference does not resolve.
    """
    try:
        tree = msgspec.json.decode(data)
        return _from_tree(tree, source)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as exc:
        raise errors.ConfigurationError(
            f"not a stored manifest: {exc!r}", step="decode", peer=source
        ) from exc


def digest_of(data: bytes) -> str:
    """Returns the hexadecimal digest of a stored manifest."""
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).hexdigest()


def _from_tree(tree: dict[str, Any], source: str) -> _model.Manifest:
    """Builds the typed manifest and checks references between kinds."""
    services = tuple(tree["services"])
    kinds: dict[str, _model.Kind] = {}
    for name, fields in tree["kinds"].items():
        kinds[name] = _kind(name, fields)
    found = _model.Manifest(tree["deployment"], services, kinds)
    _check_references(found, source)
    return found


def _kind(name: str, fields: dict[str, Any]) -> _model.Kind:
    """Builds one kind, with defaults filled in."""
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


def _check_references(found: _model.Manifest, source: str) -> None:
    """Raises ConfigurationError for a name that does not resolve."""
    for kind in found.kinds.values():
        _require(
            kind.service in found.services,
            f"kinds.{kind.name}.service: {kind.service!r} is not in services",
            source,
        )
        for child in kind.calls:
            _require(
                child in found.kinds,
                f"kinds.{kind.name}.calls: {child!r} is not a kind",
                source,
            )
    _check_cycles(found, source)
    for kind in found.kinds.values():
        for below in found.called_kinds(kind.name):
            _require(
                kind.non_idempotent or not below.non_idempotent,
                f"kinds.{kind.name}.non_idempotent: must be true, because "
                f"its chain calls {below.name}, which is non-idempotent",
                source,
            )
    for kind in found.kinds.values():
        needed = found.attempts_needed(kind.name)
        _require(
            kind.attempts >= needed,
            f"kinds.{kind.name}.attempts: {kind.attempts} is too few, its "
            f"chain makes {needed} attempts when nothing fails",
            source,
        )


def _check_cycles(found: _model.Manifest, source: str) -> None:
    """Raises ConfigurationError when kinds call each other in a circle."""
    finished: set[str] = set()
    for start in found.kinds:
        stack: list[tuple[str, bool]] = [(start, False)]
        path: list[str] = []
        while stack:
            name, leaving = stack.pop()
            if leaving:
                path.pop()
                finished.add(name)
                continue
            if name in finished:
                continue
            _require(
                name not in path,
                f"kinds.{name}.calls: calls itself through "
                f"{' -> '.join([*path, name])}",
                source,
            )
            path.append(name)
            stack.append((name, True))
            for child in found.kinds[name].calls:
                stack.append((child, False))


def _require(condition: bool, message: str, source: str) -> None:
    """Raises ConfigurationError with `message` unless `condition` holds."""
    if not condition:
        raise errors.ConfigurationError(message, step="check", peer=source)
