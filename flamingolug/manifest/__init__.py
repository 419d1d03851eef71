"""The manifest: kinds of requests with rank, worth, deadline and attempts."""

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
from flamingolug.manifest._shedding_order import build_shedding_order
from flamingolug.manifest._shedding_order import SheddingOrder
from flamingolug.manifest._shedding_order import TIE_BREAK_STEPS

__all__ = [
    "DEFAULT_SERVICE_TIME_MS",
    "MAX_MANIFEST_BYTES",
    "TIE_BREAK_STEPS",
    "Kind",
    "Manifest",
    "Route",
    "SheddingOrder",
    "build_shedding_order",
    "canonical_bytes",
    "decode",
    "digest_of",
    "json_schema",
    "load_file",
    "parse",
]
