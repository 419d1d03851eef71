"""Narrow interface to the platform's key-value service."""

from flamingolug.store._http import HttpStore
from flamingolug.store._interface import Entry
from flamingolug.store._interface import Store

__all__ = ["Entry", "HttpStore", "Store"]
