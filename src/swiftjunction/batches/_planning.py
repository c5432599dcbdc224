"""Schedules samples on engines.

The workload is training steps of a few dozen to a few thousand samples in
groups. A trainer waits until most of the groups are complete, and sets a
deadline for them. Each engine generates a few samples concurrently, and at
times no engine has a free slot.
"""

import collections
import collections.abc
import statistics

from swiftjunction.batches import _engines
from swiftjunction.batches import _open

# Longest wait for an engine of the software that began a text, while engines
# of other software are free. It keeps a sample from making its step late.
MAX_SOFTWARE_WAIT_SECONDS = 2.5
# Assumed while no engine's latency is known.
DEFAULT_EVENT_SECONDS = 0.02

WaitingSample = tuple[_open.OpenBatch, _open.SampleProgress]


class EngineSelector:
    """Selects an engine for each sample.

    It remembers the last engine of each group, which is likely to have the
    prompt of the group in its prefix cache.

    Parameters
    ----------
    max_groups : int
        Number of groups to remember.
    """

    __slots__ = ('_group_engines', '_max_groups')

    def __init__(self, max_groups: int = 4096) -> None:
        self._max_groups = max_groups
        self._group_engines: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def select(
        self,
        waiting: WaitingSample,
        engines: list[_engines.EngineState],
        now: float,
    ) -> _engines.EngineState | None:
        """Return the engine for a sample; None if it has to wait.

        If it is of another software version than the text of the sample, that
        text must be discarded.

        The engine with the fewest expected tokens is preferred: the longest
        samples determine how long a training step takes, and each other
        sample on the same engine slows them down. Among engines with equally
        many, the last engine of the group is preferred. Slow engines are
        selected only if no other engine can run the sample, and engines of a
        software version that is being withdrawn only if none of another
        version can: a text that is begun there may have to be begun again.

        Parameters
        ----------
        now : float
            Time of the event loop's clock in seconds.
        """
        open_batch, progress = waiting
        batch = open_batch.batch
        free = [
            engine
            for engine in engines
            if engine.can_run(batch.model, batch.min_version)
        ]
        free = _select_continuing(waiting, free, engines, now)
        if not free:
            return None
        withdrawn = _engines.find_withdrawn_software(engines)
        slow = _engines.find_slow_engines(engines)
        previous = self._group_engines.get(progress.sample.group)
        chosen = min(
            free,
            key=lambda engine: (
                engine.server.name in slow,
                engine.server.software in withdrawn,
                engine.expected_tokens,
                engine.server.name != previous,
            ),
        )
        self._remember(progress.sample.group, chosen.server.name)
        return chosen

    def _remember(self, group: str, engine: str) -> None:
        self._group_engines[group] = engine
        self._group_engines.move_to_end(group)
        if len(self._group_engines) > self._max_groups:
            self._group_engines.popitem(last=False)


def _select_continuing(
    waiting: WaitingSample,
    free: list[_engines.EngineState],
    engines: list[_engines.EngineState],
    now: float,
) -> list[_engines.EngineState]:
    """Return the free engines to consider for a sample.

    Those of the software version of its text, if there are any. If all of them
    are busy, it waits for as long as it takes to generate the text again, so
    that waiting never costs more than twice the better choice, and for
    ``MAX_SOFTWARE_WAIT_SECONDS`` at most.
    """
    open_batch, progress = waiting
    continuing = [e for e in free if progress.may_run_on(e.server)]
    if continuing:
        return continuing
    is_served = any(
        engine.server.is_live() and progress.may_run_on(engine.server)
        for engine in engines
    )
    waited_seconds = now - max(progress.ended_at, open_batch.first_seen_at)
    max_wait_seconds = min(
        _estimate_text_seconds(progress, engines), MAX_SOFTWARE_WAIT_SECONDS
    )
    return [] if is_served and waited_seconds < max_wait_seconds else free


def _estimate_text_seconds(
    progress: _open.SampleProgress, engines: list[_engines.EngineState]
) -> float:
    """Return how long it takes to generate the text so far again."""
    latencies = [
        engine.server.latency_seconds
        for engine in engines
        if engine.server.latency_seconds
    ]
    event_seconds = (
        statistics.median_low(latencies)
        if latencies
        else DEFAULT_EVENT_SECONDS
    )
    return len(progress.events) * event_seconds


def prioritize_samples(
    batches: collections.abc.Iterable[_open.OpenBatch],
) -> collections.abc.Iterator[WaitingSample]:
    """Yield the samples that wait for an engine, in order of priority.

    Batches are ordered by their deadlines; those that have as many complete
    groups as their trainer wants go last. Ended batches are skipped.
    """
    active = [open_batch for open_batch in batches if not open_batch.ended]
    active.sort(key=lambda o: (o.has_wanted_groups(), o.deadline))
    for open_batch in active:
        for group in prioritize_groups(open_batch):
            for progress in group:
                if not progress.running and not _has_result(
                    open_batch, progress
                ):
                    yield open_batch, progress


def prioritize_groups(
    open_batch: _open.OpenBatch,
) -> list[list[_open.SampleProgress]]:
    """Return the pending groups by priority, longest samples first in each.

    Only complete groups count for a training step, and its trainer waits for
    most of them, not all. So groups that have started go first, and the
    longest groups, which the trainer does not need, go last. Among the others,
    resubmitted groups go first, then the longest, because a long group that
    starts late ends late.
    """
    groups: dict[str, list[_open.SampleProgress]] = {}
    for progress in open_batch.pending.values():
        groups.setdefault(progress.sample.group, []).append(progress)
    for group in groups.values():
        group.sort(key=lambda p: -p.sample.estimate_tokens())
    wanted = (
        open_batch.batch.wanted_groups - open_batch.count_complete_groups()
    )
    optional = _find_optional_groups(
        groups, wanted, open_batch.resubmitted_groups
    )
    return sorted(
        groups.values(),
        key=lambda group: (
            not any(p.started_at for p in group),
            group[0].sample.group in optional,
            group[0].sample.group not in open_batch.resubmitted_groups,
            -group[0].sample.estimate_tokens(),
        ),
    )


def _find_optional_groups(
    groups: dict[str, list[_open.SampleProgress]],
    wanted: int,
    resubmitted_groups: collections.abc.Container[str],
) -> set[str]:
    """Return the longest groups beyond those that the trainer waits for.

    Resubmitted groups are never optional.
    """
    by_length = sorted(
        (name for name in groups if name not in resubmitted_groups),
        key=lambda name: groups[name][0].sample.estimate_tokens(),
    )
    needed = max(wanted - (len(groups) - len(by_length)), 0)
    return set(by_length[needed:])


def _has_result(
    open_batch: _open.OpenBatch, progress: _open.SampleProgress
) -> bool:
    return any(
        result.sample_id == progress.sample.sample_id
        for result in open_batch.unwritten
    )
