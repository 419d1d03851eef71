"""The users' platform: its settings, store and messages, decoded once.

Nothing outside this package knows a name of the platform.
"""

from flamingolug.platform._configuration import CONFIGURATION_KEY
from flamingolug.platform._configuration import decode_configuration
from flamingolug.platform._headers import CALLER_NAMES
from flamingolug.platform._headers import READY_PATH
from flamingolug.platform._headers import UPSTREAM_NAMES
from flamingolug.platform._reports import decode_leave
from flamingolug.platform._reports import decode_report
from flamingolug.platform._settings import load_settings
from flamingolug.platform._settings import SETTINGS_VARIABLE
from flamingolug.platform._store import PlatformStore

__all__ = [
    "CALLER_NAMES",
    "CONFIGURATION_KEY",
    "READY_PATH",
    "SETTINGS_VARIABLE",
    "UPSTREAM_NAMES",
    "PlatformStore",
    "decode_configuration",
    "decode_leave",
    "decode_report",
    "load_settings",
]
