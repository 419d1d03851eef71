"""Decides whether a call that did not succeed is retried."""

from typing import NamedTuple

from flamingolug.telemetry import _names


class RetryQuestion(NamedTuple):
    """Inputs of the retry decision."""

    #: Whether it is certain that the call did not run.
    not_run: bool
    #: Whether the peer could not be reached at all.
    unreachable: bool
    #: Whether every upstream would refuse the call for the same reason.
    final: bool
    #: Whether the backend server answered with a failure.
    failed: bool
    non_idempotent: bool
    #: Attempts that remain at this hop for the call.
    held: int
    #: Attempts that the call takes when nothing fails.
    needed: int
    budget_left: bool
    #: Seconds until the deadline.
    time_left_s: float
    #: Minimum seconds that the call takes.
    time_needed_s: float


class RetryDecision(NamedTuple):
    """Result of the decision; exactly one of the two reasons is set."""

    retry: _names.Retry | None
    denied: _names.RetryDenied | None


def decide_retry(question: RetryQuestion) -> RetryDecision:
    """Returns the reason for a retry or the reason against it."""
    reason = _safe_retry_reason(question)
    if reason is None:
        return RetryDecision(None, _names.RetryDenied.NON_IDEMPOTENT)
    if question.final:
        return RetryDecision(None, _names.RetryDenied.FINAL)
    if question.held < question.needed:
        return RetryDecision(None, _names.RetryDenied.ALLOWANCE)
    if question.time_left_s < question.time_needed_s:
        return RetryDecision(None, _names.RetryDenied.DEADLINE)
    if not question.budget_left:
        return RetryDecision(None, _names.RetryDenied.BUDGET)
    return RetryDecision(reason, None)


def _safe_retry_reason(question: RetryQuestion) -> _names.Retry | None:
    """Returns why a retry is safe, None when it is not."""
    if question.unreachable:
        return _names.Retry.UNREACHABLE
    if question.not_run:
        return _names.Retry.NOT_RUN
    if question.non_idempotent:
        return None
    if question.failed:
        return _names.Retry.FAILED_IDEMPOTENT
    return _names.Retry.UNKNOWN_IDEMPOTENT
