"""Calls, their outcomes and the header names of flamingolug."""

from flamingolug.calls._headers import forwardable_headers
from flamingolug.calls._headers import HEADER_ATTEMPTS
from flamingolug.calls._headers import HEADER_CALLER
from flamingolug.calls._headers import HEADER_CONTEXT
from flamingolug.calls._headers import HEADER_DEADLINE
from flamingolug.calls._headers import HEADER_KEY
from flamingolug.calls._headers import HEADER_KIND
from flamingolug.calls._headers import HEADER_OUTCOME
from flamingolug.calls._headers import HEADER_PEER
from flamingolug.calls._headers import HEADER_REASON
from flamingolug.calls._headers import HEADER_REQUEST
from flamingolug.calls._headers import HEADER_STEP
from flamingolug.calls._types import answered
from flamingolug.calls._types import Call
from flamingolug.calls._types import not_run
from flamingolug.calls._types import Outcome
from flamingolug.calls._types import unknown
from flamingolug.calls._types import Verdict

__all__ = [
    "HEADER_ATTEMPTS",
    "HEADER_CALLER",
    "HEADER_CONTEXT",
    "HEADER_DEADLINE",
    "HEADER_KEY",
    "HEADER_KIND",
    "HEADER_OUTCOME",
    "HEADER_PEER",
    "HEADER_REASON",
    "HEADER_REQUEST",
    "HEADER_STEP",
    "Call",
    "Outcome",
    "Verdict",
    "answered",
    "forwardable_headers",
    "not_run",
    "unknown",
]
