"""Retry budget of one service, proportional to its first attempts."""

#: Tokens that one first attempt deposits; a retry spends one token.
RETRY_RATIO = 0.1
#: Maximum number of tokens.
MAX_TOKENS = 20.0


class RetryBudget:
    """Token bucket filled by first attempts and drained by retries."""

    def __init__(self) -> None:
        """Starts with half of the maximum."""
        self._tokens = MAX_TOKENS / 2

    def deposit(self) -> None:
        """Records a first attempt."""
        self._tokens = min(self._tokens + RETRY_RATIO, MAX_TOKENS)

    def can_spend(self) -> bool:
        """Returns whether there is a token for a retry."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Records a retry."""
        self._tokens -= 1.0
