"""Bounds how much load retries may add."""

RETRY_RATIO = 0.1
# A backend server that crashes breaks as many requests as it had at once.
MAX_SAVED_RETRIES = 100.0
FIRST_SAVED_RETRIES = 20.0


class RetryBudget:
    """A token bucket that each request fills by a fraction of a retry."""

    __slots__ = ('_saved',)

    def __init__(self) -> None:
        self._saved = FIRST_SAVED_RETRIES

    def deposit(self) -> None:
        """Count one new request."""
        self._saved = min(self._saved + RETRY_RATIO, MAX_SAVED_RETRIES)

    def can_withdraw(self) -> bool:
        """Tell whether a retry could be taken now."""
        return self._saved >= 1

    def try_withdraw(self) -> bool:
        """Take one retry out of the budget, if there is one."""
        if not self.can_withdraw():
            return False
        self._saved -= 1
        return True
