"""Bounds the calls that this process makes of the platform."""

import collections
import collections.abc
import time

import anyio

from swiftjunction import errors

# What all processes together may use of the platform's rates.
FLEET_READS_PER_SECOND = 1500.0
FLEET_WRITES_PER_SECOND = 300.0
# Most processes use far less than an even share at any moment, so each may
# use several; the platform's own refusals slow down what is still too much.
SHARES_PER_PROCESS = 4.0
MIN_CALLS_PER_SECOND = 5.0
BURST_SECONDS = 1.0
# A call that could not begin by then is refused at once instead.
MAX_WAIT_SECONDS = 2.0
COUNT_INTERVAL_SECONDS = 1.0
LEASES = 'leases'


class RateLimiter:
    """A token bucket, shared fairly between the uses that wait for it.

    Renewals of leases never wait: they take the bucket below zero, and the
    other uses make up for it.

    Parameters
    ----------
    fleet_calls_per_second : float
        For all processes.
    count_processes : callable
        Returns how many processes share it.
    clock : callable
        A monotonic clock.
    """

    __slots__ = (
        '_clock',
        '_count_processes',
        '_counted_at',
        '_fleet_calls_per_second',
        '_filled_at',
        '_served',
        '_tokens',
        '_waiting',
        'calls_per_second',
    )

    def __init__(
        self,
        fleet_calls_per_second: float,
        count_processes: collections.abc.Callable[[], int],
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._fleet_calls_per_second = fleet_calls_per_second
        self._count_processes = count_processes
        self._clock = clock
        self._counted_at = -COUNT_INTERVAL_SECONDS
        self._filled_at = clock()
        self.calls_per_second = MIN_CALLS_PER_SECOND
        # How often each use was served; the least served one goes next.
        self._served: dict[str, int] = {}
        self._waiting: dict[str, collections.deque[object]] = {}
        self._count()
        self._tokens = self.calls_per_second * BURST_SECONDS

    def count_waiting(self) -> dict[str, int]:
        """Return how many calls of each use wait, for a dump."""
        return {use: len(line) for use, line in self._waiting.items() if line}

    async def acquire(self, use: str) -> None:
        """Wait for the turn of one call for `use`.

        Raises
        ------
        PlatformUnavailable
            At once, if the turn would come too late; nothing was sent.
        """
        self._fill()
        if use == LEASES:
            self._tokens -= 1
            return
        ahead = sum(len(line) for line in self._waiting.values())
        if (ahead + 1 - self._tokens) / self.calls_per_second > (
            MAX_WAIT_SECONDS
        ):
            raise errors.PlatformUnavailable(
                f'the rate budget is used up; {ahead} calls wait',
                step=f'budget of {use}',
                peer='object API',
            )
        await self._queue(use)

    async def _queue(self, use: str) -> None:
        ticket = object()
        line = self._waiting.setdefault(use, collections.deque())
        if not line:
            self._rejoin(use)
        line.append(ticket)
        try:
            while not self._is_next(use, ticket):
                await anyio.sleep(1 / self.calls_per_second)
                self._fill()
            self._tokens -= 1
            self._served[use] += 1
        finally:
            line.remove(ticket)

    def _rejoin(self, use: str) -> None:
        # A use that was idle gets no credit for it.
        others = [
            self._served[other]
            for other, line in self._waiting.items()
            if line
        ]
        self._served[use] = max(self._served.get(use, 0), *others, 0)

    def _is_next(self, use: str, ticket: object) -> bool:
        if self._tokens < 1 or self._waiting[use][0] is not ticket:
            return False
        waiting = [other for other, line in self._waiting.items() if line]
        return min(waiting, key=lambda u: (self._served[u], u)) == use

    def _fill(self) -> None:
        now = self._clock()
        if now - self._counted_at >= COUNT_INTERVAL_SECONDS:
            self._counted_at = now
            self._count()
        added = (now - self._filled_at) * self.calls_per_second
        self._filled_at = now
        self._tokens = min(
            self._tokens + added, self.calls_per_second * BURST_SECONDS
        )

    def _count(self) -> None:
        share = self._fleet_calls_per_second / max(self._count_processes(), 1)
        self.calls_per_second = max(
            SHARES_PER_PROCESS * share, MIN_CALLS_PER_SECOND
        )
