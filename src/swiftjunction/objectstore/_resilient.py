"""An object store client with rate limits, retries and hedged reads."""

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
CountMetric = collections.abc.Callable[..., None]

MAX_CALL_ATTEMPTS = 3
INITIAL_BACKOFF_SECONDS = 0.05
# A read is hedged, that is sent a second time, if it takes longer than this
# and longer than HEDGE_FACTOR times the mean.
MIN_HEDGE_SECONDS = 0.05
HEDGE_FACTOR = 4.0
# Limits hedges to this fraction of all reads, so that a store that is slow for
# every read does not receive twice the calls.
HEDGES_PER_READ = 0.05
MAX_HEDGE_BURST = 5.0
READ_TIME_SMOOTHING = 0.1


class ResilientObjectStore(_objects.ObjectStore):
    """Adds rate limits, retries, a circuit breaker and hedges to a store.

    Only operations that are safe to repeat are retried: reads, and writes that
    the store rejected. A write whose response was lost raises
    ``WriteUncertain``: only the caller, who knows the value, can find out
    whether it took effect, for example by :func:`update_or_confirm`.

    Parameters
    ----------
    store : ObjectStore
        Makes the calls.
    count_processes : callable
        Returns how many processes share the store's rate limits.
    rng : random.Random
        Adds jitter to retries.
    count : callable
        Increments the metric with the given name and labels.
    clock : callable
        Returns monotonic seconds.
    """

    __slots__ = (
        '_breaker',
        '_clock',
        '_count',
        '_hedge_tokens',
        '_mean_read_seconds',
        '_read_limiter',
        '_rng',
        '_store',
        '_write_limiter',
    )

    def __init__(
        self,
        store: _objects.ObjectStore,
        count_processes: collections.abc.Callable[[], int],
        rng: random.Random,
        count: CountMetric = lambda *args, **labels: None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._rng = rng
        self._count = count
        self._clock = clock
        self._breaker = _breaker.CircuitBreaker(rng, clock)
        self._read_limiter = _rate_limiter.RateLimiter(
            _rate_limiter.FLEET_READS_PER_SECOND, count_processes, clock
        )
        self._write_limiter = _rate_limiter.RateLimiter(
            _rate_limiter.FLEET_WRITES_PER_SECOND, count_processes, clock
        )
        self._mean_read_seconds = 0.0
        self._hedge_tokens = MAX_HEDGE_BURST

    def outage_seconds(self) -> float:
        """Return the duration of the current outage; 0 if there is none."""
        return self._breaker.outage_seconds()

    def summarize(self) -> dict[str, object]:
        """Return the state of the calls to the store, for the state dump."""
        return {
            'state': 'outage' if self._breaker.is_open else 'answers',
            'outage_seconds': round(self.outage_seconds(), 1),
            'last_error': self._breaker.last_error,
            'reads_per_second': self._read_limiter.calls_per_second,
            'writes_per_second': self._write_limiter.calls_per_second,
            'waiting': {
                'reads': self._read_limiter.count_waiting(),
                'writes': self._write_limiter.count_waiting(),
            },
        }

    async def read(self, key: str) -> _objects.Object:
        return await self._call(
            self._read_limiter,
            key,
            lambda: self._hedge(lambda: self._read_timed(key)),
        )

    async def list(self, prefix: str) -> _objects.ChangeSet:
        return await self._call(
            self._read_limiter, prefix, lambda: self._store.list(prefix)
        )

    async def create(self, key: str, value: bytes) -> int:
        return await self._call(
            self._write_limiter, key, lambda: self._store.create(key, value)
        )

    async def update(self, key: str, value: bytes, version: int) -> int:
        return await self._call(
            self._write_limiter,
            key,
            lambda: self._store.update(key, value, version),
        )

    async def delete(self, key: str, version: int) -> None:
        await self._call(
            self._write_limiter, key, lambda: self._store.delete(key, version)
        )

    async def watch(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> _objects.ChangeSet:
        return await self._call(
            self._read_limiter,
            prefix,
            lambda: self._store.watch(prefix, revision, wait_seconds),
        )

    async def _call(
        self, limiter: _rate_limiter.RateLimiter, key: str, call: Call[Result]
    ) -> Result:
        category = key.split('/')[0]
        delay_seconds = INITIAL_BACKOFF_SECONDS
        for attempt in range(MAX_CALL_ATTEMPTS):
            await limiter.acquire(category)
            try:
                return await self._attempt(category, call)
            except errors.PlatformUnavailable:
                if attempt == MAX_CALL_ATTEMPTS - 1 or self._breaker.is_open:
                    raise
            await anyio.sleep(delay_seconds * self._rng.uniform(0.5, 1.5))
            delay_seconds *= 2
        raise AssertionError('the last attempt returns or raises')

    async def _attempt(self, category: str, call: Call[Result]) -> Result:
        # Lease calls are few and are made even if the breaker is open: they
        # may be the first to find that the store is available again.
        if (
            not self._breaker.admit_call()
            and category != _rate_limiter.LEASE_CATEGORY
        ):
            self._count('platform_calls', use=category, outcome='breaker')
            raise errors.PlatformUnavailable(
                'the object store has been unavailable for '
                f'{self.outage_seconds():.0f} s: {self._breaker.last_error}',
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
            self._count('platform_calls', use=category, outcome=outcome)

    async def _read_timed(self, key: str) -> _objects.Object:
        started_at = self._clock()
        try:
            return await self._store.read(key)
        finally:
            self._mean_read_seconds += READ_TIME_SMOOTHING * (
                self._clock() - started_at - self._mean_read_seconds
            )

    async def _hedge(self, read: Call[Result]) -> Result:
        """Run `read`, a second time if slow; return the first outcome."""
        self._hedge_tokens = min(
            self._hedge_tokens + HEDGES_PER_READ, MAX_HEDGE_BURST
        )
        outcomes: list[Result | errors.PlatformError] = []
        first_done = anyio.Event()

        async def run() -> None:
            try:
                outcomes.append(await read())
            except errors.PlatformError as error:
                outcomes.append(error)
            first_done.set()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            with anyio.move_on_after(
                max(MIN_HEDGE_SECONDS, HEDGE_FACTOR * self._mean_read_seconds)
            ):
                await first_done.wait()
            if not outcomes and self._hedge_tokens >= 1:
                self._hedge_tokens -= 1
                self._count('platform_hedges')
                tasks.start_soon(run)
            await first_done.wait()
            tasks.cancel_scope.cancel()
        outcome = outcomes[0]
        if isinstance(outcome, errors.PlatformError):
            raise outcome
        return outcome
