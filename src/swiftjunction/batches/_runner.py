"""Runs all open batches on the VM that is the coordinator."""

import logging
import math

import anyio
import anyio.abc
import msgspec

from swiftjunction import backends
from swiftjunction.batches import _archive
from swiftjunction.batches import _assignment
from swiftjunction.batches import _attempts
from swiftjunction.batches import _batch
from swiftjunction.batches import _checkpoints
from swiftjunction.batches import _confirmation
from swiftjunction.batches import _dispatch
from swiftjunction.batches import _engines
from swiftjunction.batches import _kept
from swiftjunction.batches import _open
from swiftjunction.batches import _opening
from swiftjunction.batches import _recent_names
from swiftjunction.batches import _retention
from swiftjunction.batches import _rounds
from swiftjunction.batches import _sampling
from swiftjunction.batches import _starting
from swiftjunction.batches import _writing
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import objectstore
from swiftjunction import supervision
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

DISPATCH_INTERVAL_SECONDS = 0.1
MIGRATION_INTERVAL_SECONDS = 0.25
# For this long after this process became the coordinator, its predecessor may
# still write results, which this process does not have in memory.
HANDOVER_SECONDS = 6.0


class BatchRunner:
    """Runs batches while this process is the coordinator.

    Parameters
    ----------
    store : ObjectStore
        Watched for new and changed batches.
    archive : BatchArchive
        Reads and writes the stored batches.
    engines : EngineRegistry
        Lists the engines of each service.
    sample_runner : SampleRunner
        Generates and scores single samples.
    allocator : EngineAllocator
        Receives the demand for each model.
    metrics : Metrics
        Counts results.
    loop_lag : LoopLag
        The lag of this process's event loop.
    keep_seconds : float
        Minimum time for which results stay readable after the submission of a
        batch.
    confirmation : EndConfirmation
        Tracks when all ended batches were last known.
    outages : OutageDetector
        Asked whether the object store is unavailable when a confirmation is
        late.
    supervisor : Supervisor, optional
        Runs single items and rounds; by default, one of its own.

    Attributes
    ----------
    batches : dict of str to OpenBatch
        The batches in memory, by id: open ones, and those that have ended a
        short time ago.
    """

    __slots__ = (
        '_allocator',
        '_archive',
        '_attempt_runner',
        '_checkpoints',
        '_confirmation',
        '_dispatcher',
        '_ended',
        '_lease',
        '_opener',
        '_outages',
        '_retention',
        '_rounds',
        '_seen_groups',
        '_start_condition',
        '_started_at',
        '_stopping',
        '_store',
        '_wake',
        '_writer',
        'batches',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        archive: _archive.BatchArchive,
        engines: _engines.EngineRegistry,
        sample_runner: _sampling.SampleRunner,
        allocator: _assignment.EngineAllocator,
        metrics: telemetry.Metrics,
        loop_lag: backends.LoopLag,
        keep_seconds: float,
        confirmation: _confirmation.EndConfirmation,
        outages: _confirmation.OutageDetector,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        supervisor = supervisor or supervision.Supervisor(metrics)
        self._store = store
        self._archive = archive
        self._allocator = allocator
        self._confirmation = confirmation
        self._outages = outages
        self._start_condition = _starting.StartCondition(
            loop_lag, confirmation
        )
        self._dispatcher = _dispatch.Dispatcher(engines)
        self._rounds = _rounds.Rounds(supervisor, self._dispatcher)
        self._seen_groups = _recent_names.RecentNames()
        self._ended = _recent_names.RecentNames()
        self._started_at = -math.inf
        self._stopping = False
        self._wake = anyio.Event()
        self._attempt_runner = _attempts.AttemptRunner(
            sample_runner, metrics, supervisor, self.wake
        )
        self.batches: dict[str, _open.OpenBatch] = {}
        self._lease: leases.Lease | None = None
        self._writer = _writing.ResultWriter(
            archive, self.batches, self._is_lease_valid, supervisor
        )
        self._opener = _opening.BatchOpener(
            supervisor, archive, self.open, self.batches, self._ended
        )
        self._checkpoints = _checkpoints.CheckpointManager(
            archive, self.batches, supervisor
        )
        self._retention = _retention.Retention(
            archive, keep_seconds, supervisor
        )

    async def run(self, lease: leases.Lease | None = None) -> None:
        """Run batches until cancelled.

        Parameters
        ----------
        lease : Lease
            The coordinator's lease. While it has expired, samples go on, but
            no results are written, as another process may run the batches.
            Without one, no other process ever does.
        """
        if lease is not self._lease:
            self._stopping = False
        self._lease = lease
        self._started_at = anyio.current_time()
        self.batches.clear()
        self._confirmation.reset()
        self._start_condition.reset()
        self._rounds.reset()
        self._writer.flushing = False
        await self._checkpoints.restore()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_batches, tasks)
            tasks.start_soon(
                _confirmation.confirm_during_outages,
                self._confirmation,
                self._outages,
            )
            tasks.start_soon(self._writer.run)
            tasks.start_soon(self._migrate_from_slow_engines)
            tasks.start_soon(self._checkpoints.run)
            tasks.start_soon(self._retention.run)
            await self._dispatch_samples(tasks)

    async def _follow_batches(self, tasks: anyio.abc.TaskGroup) -> None:
        def handle_change(found: objectstore.Object) -> None:
            # Ends take effect here, before the confirmation that covers them.
            if not self._end_if_ended(found):
                tasks.start_soon(self._opener.open, found)

        await objectstore.follow(
            self._store,
            _archive.BATCH_PREFIX,
            objectstore.CallbackListener(
                handle_change,
                self._handle_deletion,
                self._confirmation.record,
            ),
            watch_seconds=self._confirmation.watch_seconds,
            clock=self._confirmation.clock,
        )

    async def stop(self, timeout_seconds: float) -> None:
        """Cancel the running samples, and write their progress and results.

        The next coordinator resumes them from there. Waiting until they are
        complete would take as long as the longest one.

        Parameters
        ----------
        timeout_seconds : float
            Upper bound of the time for the writes.
        """
        self._stopping = True
        for open_batch in self.batches.values():
            for progress in open_batch.pending.values():
                if progress.engine:
                    progress.cancel_scope.cancel()
        with anyio.move_on_after(timeout_seconds):
            await self._checkpoints.write(
                progress
                for open_batch in self.batches.values()
                if not open_batch.ended
                for progress in open_batch.pending.values()
                if progress.events
            )
            await self._writer.flush()

    def _end_if_ended(self, found: objectstore.Object) -> bool:
        """End a batch if its object says so.

        Returns
        -------
        bool
            Whether there is nothing to open: it has ended, or is broken.
        """
        try:
            batch = _batch.decode_batch(found)
        except errors.ObjectBroken as error:
            LOG.error('stored batch could not be decoded: %s', error)
            return True
        if batch.ended:
            self.end(found.key.removeprefix(_archive.BATCH_PREFIX))
        return batch.ended

    async def open(self, stored: _archive.StoredBatch) -> _open.OpenBatch:
        """Begin to run a batch, or continue it after its stored results."""
        batch = stored.batch
        asked_at = anyio.current_time()
        blocks = await self._archive.read_results(batch.batch_id)
        known = self.batches.get(batch.batch_id)
        if known is not None:
            return known
        if batch.batch_id in self._ended:
            # The batch was ended while its results were being read.
            batch = msgspec.structs.replace(batch, ended=True, samples=[])
        open_batch = _open.OpenBatch(
            batch,
            anyio.current_time(),
            blocks,
            stored.version,
            {
                sample.group
                for sample in batch.samples
                if sample.group in self._seen_groups
            },
            self._confirmation,
        )
        open_batch.blocks_read_at = asked_at
        self.batches[batch.batch_id] = open_batch
        for sample in batch.samples:
            self._seen_groups.add(sample.group)
        restored = sum(
            self._checkpoints.cache.restore(progress, batch)
            for progress in open_batch.pending.values()
        )
        self._allocator.record_demand(
            batch.model,
            sum(sample.estimate_tokens() for sample in batch.samples),
        )
        LOG.info(
            'batch opened',
            extra={
                'batch': batch.batch_id,
                'step': batch.step,
                'min_version': batch.min_version,
                'samples': batch.total,
                'listed': len(open_batch.results),
                'restored': restored,
            },
        )
        self.wake()
        return open_batch

    def summarize(self) -> list[dict[str, object]]:
        """Return the progress of each batch, for the state dump."""
        return [open_batch.summarize() for open_batch in self.batches.values()]

    def may_lack_results(
        self, open_batch: _open.OpenBatch, position: int
    ) -> bool:
        """Return whether the object store may hold more results of a batch.

        Parameters
        ----------
        position : int
            Where a reader continues. Beyond the results in memory, another
            process has returned the ones before it.
        """
        return (
            open_batch.ended
            or open_batch.write_uncertain
            or position > len(open_batch.results)
            # The previous coordinator may have written after that read.
            or open_batch.blocks_read_at - self._started_at < HANDOVER_SECONDS
            # The next coordinator may have written.
            or not self._is_lease_valid()
        )

    async def read_stored_results(self, open_batch: _open.OpenBatch) -> None:
        """Add the results that only the object store has."""
        asked_at = anyio.current_time()
        open_batch.merge_blocks(
            await self._archive.read_results(open_batch.batch.batch_id)
        )
        open_batch.blocks_read_at = max(open_batch.blocks_read_at, asked_at)

    def _is_lease_valid(self) -> bool:
        return self._lease is None or self._lease.remaining_seconds() > 0

    def needs_single_version(self, model: str) -> bool:
        """Return whether an open batch of a model needs a single version."""
        return any(
            open_batch.batch.single_version and open_batch.batch.model == model
            for open_batch in self.batches.values()
            if not open_batch.ended
        )

    def end(self, batch_id: str) -> None:
        """Stop running a batch that has ended in the object store."""
        self._ended.add(batch_id)
        open_batch = self.batches.get(batch_id)
        was_running = open_batch is not None and not open_batch.ended
        if open_batch and was_running:
            # First of all: no later error lets its samples go on.
            open_batch.end()
            open_batch.written_at = anyio.current_time()
        self._retention.record_ended(
            batch_id,
            open_batch.first_seen_at if open_batch else anyio.current_time(),
        )
        if not open_batch or not was_running:
            return
        self._checkpoints.cache.add(
            _kept.snapshot_incomplete_groups(open_batch)
        )
        LOG.info(
            'batch ended',
            extra={
                'batch': open_batch.batch.batch_id,
                'listed': len(open_batch.results),
                'whole_groups': open_batch.count_complete_groups(),
                'wanted_groups': open_batch.batch.wanted_groups,
            },
        )

    def _handle_deletion(self, key: str) -> None:
        batch_id = key.removeprefix(_archive.BATCH_PREFIX)
        self.end(batch_id)
        self.batches.pop(batch_id, None)
        self._retention.forget(batch_id)

    def wake(self) -> None:
        """Wake the dispatch loop, which starts waiting samples."""
        self._wake.set()

    def _list_open(self) -> list[_open.OpenBatch]:
        return [b for b in self.batches.values() if not b.ended]

    async def _dispatch_samples(self, tasks: anyio.abc.TaskGroup) -> None:
        def start_attempts(open_batches: list[_open.OpenBatch]) -> None:
            for attempt in self._dispatcher.reserve_attempts(open_batches):
                tasks.start_soon(self._attempt_runner.run, attempt)

        while True:
            if self._start_condition.may_start() and not self._stopping:
                await self._rounds.run(
                    'dispatch samples', start_attempts, self._list_open()
                )
            with anyio.move_on_after(DISPATCH_INTERVAL_SECONDS):
                await self._wake.wait()
            self._wake = anyio.Event()

    async def _migrate_from_slow_engines(self) -> None:
        migrate = self._dispatcher.migrate_from_slow_engines
        while True:
            await anyio.sleep(MIGRATION_INTERVAL_SECONDS)
            if not self._start_condition.may_start():
                continue
            await self._rounds.run('migration', migrate, self._list_open())
