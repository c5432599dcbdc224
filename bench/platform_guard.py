"""Measures what the guard before the object API gives, with and without it.

In one run and one process: the reads of a platform of which 2 % are slow, and
the calls sent to a platform that is out while callers keep asking.
"""

import random
import statistics
import time

import anyio

from swiftjunction import errors
from swiftjunction import objectstore

READS = 2000
READERS = 8
QUICK_SECONDS = 0.002
SLOW_SECONDS = 0.5
SLOW_SHARE = 0.02
CALLERS = 20
CALL_INTERVAL_SECONDS = 0.05
OUTAGE_SECONDS = 10.0
AFTER_SECONDS = 4.0


class SlowStore(objectstore.HttpObjectStore):
    """Answers without HTTP, now and then late, or not at all."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.calls = 0
        self.out = False

    async def read(self, key):
        self.calls += 1
        if self.out:
            raise errors.PlatformUnavailable('out', step='read')
        slow = self.rng.random() < SLOW_SHARE
        await anyio.sleep(SLOW_SECONDS if slow else QUICK_SECONDS)
        return objectstore.Object(key, 1, b'1')


def guard(store):
    """Return `store` behind the guard."""
    return objectstore.ResilientObjectStore(
        store, lambda: 16, random.Random(1)
    )


async def read_often(store):
    """Return how long each of many reads took, in seconds."""
    seconds = []

    async def reader():
        for _ in range(READS // READERS):
            began = time.monotonic()
            await store.read('claims/a')
            seconds.append(time.monotonic() - began)

    async with anyio.create_task_group() as tasks:
        for _ in range(READERS):
            tasks.start_soon(reader)
    return sorted(seconds)


async def ask_through_outage(store, inner):
    """Return the calls sent in an outage and when all saw its end."""
    ends = []

    async def caller():
        while True:
            try:
                await store.read('claims/a')
                if not inner.out:
                    ends.append(time.monotonic())
                    return
            except errors.PlatformUnavailable:
                pass
            await anyio.sleep(CALL_INTERVAL_SECONDS)

    inner.out = True
    async with anyio.create_task_group() as tasks:
        for _ in range(CALLERS):
            tasks.start_soon(caller)
        await anyio.sleep(OUTAGE_SECONDS)
        calls = inner.calls
        inner.out = False
        ended = time.monotonic()
    return calls, max(ends) - ended


async def measure():
    """Print both tables."""
    print(f'{"reads":<10}{"mean ms":>9}{"p99 ms":>9}{"calls":>8}')
    for name, wrap in (('plain', lambda s: s), ('guarded', guard)):
        inner = SlowStore(7)
        seconds = await read_often(wrap(inner))
        print(
            f'{name:<10}{1000 * statistics.fmean(seconds):>9.1f}'
            f'{1000 * seconds[int(0.99 * len(seconds))]:>9.1f}'
            f'{inner.calls:>8}'
        )
    print(f'{"outage":<10}{"calls/s":>9}{"back after s":>14}')
    for name, wrap in (('plain', lambda s: s), ('guarded', guard)):
        inner = SlowStore(7)
        calls, back_seconds = await ask_through_outage(wrap(inner), inner)
        print(f'{name:<10}{calls / OUTAGE_SECONDS:>9.1f}{back_seconds:>14.2f}')


if __name__ == '__main__':
    anyio.run(measure)
