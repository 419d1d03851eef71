"""Settings of one node, read from a YAML file."""

from flamingolug.settings._loading import load_file
from flamingolug.settings._loading import parse
from flamingolug.settings._model import Address
from flamingolug.settings._model import Settings
from flamingolug.settings._schema import json_schema

__all__ = ["Address", "Settings", "json_schema", "load_file", "parse"]
