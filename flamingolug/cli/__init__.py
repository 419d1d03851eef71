"""Operators' command line."""

from flamingolug.cli._program import main

__all__ = ["main"]
