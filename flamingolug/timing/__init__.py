"""Clocks and periodic callbacks, with a manual clock for tests."""

from flamingolug.timing._service import GeventTimers
from flamingolug.timing._service import ManualTimers
from flamingolug.timing._service import Subscription
from flamingolug.timing._service import Timers

__all__ = ["GeventTimers", "ManualTimers", "Subscription", "Timers"]
