"""Compares a plain object store client with a resilient one.

Measures the latency of reads when 2 % of them are slow, and the calls that
reach the platform in an outage while callers keep retrying. Both clients run
in this process, one after the other.
"""

import random
import statistics
import time

import anyio

from swiftjunction import errors
from swiftjunction import objectstore

READ_COUNT = 2000
READER_COUNT = 8
FAST_READ_SECONDS = 0.002
SLOW_READ_SECONDS = 0.5
SLOW_SHARE = 0.02
CALLER_COUNT = 20
CALL_INTERVAL_SECONDS = 0.05
OUTAGE_SECONDS = 10.0
AFTER_OUTAGE_SECONDS = 4.0


class UnreliableStore(objectstore.HttpObjectStore):
    """A store without HTTP whose reads are sometimes slow or fail.

    Attributes
    ----------
    call_count : int
        Number of reads.
    is_down : bool
        Whether all reads fail.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.call_count = 0
        self.is_down = False

    async def read(self, key):
        self.call_count += 1
        if self.is_down:
            raise errors.PlatformUnavailable(
                'the platform is down', step='read'
            )
        is_slow = self.rng.random() < SLOW_SHARE
        await anyio.sleep(SLOW_READ_SECONDS if is_slow else FAST_READ_SECONDS)
        return objectstore.Object(key, 1, b'1')


def wrap_resilient(store):
    """Wrap `store` with rate limits, retries, a circuit breaker and hedges."""
    return objectstore.ResilientObjectStore(
        store, lambda: 16, random.Random(1)
    )


async def measure_reads(store):
    """Return the sorted latencies of concurrent reads, in seconds."""
    seconds = []

    async def reader():
        for _ in range(READ_COUNT // READER_COUNT):
            started_at = time.monotonic()
            await store.read('claims/a')
            seconds.append(time.monotonic() - started_at)

    async with anyio.create_task_group() as tasks:
        for _ in range(READER_COUNT):
            tasks.start_soon(reader)
    return sorted(seconds)


async def measure_outage(store, inner_store):
    """Measure the calls in an outage and the time to recover from it.

    Parameters
    ----------
    store : ObjectStore
        Store that the callers use.
    inner_store : UnreliableStore
        Store that has the outage and counts the calls.

    Returns
    -------
    call_count : int
        Calls that reached `inner_store` in the outage.
    recovery_seconds : float
        Time from the end of the outage until every caller has succeeded.
    """
    recovered_at = []

    async def caller():
        while True:
            try:
                await store.read('claims/a')
                if not inner_store.is_down:
                    recovered_at.append(time.monotonic())
                    return
            except errors.PlatformUnavailable:
                pass
            await anyio.sleep(CALL_INTERVAL_SECONDS)

    inner_store.is_down = True
    async with anyio.create_task_group() as tasks:
        for _ in range(CALLER_COUNT):
            tasks.start_soon(caller)
        await anyio.sleep(OUTAGE_SECONDS)
        call_count = inner_store.call_count
        inner_store.is_down = False
        outage_ended_at = time.monotonic()
    return call_count, max(recovered_at) - outage_ended_at


async def print_tables():
    """Measure both clients and print the tables."""
    print(f'{"reads":<10}{"mean ms":>9}{"p99 ms":>9}{"calls":>8}')
    for name, wrap in (('plain', lambda s: s), ('guarded', wrap_resilient)):
        inner_store = UnreliableStore(7)
        seconds = await measure_reads(wrap(inner_store))
        print(
            f'{name:<10}{1000 * statistics.fmean(seconds):>9.1f}'
            f'{1000 * seconds[int(0.99 * len(seconds))]:>9.1f}'
            f'{inner_store.call_count:>8}'
        )
    print(f'{"outage":<10}{"calls/s":>9}{"back after s":>14}')
    for name, wrap in (('plain', lambda s: s), ('guarded', wrap_resilient)):
        inner_store = UnreliableStore(7)
        call_count, recovery_seconds = await measure_outage(
            wrap(inner_store), inner_store
        )
        print(
            f'{name:<10}{call_count / OUTAGE_SECONDS:>9.1f}'
            f'{recovery_seconds:>14.2f}'
        )


if __name__ == '__main__':
    anyio.run(print_tables)
