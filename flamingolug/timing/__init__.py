"""Clocks and periodic callbacks, with a manual clock for tests."""

from flamingolug.timing._timers import GeventTimers
from flamingolug.timing._timers import ManualTimers
from flamingolug.timing._timers import Subscription
from flamingolug.timing._timers import Timers

__all__ = ["GeventTimers", "ManualTimers", "Subscription", "Timers"]
