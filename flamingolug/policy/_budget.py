"""Retry budget of one service: retries as a share of first attempts."""

#: Retries that one first attempt deposits.
RETRY_RATIO = 0.1
#: Most retries that can be saved up.
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Tokens that first attempts deposit and retries spend."""

    def __init__(self) -> None:
        """Starts with half of the most that can be saved."""
        self._tokens = MAX_SAVED_RETRIES / 2

    def deposit(self) -> None:
        """Records a first attempt."""
        self._tokens = min(self._tokens + RETRY_RATIO, MAX_SAVED_RETRIES)

    def can_spend(self) -> bool:
        """Returns whether a retry is affordable."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Records a retry."""
        self._tokens -= 1.0
