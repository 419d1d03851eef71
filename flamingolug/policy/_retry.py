"""Whether a call that did not succeed is sent once more."""

from typing import NamedTuple

from flamingolug.telemetry import _names


class RetryQuestion(NamedTuple):
    """Everything that the decision rests on."""

    #: Whether the call provably did not run.
    not_run: bool
    #: Whether the peer could not be reached at all.
    unreachable: bool
    #: Whether the refusal would be the same at every upstream.
    final: bool
    #: Whether an answer came that reports a failure of the backend server.
    failed: bool
    non_idempotent: bool
    #: Attempts that this hop still holds for the call.
    held: int
    #: Attempts of the call when nothing fails.
    needed: int
    budget_left: bool
    #: Seconds until the deadline.
    time_left_s: float
    #: Seconds that the call takes at least.
    time_needed_s: float


class RetryDecision(NamedTuple):
    """The decision: exactly one of the two reasons is set."""

    retry: _names.Retry | None
    denied: _names.RetryDenied | None


def decide_retry(question: RetryQuestion) -> RetryDecision:
    """Returns whether to send the call again, with the reason."""
    reason = _reason(question)
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


def _reason(question: RetryQuestion) -> _names.Retry | None:
    """Returns why a retry is harmless, None when it is not."""
    if question.unreachable:
        return _names.Retry.UNREACHABLE
    if question.not_run:
        return _names.Retry.NOT_RUN
    if question.non_idempotent:
        return None
    if question.failed:
        return _names.Retry.FAILED_IDEMPOTENT
    return _names.Retry.UNKNOWN_IDEMPOTENT
