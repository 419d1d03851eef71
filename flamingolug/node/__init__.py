"""The node: a process that runs beside each backend server."""

from flamingolug.node._program import main
from flamingolug.node._program import run

__all__ = ["main", "run"]
