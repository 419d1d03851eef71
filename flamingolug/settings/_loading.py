"""Reads and checks the settings of a node."""

import ipaddress
from typing import Any

from flamingolug import documents
from flamingolug import errors
from flamingolug.settings import _model
from flamingolug.settings import _schema

#: Largest size of a settings file, in bytes.
MAX_SETTINGS_BYTES = 65_536


def load_file(path: str) -> _model.Settings:
    """Reads and checks a settings file.

    Raises:
        ConfigurationError: the file is unreadable or invalid; the message
            contains its path and, for an invalid value, the key.
    """
    return parse(documents.read_text(path, MAX_SETTINGS_BYTES), path)


def parse(text: str, source: str) -> _model.Settings:
    """Parses and checks settings in YAML.

    Raises:
        ConfigurationError: the settings are invalid; the message contains
            `source` and, for an invalid value, the key.
    """
    schema = _schema.json_schema()
    tree = documents.load_checked(text, schema, source)
    values: dict[str, Any] = {}
    for key, property_schema in schema["properties"].items():
        values[key] = tree.get(key, property_schema.get("default"))
    values["peer_bind_address"] = tree.get(
        "peer_bind_address", tree["peer_address"]
    )
    for key in ("http_address", "peer_address", "peer_bind_address"):
        values[key] = _parse_address(values[key], key, source)
    seeds: list[_model.Address] = []
    for index, seed in enumerate(values["seeds"]):
        seeds.append(_parse_address(seed, f"seeds.{index}", source))
    values["seeds"] = tuple(seeds)
    return _model.Settings(**values)


def _parse_address(text: str, key: str, source: str) -> _model.Address:
    """Returns the address in `text`.

    Raises:
        ConfigurationError: `text` is not an IP address, a colon and a port from
            1 to 65535.
    """
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        port_number = int(port)
        if not 0 < port_number <= 65_535:
            raise ValueError("port must be 1 to 65535")
    except ValueError as exc:
        raise errors.ConfigurationError(
            f"{key}: {text!r}: {exc}; expected an IP address and a port",
            step="check",
            peer=source,
        ) from exc
    return _model.Address(host, port_number)
