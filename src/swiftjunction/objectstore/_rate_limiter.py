"""Limits the rate of calls from this process to the object store."""

import collections
import collections.abc
import time

import anyio

from swiftjunction import errors

# The part of the store's rate limits that all processes together may use.
FLEET_READS_PER_SECOND = 1500.0
FLEET_WRITES_PER_SECOND = 300.0
# Most processes use far less than an equal part of the limit at any time, so
# each may use several such parts. If the total is still too high, the store
# rejects calls.
SHARES_PER_PROCESS = 4.0
MIN_CALLS_PER_SECOND = 5.0
BURST_SECONDS = 1.0
# A call that would have to wait longer is rejected immediately.
MAX_WAIT_SECONDS = 2.0
COUNT_INTERVAL_SECONDS = 1.0
LEASE_CATEGORY = 'leases'


class RateLimiter:
    """A token bucket that is shared fairly between categories of calls.

    A category is the first segment of an object key. Lease calls never wait:
    they may make the bucket negative, which delays the other categories.

    Parameters
    ----------
    fleet_calls_per_second : float
        The rate for all processes together.
    count_processes : callable
        Returns how many processes share the rate.
    clock : callable
        Returns monotonic seconds.

    Attributes
    ----------
    calls_per_second : float
        The current rate of this process.
    """

    __slots__ = (
        '_clock',
        '_count_processes',
        '_counted_at',
        '_filled_at',
        '_fleet_calls_per_second',
        '_queues',
        '_served',
        '_tokens',
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
        # Calls served by category; the least served category goes next.
        self._served: dict[str, int] = {}
        self._queues: dict[str, collections.deque[object]] = {}
        self._update_rate()
        self._tokens = self.calls_per_second * BURST_SECONDS

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting calls by category."""
        return {
            category: len(queue)
            for category, queue in self._queues.items()
            if queue
        }

    async def acquire(self, category: str) -> None:
        """Wait until one call of `category` may be made.

        Raises
        ------
        PlatformUnavailable
            Immediately, if the call would wait for too long; nothing was sent.
        """
        self._refill()
        if category == LEASE_CATEGORY:
            self._tokens -= 1
            return
        ahead = sum(len(queue) for queue in self._queues.values())
        if (ahead + 1 - self._tokens) / self.calls_per_second > (
            MAX_WAIT_SECONDS
        ):
            raise errors.PlatformUnavailable(
                f'rate limit reached; {ahead} calls are waiting',
                step=f'budget of {category}',
                peer='object API',
            )
        await self._wait_turn(category)

    async def _wait_turn(self, category: str) -> None:
        ticket = object()
        queue = self._queues.setdefault(category, collections.deque())
        if not queue:
            self._align_served_count(category)
        queue.append(ticket)
        try:
            while not self._is_next(category, ticket):
                await anyio.sleep(1 / self.calls_per_second)
                self._refill()
            self._tokens -= 1
            self._served[category] += 1
        finally:
            queue.remove(ticket)

    def _align_served_count(self, category: str) -> None:
        # Otherwise a category that was idle would go first until it had made
        # as many calls as the others.
        others = [
            self._served[other]
            for other, queue in self._queues.items()
            if queue
        ]
        self._served[category] = max(self._served.get(category, 0), *others, 0)

    def _is_next(self, category: str, ticket: object) -> bool:
        if self._tokens < 1 or self._queues[category][0] is not ticket:
            return False
        waiting = [other for other, queue in self._queues.items() if queue]
        return min(waiting, key=lambda c: (self._served[c], c)) == category

    def _refill(self) -> None:
        now = self._clock()
        if now - self._counted_at >= COUNT_INTERVAL_SECONDS:
            self._counted_at = now
            self._update_rate()
        added = (now - self._filled_at) * self.calls_per_second
        self._filled_at = now
        self._tokens = min(
            self._tokens + added, self.calls_per_second * BURST_SECONDS
        )

    def _update_rate(self) -> None:
        share = self._fleet_calls_per_second / max(self._count_processes(), 1)
        self.calls_per_second = max(
            SHARES_PER_PROCESS * share, MIN_CALLS_PER_SECOND
        )
