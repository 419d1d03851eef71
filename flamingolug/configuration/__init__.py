"""The accepted manifest: its stored form and how nodes obtain updates."""

from flamingolug.configuration._active_manifest import ActiveManifest
from flamingolug.configuration._active_manifest import Dependencies
from flamingolug.configuration._active_manifest import ManifestWatcher
from flamingolug.configuration._stored_form import AcceptedManifest
from flamingolug.configuration._stored_form import decode
from flamingolug.configuration._stored_form import encode
from flamingolug.configuration._stored_form import HistoryEntry
from flamingolug.configuration._stored_form import MANIFEST_KEY

__all__ = [
    "MANIFEST_KEY",
    "AcceptedManifest",
    "ActiveManifest",
    "Dependencies",
    "HistoryEntry",
    "ManifestWatcher",
    "decode",
    "encode",
]
