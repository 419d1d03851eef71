"""Operations on a fleet of nodes: apply a manifest, inspect and drain nodes."""

from flamingolug.operations._apply import apply_manifest
from flamingolug.operations._apply import ApplyResult
from flamingolug.operations._apply import ApplyState
from flamingolug.operations._apply import Author
from flamingolug.operations._apply import read_accepted
from flamingolug.operations._diff import Change
from flamingolug.operations._diff import diff_manifests
from flamingolug.operations._fleet import Fleet
from flamingolug.operations._fleet import NodeStatus
from flamingolug.operations._fleet import ZoneProgress

__all__ = [
    "ApplyResult",
    "ApplyState",
    "Author",
    "Change",
    "Fleet",
    "NodeStatus",
    "ZoneProgress",
    "apply_manifest",
    "diff_manifests",
    "read_accepted",
]
