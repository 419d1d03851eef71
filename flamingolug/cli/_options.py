"""Options that several commands share."""

import os
from typing import Any

import cleo.helpers

from flamingolug import errors
from flamingolug import operations
from flamingolug import peers
from flamingolug import store

DEFAULT_TIMEOUT_S = 6.0


def json_option() -> Any:
    """Returns the option `--json`."""
    return cleo.helpers.option("json", None, "print JSON", flag=True)


def fleet_options() -> list[Any]:
    """Returns the options that say where store and nodes are."""
    return [
        cleo.helpers.option(
            "store", None, "URL of the store [FLAMINGOLUG_STORE]", flag=False
        ),
        cleo.helpers.option(
            "nodes",
            None,
            "HTTP addresses of some nodes, comma between [FLAMINGOLUG_NODES]",
            flag=False,
        ),
        cleo.helpers.option(
            "key-file",
            None,
            "file with the shared key [FLAMINGOLUG_KEY_FILE]",
            flag=False,
        ),
        json_option(),
    ]


def open_store(command: Any) -> store.HttpStore:
    """Returns the store that the options name."""
    return store.HttpStore(_value(command, "store"))


def open_fleet(command: Any) -> operations.Fleet:
    """Returns the fleet that the options name."""
    path = _value(command, "key-file")
    try:
        with open(path, encoding="utf-8") as file:
            secret = file.read().strip()
    except OSError as exc:
        raise errors.ConfigurationError(
            f"cannot read the key: {exc}", step="--key-file", peer=path
        ) from exc
    nodes = [
        each.strip()
        for each in _value(command, "nodes").split(",")
        if each.strip()
    ]
    return operations.Fleet(nodes, peers.derive_keys(secret).operator_token)


def _value(command: Any, name: str) -> str:
    """Returns an option, or the environment variable in its place."""
    variable = "FLAMINGOLUG_" + name.replace("-", "_").upper()
    value = command.option(name) or os.environ.get(variable, "")
    if not value:
        raise errors.ConfigurationError(
            f"give --{name} or set {variable}", step=f"--{name}"
        )
    return str(value)
