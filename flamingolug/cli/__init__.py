"""Command line for operators."""

from flamingolug.cli._program import main

__all__ = ["main"]
