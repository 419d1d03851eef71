"""Reads a node's settings."""

import ipaddress
from typing import Any

from flamingolug import documents
from flamingolug import errors
from flamingolug.settings import _model
from flamingolug.settings import _schema

MAX_SETTINGS_BYTES = 65_536


def load_file(path: str) -> _model.Settings:
    """Reads and checks a settings file.

    Raises:
        ConfigurationError: names file, line, key and what is allowed.
    """
    return parse(documents.read_text(path, MAX_SETTINGS_BYTES), path)


def parse(text: str, source: str) -> _model.Settings:
    """Parses and checks settings in YAML.

    Raises:
        ConfigurationError: names source, line, key and what is allowed.
    """
    schema = _schema.json_schema()
    tree = documents.load_checked(text, schema, source)
    values: dict[str, Any] = {}
    for key, field in schema["properties"].items():
        values[key] = tree.get(key, field.get("default"))
    values["peer_bind_address"] = tree.get(
        "peer_bind_address", tree["peer_address"]
    )
    for key in ("http_address", "peer_address", "peer_bind_address"):
        values[key] = _address(values[key], key, source)
    seeds: list[_model.Address] = []
    for index, text_value in enumerate(values["seeds"]):
        seeds.append(_address(text_value, f"seeds.{index}", source))
    values["seeds"] = tuple(seeds)
    return _model.Settings(**values)


def _address(text: str, key: str, source: str) -> _model.Address:
    """Returns the address in `text`, or raises ConfigurationError."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        number = int(port)
        if not 0 < number <= 65_535:
            raise ValueError("a port is 1 to 65535")
    except ValueError as exc:
        raise errors.ConfigurationError(
            f"{key}: {text!r}: {exc}; give an IP address and a port",
            step="check",
            peer=source,
        ) from exc
    return _model.Address(host, number)
