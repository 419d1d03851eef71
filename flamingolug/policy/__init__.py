"""Overload-control decisions, without I/O and clocks."""

from flamingolug.policy._allowance import allowance_for_attempt
from flamingolug.policy._allowance import allowance_for_child_call
from flamingolug.policy._budget import RetryBudget
from flamingolug.policy._cutoff import CutoffState
from flamingolug.policy._cutoff import CutoffWindow
from flamingolug.policy._cutoff import next_cutoff
from flamingolug.policy._cutoff import WINDOW_S as CUTOFF_WINDOW_S
from flamingolug.policy._fairness import FairShares
from flamingolug.policy._fairness import tie_break_of
from flamingolug.policy._limit import initial_limit
from flamingolug.policy._limit import LimitState
from flamingolug.policy._limit import next_limit
from flamingolug.policy._retry import decide_retry
from flamingolug.policy._retry import RetryContext
from flamingolug.policy._retry import RetryDecision
from flamingolug.policy._routing import Candidate
from flamingolug.policy._routing import Choice
from flamingolug.policy._routing import choose_upstream
from flamingolug.policy._wait import predict_wait_s
from flamingolug.policy._wait import queue_capacity
from flamingolug.rendezvous import owner_of

__all__ = [
    "CUTOFF_WINDOW_S",
    "Candidate",
    "Choice",
    "CutoffState",
    "CutoffWindow",
    "FairShares",
    "LimitState",
    "RetryBudget",
    "RetryContext",
    "RetryDecision",
    "allowance_for_attempt",
    "allowance_for_child_call",
    "choose_upstream",
    "decide_retry",
    "initial_limit",
    "next_cutoff",
    "next_limit",
    "owner_of",
    "predict_wait_s",
    "queue_capacity",
    "tie_break_of",
]
