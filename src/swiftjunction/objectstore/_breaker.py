"""A circuit breaker for calls to the object store."""

import collections.abc
import logging
import random
import time

LOG = logging.getLogger(__name__)

FAILURES_TO_OPEN = 5
INITIAL_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 5.0


class CircuitBreaker:
    """Opens after consecutive failures and then admits single trial calls.

    While the breaker is open, calls fail immediately instead of waiting for a
    timeout, and a recovering store does not get the calls of all processes at
    once.

    Parameters
    ----------
    rng : random.Random
        Adds jitter to the trial calls of different processes.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    last_error : str
        The text of the last failure; empty before the first one.
    """

    __slots__ = (
        '_backoff_seconds',
        '_clock',
        '_failures',
        '_next_attempt_at',
        '_opened_at',
        '_rng',
        'last_error',
    )

    def __init__(
        self,
        rng: random.Random,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._rng = rng
        self._clock = clock
        self._failures = 0
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS
        self._opened_at: float | None = None
        self._next_attempt_at = 0.0
        self.last_error = ''

    @property
    def is_open(self) -> bool:
        """Return whether the object store is considered unavailable."""
        return self._opened_at is not None

    def outage_seconds(self) -> float:
        """Return the duration of the current outage; 0 if there is none."""
        if self._opened_at is None:
            return 0.0
        return self._clock() - self._opened_at

    def admit_call(self) -> bool:
        """Return whether a call may be made now.

        While the breaker is open, this reserves the trial call and postpones
        the next one.
        """
        if self._opened_at is None:
            return True
        now = self._clock()
        if now < self._next_attempt_at:
            return False
        # Other calls wait until the outcome of this one is known.
        self._schedule_attempt()
        return True

    def record_success(self) -> None:
        """Close the breaker after any response, even an error response."""
        if self._opened_at is not None:
            LOG.warning(
                'object store responds again after an outage of %.1f s',
                self.outage_seconds(),
            )
        self._failures = 0
        self._opened_at = None
        self._backoff_seconds = INITIAL_BACKOFF_SECONDS

    def record_failure(self, error: Exception) -> None:
        """Count a failure; open the breaker after several in a row."""
        self._failures += 1
        self.last_error = str(error)
        if self._failures < FAILURES_TO_OPEN or self._opened_at is not None:
            return
        LOG.warning(
            'object store unavailable; circuit breaker opened: %s', error
        )
        self._opened_at = self._clock()
        self._schedule_attempt()

    def _schedule_attempt(self) -> None:
        self._next_attempt_at = self._clock() + self._backoff_seconds * (
            self._rng.uniform(0.5, 1)
        )
        self._backoff_seconds = min(
            self._backoff_seconds * 2, MAX_BACKOFF_SECONDS
        )
