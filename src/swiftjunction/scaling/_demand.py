"""How many servers the open batches of a service need."""

import collections
import collections.abc
import math

import msgspec

# An increase follows the highest need of the last seconds, about the time
# between two steps of a trainer; a decrease that of a much longer time.
INCREASE_WINDOW_SECONDS = 8.0
DECREASE_WINDOW_SECONDS = 60.0
# Part of the slots that is kept free for what is not foreseen.
RESERVE_FRACTION = 0.1
# Samples to observe before the pace counts as known, and the weight of each
# later one.
MIN_OBSERVATIONS = 5
PACE_SMOOTHING_FACTOR = 0.05
# Lower bound of the time until a deadline, by which work is divided.
MIN_TIME_LEFT_SECONDS = 0.5


class SampleWork(msgspec.Struct, frozen=True):
    """A sample that is not generated yet.

    Attributes
    ----------
    tokens : float
        The expected tokens.
    running_seconds : float
        For how long it has been generated; 0 if it waits for a slot.
    """

    sample_id: str
    tokens: float
    running_seconds: float = 0.0


class BatchWork(msgspec.Struct, frozen=True):
    """What is left to generate of one open batch.

    Attributes
    ----------
    deadline : float
        When it is due, in seconds on the caller's clock.
    """

    batch_id: str
    deadline: float
    samples: list[SampleWork]


class Need(msgspec.Struct, frozen=True):
    """The servers that a service needs.

    Attributes
    ----------
    servers : int
        The most that was needed in the last `INCREASE_WINDOW_SECONDS`.
    lasting_servers : int or None
        The most that was needed in the last `DECREASE_WINDOW_SECONDS`; None
        until that long has been observed.
    waiting, running : int
        The samples that wait for a slot and those that are generated now.
    """

    servers: int = 0
    lasting_servers: int | None = None
    waiting: int = 0
    running: int = 0


class PaceEstimator:
    """Estimates the seconds that a slot needs for an expected token."""

    __slots__ = ('_count', '_mean', '_running', '_updated_at')

    def __init__(self) -> None:
        # The samples that ran at the last update, and their batches.
        self._running: dict[str, tuple[str, SampleWork]] = {}
        self._updated_at = 0.0
        self._mean = 0.0
        self._count = 0

    @property
    def seconds_per_token(self) -> float | None:
        """Return the estimate, or None while too little is known."""
        return self._mean if self._count >= MIN_OBSERVATIONS else None

    def update(
        self, batches: collections.abc.Iterable[BatchWork], now: float
    ) -> None:
        """Take in what is left of the open batches.

        A sample that ran before and is no longer left, while its batch is
        still open, is complete.
        """
        left = {
            batch.batch_id: {
                sample.sample_id: sample for sample in batch.samples
            }
            for batch in batches
        }
        # On average, a sample ends midway between two updates.
        unseen_seconds = (now - self._updated_at) / 2
        self._updated_at = now
        for sample_id, (batch_id, last) in self._running.items():
            samples = left.get(batch_id)
            if samples is not None and sample_id not in samples:
                self._observe(last, last.running_seconds + unseen_seconds)
        self._running = {
            sample_id: (batch_id, sample)
            for batch_id, samples in left.items()
            for sample_id, sample in samples.items()
            if sample.running_seconds > 0
        }

    def _observe(self, sample: SampleWork, seconds: float) -> None:
        if sample.tokens <= 0:
            return
        self._count += 1
        weight = max(1 / self._count, PACE_SMOOTHING_FACTOR)
        self._mean += weight * (seconds / sample.tokens - self._mean)


class DemandTracker:
    """Derives the needed servers of one service from its open batches."""

    __slots__ = ('_needs', '_observed_since', '_pace')

    def __init__(self) -> None:
        self._pace = PaceEstimator()
        # Times and the number of servers needed then.
        self._needs: collections.deque[tuple[float, int]] = collections.deque()
        self._observed_since: float | None = None

    def update(
        self, batches: list[BatchWork], slots_per_server: int, now: float
    ) -> Need:
        """Return the need, given the open batches at `now`."""
        samples = [sample for batch in batches for sample in batch.samples]
        self._pace.update(batches, now)
        running = sum(1 for sample in samples if sample.running_seconds > 0)
        if self._observed_since is None:
            self._observed_since = now
        pace = self._pace.seconds_per_token
        slots = 0.0 if pace is None else compute_slots(batches, pace, now)
        # Samples that run now keep their slots.
        slots = max(slots * (1 + RESERVE_FRACTION), running)
        self._needs.append((now, math.ceil(slots / max(slots_per_server, 1))))
        while self._needs[0][0] < now - DECREASE_WINDOW_SECONDS:
            self._needs.popleft()
        observed_seconds = now - self._observed_since
        return Need(
            self._find_peak(now - INCREASE_WINDOW_SECONDS),
            self._find_peak(-math.inf)
            if observed_seconds >= DECREASE_WINDOW_SECONDS
            else None,
            len(samples) - running,
            running,
        )

    def _find_peak(self, since: float) -> int:
        return max(servers for at, servers in self._needs if at >= since)


def compute_slots(
    batches: collections.abc.Iterable[BatchWork],
    seconds_per_token: float,
    now: float,
) -> float:
    """Return how many slots finish the batches by their deadlines.

    The work up to each deadline must fit into the time until then, less half
    of the longest sample that has not begun; but no more slots are needed than
    there are samples up to that deadline.
    """
    slots = 0.0
    work_seconds = 0.0
    samples = 0
    for batch in sorted(batches, key=lambda b: b.deadline):
        remaining = [
            max(
                sample.tokens * seconds_per_token - sample.running_seconds, 0.0
            )
            for sample in batch.samples
        ]
        longest_seconds = _find_longest_waiting(batch, remaining)
        work_seconds += sum(remaining)
        samples += len(remaining)
        # A slot whose last sample is a long one is busy longer than the mean
        # of all slots, by about half of that sample.
        time_left = max(
            batch.deadline - now - longest_seconds / 2, MIN_TIME_LEFT_SECONDS
        )
        slots = max(slots, min(work_seconds / time_left, samples))
    return slots


def _find_longest_waiting(batch: BatchWork, remaining: list[float]) -> float:
    """Return the seconds of the longest sample that has not begun.

    Parameters
    ----------
    remaining : list of float
        The remaining seconds of each sample of the batch.
    """
    return max(
        (
            seconds
            for sample, seconds in zip(batch.samples, remaining, strict=True)
            if not sample.running_seconds
        ),
        default=0.0,
    )
