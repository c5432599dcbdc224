"""Limit on the load that retries may add."""

RETRY_RATIO = 0.1
# Balances are in retries. A crash of a backend server fails all requests on it
# at once, and all of them need a retry.
MAX_BALANCE = 100.0
INITIAL_BALANCE = 20.0


class RetryBudget:
    """Limits retries to a ratio of new requests, like a token bucket.

    Each new request adds ``RETRY_RATIO`` retries to the balance; each retry
    takes one.
    """

    __slots__ = ('_balance',)

    def __init__(self) -> None:
        self._balance = INITIAL_BALANCE

    def deposit(self) -> None:
        """Add the share of a retry that one new request earns."""
        self._balance = min(self._balance + RETRY_RATIO, MAX_BALANCE)

    def can_withdraw(self) -> bool:
        """Return whether the budget allows a retry now."""
        return self._balance >= 1

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return False if there is none."""
        if not self.can_withdraw():
            return False
        self._balance -= 1
        return True
