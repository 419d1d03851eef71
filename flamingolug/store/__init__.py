"""Interfaces and client of the key-value services for durable state."""

from flamingolug.store._http import HttpStore
from flamingolug.store._interface import Entry
from flamingolug.store._interface import Store
from flamingolug.store._leased import Item
from flamingolug.store._leased import Lease
from flamingolug.store._leased import LeasedStore
from flamingolug.store._leased import NO_POSITION
from flamingolug.store._leased import Page
from flamingolug.store._leased import Position

__all__ = [
    "NO_POSITION",
    "Entry",
    "HttpStore",
    "Item",
    "Lease",
    "LeasedStore",
    "Page",
    "Position",
    "Store",
]
