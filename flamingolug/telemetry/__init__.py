"""Key=value logs and OpenTelemetry counters."""

from flamingolug.telemetry._bounded import BoundedHandler
from flamingolug.telemetry._bounded import LineLimit
from flamingolug.telemetry._counters import Counters
from flamingolug.telemetry._log import configure
from flamingolug.telemetry._log import configure_bounded
from flamingolug.telemetry._log import event
from flamingolug.telemetry._log import failure
from flamingolug.telemetry._names import Refusal
from flamingolug.telemetry._names import Retry
from flamingolug.telemetry._names import RetryDenied
from flamingolug.telemetry._reading import LogLine
from flamingolug.telemetry._reading import read_lines

__all__ = [
    "BoundedHandler",
    "Counters",
    "LineLimit",
    "LogLine",
    "Refusal",
    "Retry",
    "RetryDenied",
    "configure",
    "configure_bounded",
    "event",
    "failure",
    "read_lines",
]
