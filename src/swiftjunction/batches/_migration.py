"""Decides which samples migrate from slow engines to faster ones.

A training step ends with its longest samples, so these should not run on a
slow engine while a faster one is free. For the others a migration costs a
connection, and a prompt processed again, and nobody waits for them.
"""

import collections.abc

from swiftjunction.batches import _engines
from swiftjunction.batches import _open

# A sample runs at least this long before it is migrated, so that the latency
# of its engine is measured.
MIN_ATTEMPT_SECONDS = 0.5
# One that is not expected to be among the longest of its batch runs at least
# this long: most of these end by then, and none of them is what the training
# step waits for. The estimate may be wrong for one that is still running.
MIN_SHORT_ATTEMPT_SECONDS = 1.5
# Share of the samples of a batch that count as its longest while pending.
LONGEST_SHARE = 1 / 8
MAX_MIGRATIONS = 3

RunningSample = tuple[_open.OpenBatch, _open.SampleProgress]


def select_migrations(
    batches: collections.abc.Iterable[_open.OpenBatch],
    engines: list[_engines.EngineState],
    now: float,
    lasting: collections.abc.Container[str] | None = None,
) -> collections.abc.Iterator[_open.SampleProgress]:
    """Yield the samples to migrate from slow engines to faster ones.

    The new engine has to process the prompt and the text so far before it
    resumes, which takes some milliseconds, while the rest of a long sample on
    a slow engine takes seconds. No more samples are yielded than the faster
    engines have free slots, those expected to be the longest first.

    Parameters
    ----------
    now : float
        Time of the event loop's clock in seconds.
    lasting : container of str, optional
        The engines to migrate from, if they are slow; by default, all.
    """
    slow = _engines.find_slow_engines(engines)
    if not slow:
        return
    fast = [engine for engine in engines if engine.server.name not in slow]
    free_slots = {
        engine.server.name: engine.slots - engine.server.in_flight
        for engine in fast
    }
    left = slow if lasting is None else {n for n in slow if n in lasting}
    for open_batch, progress in _find_migratable(batches, left, now):
        target = next(
            (
                engine.server.name
                for engine in fast
                if free_slots[engine.server.name] > 0
                and progress.may_run_on(engine.server)
                and engine.can_run(
                    open_batch.batch.model, open_batch.batch.min_version
                )
            ),
            None,
        )
        if target is not None:
            free_slots[target] -= 1
            yield progress


def _find_migratable(
    batches: collections.abc.Iterable[_open.OpenBatch],
    left: set[str],
    now: float,
) -> list[RunningSample]:
    """Return the samples on the engines `left` that may be migrated."""
    found = []
    for open_batch in batches:
        on_engines = [
            progress
            for progress in open_batch.pending.values()
            if progress.engine in left
        ]
        if not on_engines:
            continue
        long_tokens = find_long_tokens(open_batch)
        found += [
            (open_batch, progress)
            for progress in on_engines
            if can_migrate(progress, now, long_tokens)
        ]
    found.sort(key=lambda item: -item[1].sample.estimate_tokens())
    return found


def find_long_tokens(open_batch: _open.OpenBatch) -> float:
    """Return the expected tokens from which a sample is among the longest.

    These are the longest of those that are pending, so that at the end of a
    batch all that remain are.
    """
    count = max(int(open_batch.batch.total * LONGEST_SHARE), 1)
    lengths = sorted(
        (p.sample.estimate_tokens() for p in open_batch.pending.values()),
        reverse=True,
    )
    return lengths[count - 1] if count <= len(lengths) else 0.0


def can_migrate(
    progress: _open.SampleProgress, now: float, long_tokens: float = 0.0
) -> bool:
    """Return whether a running sample may be migrated to another engine.

    Parameters
    ----------
    long_tokens : float
        The expected tokens of the longest samples of its batch.
    """
    min_seconds = (
        MIN_ATTEMPT_SECONDS
        if progress.sample.estimate_tokens() >= long_tokens
        else MIN_SHORT_ATTEMPT_SECONDS
    )
    return (
        progress.migrations < MAX_MIGRATIONS
        and progress.last_number >= 0
        and now - progress.started_at > min_seconds
    )
