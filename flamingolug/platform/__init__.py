"""Adapter to the platform on which nodes run: settings, store and messages.

Names that the platform defines occur only in this package.
"""

from flamingolug.platform._configuration import decode_configuration
from flamingolug.platform._environment import make_environment
from flamingolug.platform._reports import decode_leave
from flamingolug.platform._reports import decode_report
from flamingolug.platform._settings import load_settings
from flamingolug.platform._settings import SETTINGS_VARIABLE
from flamingolug.platform._store import PlatformStore

__all__ = [
    "SETTINGS_VARIABLE",
    "PlatformStore",
    "decode_configuration",
    "decode_leave",
    "decode_report",
    "load_settings",
    "make_environment",
]
