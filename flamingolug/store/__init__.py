"""Interfaces and client of the key-value services for durable state."""

from flamingolug.store._http import HttpStore
from flamingolug.store._interface import Entry
from flamingolug.store._interface import Store
from flamingolug.store._leased import Item
from flamingolug.store._leased import LeasedStore
from flamingolug.store._leased import Page

__all__ = ["Entry", "HttpStore", "Item", "LeasedStore", "Page", "Store"]
