"""The operators' manifest: kinds of work, their worth, rank and bounds."""

from flamingolug.manifest._ladder import build_ladder
from flamingolug.manifest._ladder import Ladder
from flamingolug.manifest._ladder import SPREAD_STEPS
from flamingolug.manifest._loading import canonical_bytes
from flamingolug.manifest._loading import decode
from flamingolug.manifest._loading import DEFAULT_SERVICE_TIME_MS
from flamingolug.manifest._loading import digest_of
from flamingolug.manifest._loading import load_file
from flamingolug.manifest._loading import MAX_MANIFEST_BYTES
from flamingolug.manifest._loading import parse
from flamingolug.manifest._model import Kind
from flamingolug.manifest._model import Manifest
from flamingolug.manifest._model import Route
from flamingolug.manifest._schema import json_schema

__all__ = [
    "DEFAULT_SERVICE_TIME_MS",
    "MAX_MANIFEST_BYTES",
    "SPREAD_STEPS",
    "Kind",
    "Ladder",
    "Manifest",
    "Route",
    "build_ladder",
    "canonical_bytes",
    "decode",
    "digest_of",
    "json_schema",
    "load_file",
    "parse",
]
