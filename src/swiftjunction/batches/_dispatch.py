"""Assigns samples to engines and migrates them away from slow engines."""

import collections
import collections.abc
import contextlib
import logging

import anyio

from swiftjunction.batches import _engines
from swiftjunction.batches import _migration
from swiftjunction.batches import _open
from swiftjunction.batches import _planning

LOG = logging.getLogger(__name__)


class SampleAttempt:
    """One attempt to generate a sample, which occupies a slot of its engine.

    Attributes
    ----------
    slot : ExitStack
        Releases the slot when closed, which happens before the text is scored.
    """

    __slots__ = ('engine', 'open_batch', 'progress', 'slot')

    def __init__(
        self,
        open_batch: _open.OpenBatch,
        progress: _open.SampleProgress,
        engine: _engines.EngineState,
    ) -> None:
        self.open_batch = open_batch
        self.progress = progress
        self.engine = engine
        self.slot = contextlib.ExitStack()
        self.slot.enter_context(
            engine.reserve_slot(progress.sample.estimate_tokens())
        )
        if engine.server.is_rate_limited() and not progress.complete:
            engine.awaiting_permit = progress.sample.sample_id
        progress.running = True
        progress.started_at = anyio.current_time()

    def end(self) -> None:
        """Release the slot, and allow another attempt."""
        self.engine.end_permit_wait(self.progress.sample.sample_id)
        self.progress.engine = ''
        self.progress.running = False
        self.progress.ended_at = anyio.current_time()
        self.slot.close()


class Dispatcher:
    """Decides which samples to start on which engine, and which to migrate.

    Parameters
    ----------
    engines : EngineRegistry
        Lists the engines of each service.
    """

    __slots__ = ('_engines', '_selector', '_slow_engines')

    def __init__(self, engines: _engines.EngineRegistry) -> None:
        self._engines = engines
        self._selector = _planning.EngineSelector()
        self._slow_engines: collections.defaultdict[
            str, _engines.SlowEngines
        ] = collections.defaultdict(_engines.SlowEngines)

    def reserve_attempts(
        self, batches: collections.abc.Iterable[_open.OpenBatch]
    ) -> collections.abc.Iterator[SampleAttempt]:
        """Reserve slots for waiting samples while engines have free ones.

        Yields an attempt for each reserved slot. The caller must start it
        before it requests the next one; its end releases the slot.
        """
        self._engines.remove_departed()
        now = anyio.current_time()
        engines: dict[str, list[_engines.EngineState]] = {}
        unavailable: set[tuple[str, str, int]] = set()
        for open_batch, progress in _planning.prioritize_samples(batches):
            if progress.not_before > now:
                continue
            batch = open_batch.batch
            requirement = (batch.service, batch.model, batch.min_version)
            if requirement in unavailable:
                continue
            if batch.service not in engines:
                engines[batch.service] = self._engines.list_engines(
                    batch.service
                )
            engine = self._selector.select(
                (open_batch, progress), engines[batch.service], now
            )
            if engine is None:
                # Other samples may use engines of other software.
                if not progress.needs_software():
                    unavailable.add(requirement)
                continue
            yield SampleAttempt(open_batch, progress, engine)

    def check_batch(self, open_batch: _open.OpenBatch) -> None:
        """Plan a batch by itself without effect; raises what that raises."""
        now = anyio.current_time()
        engines = self._engines.list_engines(open_batch.batch.service)
        for waiting in _planning.prioritize_samples([open_batch]):
            self._selector.select(waiting, engines, now)
        list(_migration.select_migrations([open_batch], engines, now))

    def migrate_from_slow_engines(
        self, batches: collections.abc.Collection[_open.OpenBatch]
    ) -> None:
        """Cancel attempts on slow engines whose samples can migrate."""
        now = anyio.current_time()
        for service in {open_batch.batch.service for open_batch in batches}:
            engines = self._engines.list_engines(service)
            migrations = _migration.select_migrations(
                [b for b in batches if b.batch.service == service],
                engines,
                now,
                self._slow_engines[service].update(engines, now),
            )
            for progress in migrations:
                LOG.info(
                    'migrating sample from a slow engine',
                    extra={
                        'request_id': progress.sample.sample_id,
                        'server': progress.engine,
                        'last_event': progress.last_number,
                    },
                )
                progress.migrations += 1
                progress.cancel_scope.cancel()
