"""When a VM asks the store whether its copy of the configuration is current.

See docs/design/confirmation.md.
"""

import random

# The VMs of this many lowest ranks always ask.
ASKING_RANKS = 2
# The next ranks, of which each takes over if those before it do not ask.
SUBSTITUTE_RANKS = 4
# All times are fractions of the greatest age at which keys are still served.
INTERVAL_FRACTION = 1 / 8
SUBSTITUTE_FRACTION = 0.3
RANK_FRACTION = 1 / 16
OTHERS_FRACTION = 0.5
OTHERS_SPREAD_FRACTION = 0.25
# Bounds the calls if the greatest age is very small.
MIN_INTERVAL_SECONDS = 0.1
# How long a VM that took over continues to ask after its first answer.
SUBSTITUTION_FRACTION = 1.25
# The delay after a failed ask varies by up to this part, in both directions.
JITTER = 0.5


class AskSchedule:
    """Decides when one VM asks the store.

    Parameters
    ----------
    max_age_seconds : float
        The greatest age at which keys are still served.
    rng : random.Random
        Spreads the asks of many VMs.
    started_at : float
        The current time, in seconds on the clock of all methods.

    Attributes
    ----------
    interval_seconds : float
        Time between two asks of a VM that always asks.
    """

    __slots__ = (
        '_failures',
        '_max_age_seconds',
        '_next_at',
        '_rng',
        '_spread',
        '_started_at',
        '_substitute_until',
        'interval_seconds',
    )

    def __init__(
        self, max_age_seconds: float, rng: random.Random, started_at: float
    ) -> None:
        self._max_age_seconds = max_age_seconds
        self._rng = rng
        self._started_at = started_at
        self._next_at = started_at
        self._substitute_until = started_at
        self._failures = 0
        self._spread = rng.random()
        self.interval_seconds = max(
            INTERVAL_FRACTION * max_age_seconds, MIN_INTERVAL_SECONDS
        )

    def is_due(
        self, now: float, rank: int, age_seconds: float, reaches_store: bool
    ) -> bool:
        """Return whether to ask the store now.

        Parameters
        ----------
        now : float
            The current time, in seconds.
        rank : int
            The rank of this VM.
        age_seconds : float
            The age of the confirmation.
        reaches_store : bool
            Whether other calls to the store succeed.
        """
        if now < self._next_at:
            return False
        if rank < ASKING_RANKS:
            return True
        if not reaches_store:
            return False
        if now < self._substitute_until:
            return True
        # A VM that has just started first waits for its peers.
        waited_seconds = min(age_seconds, now - self._started_at)
        return waited_seconds > self._compute_patience_seconds(rank)

    def _compute_patience_seconds(self, rank: int) -> float:
        if rank < ASKING_RANKS + SUBSTITUTE_RANKS:
            fraction = (
                SUBSTITUTE_FRACTION + (rank - ASKING_RANKS) * RANK_FRACTION
            )
        else:
            fraction = OTHERS_FRACTION + self._spread * OTHERS_SPREAD_FRACTION
        return fraction * self._max_age_seconds

    def record_success(self, now: float, rank: int) -> bool:
        """Record an answer; return whether this VM takes over by it."""
        self._failures = 0
        self._next_at = now + self.interval_seconds
        if rank < ASKING_RANKS or now < self._substitute_until:
            return False
        self._substitute_until = (
            now + SUBSTITUTION_FRACTION * self._max_age_seconds
        )
        self._spread = self._rng.random()
        return True

    def record_failure(self, now: float, rank: int) -> None:
        """Record that an ask failed."""
        self._failures += 1
        self._substitute_until = now
        if rank < ASKING_RANKS:
            self._next_at = now + 2 * self.interval_seconds
            return
        delay_seconds = min(
            self.interval_seconds * 2**self._failures, self._max_age_seconds
        )
        self._next_at = now + delay_seconds * self._rng.uniform(
            1 - JITTER, 1 + JITTER
        )
