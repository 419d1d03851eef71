"""Builds, starts and stops the plug-ins of a program."""

from flamingolug.kernel._kernel import Kernel
from flamingolug.kernel._registry import Plugin
from flamingolug.kernel._registry import plugin
from flamingolug.kernel._registry import registered

__all__ = ["Kernel", "Plugin", "plugin", "registered"]
