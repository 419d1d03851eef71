"""Decides whether a call that did not succeed is retried."""

from typing import NamedTuple

from flamingolug.telemetry import _names


class RetryContext(NamedTuple):
    """Inputs of the retry decision."""

    #: Whether it is certain that the call did not run.
    not_run: bool
    #: Whether the peer could not be reached at all.
    unreachable: bool
    #: Whether every upstream would refuse the call for the same reason.
    final: bool
    #: Whether the backend server answered with a failure.
    answered_with_failure: bool
    non_idempotent: bool
    #: Attempts that remain at this hop for the call.
    remaining: int
    #: Attempts that the call takes when nothing fails.
    attempts_needed: int
    #: Whether the retry budget has a token.
    has_budget: bool
    #: Seconds until the deadline.
    time_left_s: float
    #: Minimum seconds that the call takes.
    time_needed_s: float


class RetryDecision(NamedTuple):
    """Result of the decision; exactly one of the two reasons is not None."""

    #: Reason for a retry.
    retry_reason: _names.Retry | None
    #: Reason against a retry.
    denial_reason: _names.RetryDenied | None


def decide_retry(context: RetryContext) -> RetryDecision:
    """Returns the reason for a retry or the reason against it."""
    reason = _safe_retry_reason(context)
    if reason is None:
        return RetryDecision(None, _names.RetryDenied.NON_IDEMPOTENT)
    if context.final:
        return RetryDecision(None, _names.RetryDenied.FINAL)
    if context.remaining < context.attempts_needed:
        return RetryDecision(None, _names.RetryDenied.ALLOWANCE)
    if context.time_left_s < context.time_needed_s:
        return RetryDecision(None, _names.RetryDenied.DEADLINE)
    if not context.has_budget:
        return RetryDecision(None, _names.RetryDenied.BUDGET)
    return RetryDecision(reason, None)


def _safe_retry_reason(context: RetryContext) -> _names.Retry | None:
    """Returns why a retry is safe, None when it is not."""
    if context.unreachable:
        return _names.Retry.UNREACHABLE
    if context.not_run:
        return _names.Retry.NOT_RUN
    if context.non_idempotent:
        return None
    if context.answered_with_failure:
        return _names.Retry.FAILED_IDEMPOTENT
    return _names.Retry.UNKNOWN_IDEMPOTENT
