"""Stops calling a platform that does not answer."""

import collections.abc
import logging
import random
import time

LOG = logging.getLogger(__name__)

FAILURES_TO_OPEN = 5
INITIAL_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 5.0


class CircuitBreaker:
    """Opens after failures in a row, and lets one call at a time try again.

    While it is open, a call fails at once instead of waiting for an answer
    that will not come, and the platform is not met by all callers when it
    comes back.

    Parameters
    ----------
    rng : random.Random
        Spreads the tries of different processes.
    clock : callable
        A monotonic clock.
    """

    __slots__ = (
        '_clock',
        '_failures',
        '_opened_at',
        '_pause_seconds',
        '_rng',
        '_try_at',
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
        self._pause_seconds = INITIAL_BACKOFF_SECONDS
        self._opened_at: float | None = None
        self._try_at = 0.0
        self.last_error = ''

    @property
    def is_open(self) -> bool:
        """Tell whether the platform is taken to be out."""
        return self._opened_at is not None

    def outage_seconds(self) -> float:
        """Return how long it has been out; 0 where it is not."""
        if self._opened_at is None:
            return 0.0
        return self._clock() - self._opened_at

    def admit_call(self) -> bool:
        """Tell whether a call may be made now, and note that it is."""
        if self._opened_at is None:
            return True
        now = self._clock()
        if now < self._try_at:
            return False
        # The others wait until this one's end is known.
        self._pause()
        return True

    def record_success(self) -> None:
        """Learn that the platform answered, be it with a refusal."""
        if self._opened_at is not None:
            LOG.warning(
                'the platform answers again after %.1f s',
                self.outage_seconds(),
            )
        self._failures = 0
        self._opened_at = None
        self._pause_seconds = INITIAL_BACKOFF_SECONDS

    def record_failure(self, error: Exception) -> None:
        """Learn that a call was not answered."""
        self._failures += 1
        self.last_error = str(error)
        if self._failures < FAILURES_TO_OPEN or self._opened_at is not None:
            return
        LOG.warning('the platform is out: %s', error)
        self._opened_at = self._clock()
        self._pause()

    def _pause(self) -> None:
        self._try_at = self._clock() + self._pause_seconds * (
            self._rng.uniform(0.5, 1)
        )
        self._pause_seconds = min(self._pause_seconds * 2, MAX_BACKOFF_SECONDS)
