"""The one way in which a process calls the object API."""

import collections.abc
import random
import time
import typing

import anyio

from swiftjunction import errors
from swiftjunction.objectstore import _breaker
from swiftjunction.objectstore import _objects
from swiftjunction.objectstore import _rate_limiter

Result = typing.TypeVar('Result')
Call = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, Result]
]
Count = collections.abc.Callable[..., None]

ATTEMPTS = 3
FIRST_DELAY_SECONDS = 0.05
# A read that has no answer by then is sent once more beside the first.
MIN_HEDGE_SECONDS = 0.05
HEDGE_FACTOR = 4.0
# Hedges are at most this share of all reads, so that a platform that is slow
# for all is not asked twice for everything.
HEDGE_SHARE = 0.05
HEDGE_BURST = 5.0
AVERAGE_WEIGHT = 0.1


class ResilientObjectStore(_objects.ObjectStore):
    """An object store with a rate budget, retries, a breaker and hedges.

    What may be repeated is: reads, and writes that were refused. A write
    whose answer was lost is the caller's to resolve, who knows its value.

    Parameters
    ----------
    store : ObjectStore
        The platform.
    count_processes : callable
        Returns how many processes share the platform.
    rng : random.Random
        Spreads retries.
    count : callable
        Counts a metric, with its labels.
    clock : callable
        A monotonic clock.
    """

    __slots__ = (
        '_breaker',
        '_clock',
        '_count',
        '_hedges_left',
        '_read_seconds',
        '_reads',
        '_rng',
        '_store',
        '_writes',
    )

    def __init__(
        self,
        store: _objects.ObjectStore,
        count_processes: collections.abc.Callable[[], int],
        rng: random.Random,
        count: Count = lambda *args, **labels: None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._rng = rng
        self._count = count
        self._clock = clock
        self._breaker = _breaker.CircuitBreaker(rng, clock)
        self._reads = _rate_limiter.RateLimiter(
            _rate_limiter.FLEET_READS_PER_SECOND, count_processes, clock
        )
        self._writes = _rate_limiter.RateLimiter(
            _rate_limiter.FLEET_WRITES_PER_SECOND, count_processes, clock
        )
        self._read_seconds = 0.0
        self._hedges_left = HEDGE_BURST

    def outage_seconds(self) -> float:
        """Return how long the platform has been out; 0 where it is not."""
        return self._breaker.outage_seconds()

    def summarize(self) -> dict[str, object]:
        """Return the state of the platform as seen here, for a dump."""
        return {
            'state': 'outage' if self._breaker.is_open else 'answers',
            'outage_seconds': round(self.outage_seconds(), 1),
            'last_error': self._breaker.last_error,
            'reads_per_second': self._reads.calls_per_second,
            'writes_per_second': self._writes.calls_per_second,
            'waiting': {
                'reads': self._reads.count_waiting(),
                'writes': self._writes.count_waiting(),
            },
        }

    async def read(self, key: str) -> _objects.Object:
        return await self._call(
            self._reads, key, lambda: self._hedge(lambda: self._time(key))
        )

    async def list(self, prefix: str) -> _objects.ChangeSet:
        return await self._call(
            self._reads, prefix, lambda: self._store.list(prefix)
        )

    async def create(self, key: str, value: bytes) -> int:
        return await self._call(
            self._writes, key, lambda: self._store.create(key, value)
        )

    async def update(self, key: str, value: bytes, version: int) -> int:
        return await self._call(
            self._writes, key, lambda: self._store.update(key, value, version)
        )

    async def delete(self, key: str, version: int) -> None:
        await self._call(
            self._writes, key, lambda: self._store.delete(key, version)
        )

    async def watch(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> _objects.ChangeSet:
        return await self._call(
            self._reads,
            prefix,
            lambda: self._store.watch(prefix, revision, wait_seconds),
        )

    async def _call(
        self, budget: _rate_limiter.RateLimiter, key: str, call: Call[Result]
    ) -> Result:
        use = key.split('/')[0]
        delay_seconds = FIRST_DELAY_SECONDS
        for attempt in range(ATTEMPTS):
            await budget.acquire(use)
            try:
                return await self._try(use, call)
            except errors.PlatformUnavailable:
                if attempt == ATTEMPTS - 1 or self._breaker.is_open:
                    raise
            await anyio.sleep(delay_seconds * self._rng.uniform(0.5, 1.5))
            delay_seconds *= 2
        raise AssertionError('the last attempt returns or raises')

    async def _try(self, use: str, call: Call[Result]) -> Result:
        # Renewals of leases are few and go through also when it is open:
        # nothing else may find out sooner that the platform is back.
        if not self._breaker.admit_call() and use != _rate_limiter.LEASES:
            self._count('platform_calls', use=use, outcome='breaker')
            raise errors.PlatformUnavailable(
                f'the platform has been out for {self.outage_seconds():.0f} '
                f's: {self._breaker.last_error}',
                step='breaker',
                peer='object API',
            )
        outcome = 'cancelled'
        try:
            result = await call()
            outcome = 'ok'
            self._breaker.record_success()
            return result
        except (errors.PlatformUnavailable, errors.WriteUncertain) as error:
            outcome = type(error).__name__
            self._breaker.record_failure(error)
            raise
        except errors.PlatformError as error:
            outcome = type(error).__name__
            self._breaker.record_success()
            raise
        finally:
            self._count('platform_calls', use=use, outcome=outcome)

    async def _time(self, key: str) -> _objects.Object:
        began = self._clock()
        try:
            return await self._store.read(key)
        finally:
            self._read_seconds += AVERAGE_WEIGHT * (
                self._clock() - began - self._read_seconds
            )

    async def _hedge(self, read: Call[Result]) -> Result:
        """Return the first answer of one read or, when it is late, of two."""
        self._hedges_left = min(self._hedges_left + HEDGE_SHARE, HEDGE_BURST)
        ends: list[Result | errors.PlatformError] = []
        first_end = anyio.Event()

        async def run() -> None:
            try:
                ends.append(await read())
            except errors.PlatformError as error:
                ends.append(error)
            first_end.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            with anyio.move_on_after(
                max(MIN_HEDGE_SECONDS, HEDGE_FACTOR * self._read_seconds)
            ):
                await first_end.wait()
            if not ends and self._hedges_left >= 1:
                self._hedges_left -= 1
                self._count('platform_hedges')
                tasks.start_soon(run)
            await first_end.wait()
            tasks.cancel_scope.cancel()
        end = ends[0]
        if isinstance(end, errors.PlatformError):
            raise end
        return end
