"""Begins samples on engines, and takes them from engines that turn slow."""

import collections.abc
import contextlib
import logging

import anyio

from swiftjunction.batches import _engines
from swiftjunction.batches import _open_batch
from swiftjunction.batches import _planning

LOG = logging.getLogger(__name__)


class Run:
    """One run of a sample, with the place that it takes at its engine.

    Attributes
    ----------
    place : ExitStack
        Gives the place back when it is closed, which may happen early.
    """

    __slots__ = ('engine', 'opened', 'place', 'progress')

    def __init__(
        self,
        opened: _open_batch.OpenBatch,
        progress: _open_batch.SampleProgress,
        engine: _engines.EngineState,
    ) -> None:
        self.opened = opened
        self.progress = progress
        self.engine = engine
        self.place = contextlib.ExitStack()
        self.place.enter_context(
            engine.hold_place(progress.item.expected_tokens)
        )
        progress.running = True
        progress.began_at = anyio.current_time()

    def end(self) -> None:
        """Give back what is still held; the sample may run again."""
        self.progress.engine = ''
        self.progress.running = False
        self.place.close()


class Dispatcher:
    """Decides which samples begin, and which leave their engine.

    Parameters
    ----------
    engines : EngineRegistry
        The engines.
    """

    __slots__ = ('_engines', '_placement')

    def __init__(self, engines: _engines.EngineRegistry) -> None:
        self._engines = engines
        self._placement = _planning.EngineSelector()

    def begin_runs(
        self, batches: collections.abc.Iterable[_open_batch.OpenBatch]
    ) -> collections.abc.Iterator[Run]:
        """Yield runs as long as engines have places; each has taken its own.

        A run must have been started before the next one is asked for.
        """
        self._engines.forget_gone()
        engines: dict[str, list[_engines.EngineState]] = {}
        full: set[tuple[str, str, int]] = set()
        for opened, progress in _planning.order_samples(batches):
            batch = opened.batch
            kind = (batch.service, batch.model, batch.min_version)
            if kind in full:
                continue
            if batch.service not in engines:
                engines[batch.service] = self._engines.list_engines(
                    batch.service
                )
            engine = self._placement.choose(
                (opened, progress), engines[batch.service]
            )
            if engine is None:
                full.add(kind)
                continue
            yield Run(opened, progress, engine)

    def move_from_slow(
        self, batches: collections.abc.Collection[_open_batch.OpenBatch]
    ) -> None:
        """End the runs that are to go on at a faster engine."""
        for service in {opened.batch.service for opened in batches}:
            moves = _planning.choose_moves(
                [b for b in batches if b.batch.service == service],
                self._engines.list_engines(service),
                anyio.current_time(),
            )
            for progress in moves:
                LOG.info(
                    'sample leaves a slow engine',
                    extra={
                        'request_id': progress.item.item_id,
                        'server': progress.engine,
                        'last_event': progress.last_number,
                    },
                )
                progress.moves += 1
                progress.scope.cancel()
