"""Options that several commands share."""

import os
from typing import Any

import cleo.helpers

from flamingolug import errors
from flamingolug import operations
from flamingolug import peers
from flamingolug import store

#: Seconds that `apply` waits for all nodes when no time-out is given.
DEFAULT_APPLY_TIMEOUT_S = 6.0


def json_option() -> Any:
    """Returns the option `--json`."""
    return cleo.helpers.option("json", None, "print JSON", flag=True)


def fleet_options() -> list[Any]:
    """Returns the options for store, nodes, shared key and JSON output."""
    return [
        cleo.helpers.option(
            "store", None, "URL of the store [FLAMINGOLUG_STORE]", flag=False
        ),
        cleo.helpers.option(
            "nodes",
            None,
            "HTTP addresses of some nodes, separated by commas "
            "[FLAMINGOLUG_NODES]",
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
    """Returns a client for the store from the command's options.

    Raises:
        ConfigurationError: no store URL is given.
    """
    return store.HttpStore(_option_value(command, "store"))


def open_fleet(command: Any) -> operations.Fleet:
    """Returns a client for the nodes from the command's options.

    Raises:
        ConfigurationError: an option is missing or the key file is unreadable.
    """
    path = _option_value(command, "key-file")
    try:
        with open(path, encoding="utf-8") as file:
            shared_key = file.read().strip()
    except OSError as exc:
        raise errors.ConfigurationError(
            f"cannot read the key file: {exc}", step="--key-file", peer=path
        ) from exc
    nodes = [
        each.strip()
        for each in _option_value(command, "nodes").split(",")
        if each.strip()
    ]
    return operations.Fleet(nodes, peers.derive_keys(shared_key).operator_token)


def _option_value(command: Any, name: str) -> str:
    """Returns the value of an option or else of its environment variable.

    Raises:
        ConfigurationError: both are empty.
    """
    variable = "FLAMINGOLUG_" + name.replace("-", "_").upper()
    value = command.option(name) or os.environ.get(variable, "")
    if not value:
        raise errors.ConfigurationError(
            f"pass --{name} or set {variable}", step=f"--{name}"
        )
    return str(value)
