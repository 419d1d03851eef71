"""The accepted manifest: stored form, what is in force, how it spreads."""

from flamingolug.configuration._document import Accepted
from flamingolug.configuration._document import decode
from flamingolug.configuration._document import encode
from flamingolug.configuration._document import HistoryEntry
from flamingolug.configuration._document import MANIFEST_KEY
from flamingolug.configuration._holder import Configuration
from flamingolug.configuration._holder import InForce
from flamingolug.configuration._holder import Needs

__all__ = [
    "MANIFEST_KEY",
    "Accepted",
    "Configuration",
    "HistoryEntry",
    "InForce",
    "Needs",
    "decode",
    "encode",
]
