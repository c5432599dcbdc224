"""Which sample goes to which engine, and when.

The load that this answers: steps of some dozen to some thousand samples in
groups, whose trainers wait for most of the groups to be whole by a due time,
on engines that run a few samples at once and are at times all full.
"""

import collections
import collections.abc

from swiftjunction.batches import _engines
from swiftjunction.batches import _open_batch

# A sample is not moved before it has shown how fast its engine is.
LEAST_STAY_SECONDS = 0.5
MAX_MOVES = 3

Candidate = tuple[_open_batch.OpenBatch, _open_batch.SampleProgress]


class EngineSelector:
    """Remembers on which engine each group was last begun."""

    __slots__ = ('_engines', '_limit')

    def __init__(self, limit: int = 4096) -> None:
        self._limit = limit
        self._engines: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def choose(
        self,
        candidate: Candidate,
        engines: list[_engines.EngineState],
    ) -> _engines.EngineState | None:
        """Return the engine for a sample; None where no place is free.

        The engine with the fewest expected tokens goes first: the longest
        samples bind a step, and each sample beside them makes them longer. Of
        equals, the one that has read the group's prompt. Engines that are
        slow of late go last.
        """
        opened, progress = candidate
        batch = opened.batch
        free = [
            engine
            for engine in engines
            if engine.may_run(batch.model, batch.min_version)
        ]
        if not free:
            return None
        slow = _engines.find_slow(engines)
        holder = self._engines.get(progress.item.group)
        chosen = min(
            free,
            key=lambda engine: (
                engine.server.name in slow,
                engine.expected_tokens,
                engine.server.name != holder,
            ),
        )
        self._remember(progress.item.group, chosen.server.name)
        return chosen

    def _remember(self, group: str, engine: str) -> None:
        self._engines[group] = engine
        self._engines.move_to_end(group)
        if len(self._engines) > self._limit:
            self._engines.popitem(last=False)


def choose_moves(
    batches: collections.abc.Iterable[_open_batch.OpenBatch],
    engines: list[_engines.EngineState],
    now: float,
) -> collections.abc.Iterator[_open_batch.SampleProgress]:
    """Yield the samples that are to leave a slow engine for a faster one.

    Another engine goes on from the last event, and reads the prompt and the
    text again, which takes some milliseconds; the rest of a long sample on a
    slow engine takes seconds. No more are moved than have a place.
    """
    slow = _engines.find_slow(engines)
    if not slow:
        return
    fast = [engine for engine in engines if engine.server.name not in slow]
    places = {
        engine.server.name: engine.slots - engine.server.in_flight
        for engine in fast
    }
    for opened in batches:
        for progress in opened.left.values():
            if progress.engine not in slow or not may_move(progress, now):
                continue
            target = next(
                (
                    engine.server.name
                    for engine in fast
                    if places[engine.server.name] > 0
                    and engine.may_run(
                        opened.batch.model, opened.batch.min_version
                    )
                ),
                None,
            )
            if target is not None:
                places[target] -= 1
                yield progress


def may_move(progress: _open_batch.SampleProgress, now: float) -> bool:
    """Tell whether a running sample has been where it is for long enough."""
    return (
        progress.moves < MAX_MOVES
        and progress.last_number >= 0
        and now - progress.began_at > LEAST_STAY_SECONDS
    )


def order_samples(
    batches: collections.abc.Iterable[_open_batch.OpenBatch],
) -> collections.abc.Iterator[Candidate]:
    """Yield the samples that wait for an engine, the first one first.

    Parameters
    ----------
    batches : iterable of OpenBatch
        Those that are ended are passed over.
    """
    waiting = [opened for opened in batches if not opened.ended]
    waiting.sort(key=lambda o: (o.is_satisfied(), o.due_at))
    for opened in waiting:
        for group in order_groups(opened):
            for progress in group:
                if not progress.running and not _is_finished(opened, progress):
                    yield opened, progress


def order_groups(
    opened: _open_batch.OpenBatch,
) -> list[list[_open_batch.SampleProgress]]:
    """Return the groups that are left, each with its longest sample first.

    A step is paid by whole groups, and its trainer waits for most, not all
    of them. So groups that are begun go first; the longest groups, which the
    trainer can do without, go last; and of the others the longest begin
    first, as what begins late and is long is late.
    """
    groups: dict[str, list[_open_batch.SampleProgress]] = {}
    for progress in opened.left.values():
        groups.setdefault(progress.item.group, []).append(progress)
    for group in groups.values():
        group.sort(key=lambda p: -p.item.expected_tokens)
    wanted = opened.batch.wanted_groups - opened.count_whole_groups()
    spare = _find_spare(groups, wanted, opened.carried)
    return sorted(
        groups.values(),
        key=lambda group: (
            not any(p.began_at for p in group),
            group[0].item.group in spare,
            group[0].item.group not in opened.carried,
            -group[0].item.expected_tokens,
        ),
    )


def _find_spare(
    groups: dict[str, list[_open_batch.SampleProgress]],
    wanted: int,
    carried: collections.abc.Container[str],
) -> set[str]:
    """Return the longest groups beyond those that the trainer waits for."""
    optional = sorted(
        (name for name in groups if name not in carried),
        key=lambda name: groups[name][0].item.expected_tokens,
    )
    needed = max(wanted - (len(groups) - len(optional)), 0)
    return set(optional[needed:])


def _is_finished(
    opened: _open_batch.OpenBatch, progress: _open_batch.SampleProgress
) -> bool:
    return any(
        result.item_id == progress.item.item_id for result in opened.finished
    )
