"""Runs all open batches: the work of the one VM that coordinates."""

import logging

import anyio
import anyio.abc
import msgspec

from swiftjunction.batches import _allocation
from swiftjunction.batches import _archive
from swiftjunction.batches import _batch
from swiftjunction.batches import _checkpoints
from swiftjunction.batches import _dispatch
from swiftjunction.batches import _engines
from swiftjunction.batches import _open_batch
from swiftjunction.batches import _retention
from swiftjunction.batches import _sampling
from swiftjunction.batches import _snapshots
from swiftjunction.batches import _writing
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

DISPATCH_INTERVAL_SECONDS = 0.1
MOVE_INTERVAL_SECONDS = 0.25
READ_RETRY_SECONDS = 0.5
# Groups that were once seen, and batches that have ended, over all trainers.
MAX_NAMES_SEEN = 16_384


class BatchRunner:
    """Runs batches for as long as this process coordinates.

    Parameters
    ----------
    store : ObjectStore
        Where batches are kept.
    archive : BatchArchive
        Reads and writes them there.
    engines : EngineRegistry
        The engines.
    samples : SampleRunner
        Runs one sample.
    assignment : EngineAllocator
        Is told what each model is asked for.
    metrics : Metrics
        Counts results.
    keep_seconds : float
        From its submission, the results of a batch are kept so long.

    Attributes
    ----------
    batches : dict of str to OpenBatch
        All that are open, and those that ended a moment ago.
    """

    __slots__ = (
        '_archive',
        '_assignment',
        '_checkpoints',
        '_dispatcher',
        '_ended',
        '_metrics',
        '_retention',
        '_samples',
        '_seen_groups',
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
        samples: _sampling.SampleRunner,
        assignment: _allocation.EngineAllocator,
        metrics: telemetry.Metrics,
        keep_seconds: float,
    ) -> None:
        self._store = store
        self._archive = archive
        self._samples = samples
        self._assignment = assignment
        self._metrics = metrics
        self._dispatcher = _dispatch.Dispatcher(engines)
        self._seen_groups: dict[str, None] = {}
        self._ended: dict[str, None] = {}
        self._stopping = False
        self._wake = anyio.Event()
        self.batches: dict[str, _open_batch.OpenBatch] = {}
        self._writer = _writing.ResultWriter(archive, self.batches)
        self._checkpoints = _checkpoints.Checkpoints(archive, self.batches)
        self._retention = _retention.Retention(archive, keep_seconds)

    async def run(self) -> None:
        """Run batches until cancelled."""
        self._stopping = False
        self.batches.clear()
        self._writer.stopping = False
        await self._checkpoints.restore()
        async with anyio.create_task_group() as tasks:

            def learn(found: objectstore.Object) -> None:
                tasks.start_soon(self._learn, found)

            listener = objectstore.CallbackListener(learn, self._forget)
            tasks.start_soon(
                objectstore.follow,
                self._store,
                _archive.BATCH_PREFIX,
                listener,
            )
            tasks.start_soon(self._writer.run)
            tasks.start_soon(self._move_from_slow)
            tasks.start_soon(self._checkpoints.run)
            tasks.start_soon(self._retention.run)
            await self._begin_runs(tasks)

    async def stop(self, seconds: float) -> None:
        """Stop the samples that run, and keep what there is of them.

        The next coordinator goes on with them at once, while to let them end
        here would take as long as the longest.
        """
        self._stopping = True
        for opened in self.batches.values():
            for progress in opened.left.values():
                if progress.engine:
                    progress.scope.cancel()
        with anyio.move_on_after(seconds):
            await self._checkpoints.write(
                progress
                for opened in self.batches.values()
                if not opened.ended
                for progress in opened.left.values()
                if progress.events
            )
            await self._writer.finish()

    async def _learn(self, found: objectstore.Object) -> None:
        """Take in a batch that is new or has changed."""
        batch_id = found.key.removeprefix(_archive.BATCH_PREFIX)
        held = self.batches.get(batch_id)
        try:
            batch = objectstore.decode_value(found, _batch.Batch)
            if batch.ended:
                self.end(batch_id)
            elif held is None:
                await self.open(await self._archive.decode(found))
        except errors.ObjectBroken as error:
            LOG.error('batch not understood: %s', error)
        except errors.PlatformError as error:
            LOG.warning('batch %s not read: %s', batch_id, error)
            await anyio.sleep(READ_RETRY_SECONDS)
            await self._learn(found)

    async def open(
        self, stored: _archive.StoredBatch
    ) -> _open_batch.OpenBatch:
        """Begin to run a batch, from what is listed of it already."""
        batch = stored.batch
        chunks = await self._archive.read_results(batch.batch_id)
        held = self.batches.get(batch.batch_id)
        if held is not None:
            return held
        if batch.batch_id in self._ended:
            # Its end was learnt while its results were read.
            batch = msgspec.structs.replace(batch, ended=True, items=[])
        opened = _open_batch.OpenBatch(
            batch,
            anyio.current_time(),
            chunks,
            stored.version,
            {item.group for item in batch.items} & self._seen_groups.keys(),
        )
        self.batches[batch.batch_id] = opened
        for item in batch.items:
            self._note(self._seen_groups, item.group)
        restored = sum(
            self._checkpoints.kept.restore(progress, batch)
            for progress in opened.left.values()
        )
        self._assignment.note_load(
            batch.model, sum(item.expected_tokens for item in batch.items)
        )
        LOG.info(
            'batch opened',
            extra={
                'batch': batch.batch_id,
                'step': batch.step,
                'min_version': batch.min_version,
                'samples': batch.total,
                'listed': len(opened.results),
                'restored': restored,
            },
        )
        self.wake()
        return opened

    def summarize(self) -> list[dict[str, object]]:
        """Return how far each batch is, for a dump."""
        return [
            {
                'batch': batch_id,
                'model': opened.batch.model,
                'step': opened.batch.step,
                'listed': len(opened.results),
                'total': opened.batch.total,
                'running': sum(p.running for p in opened.left.values()),
                'whole_groups': opened.count_whole_groups(),
                'wanted_groups': opened.batch.wanted_groups,
                'ended': opened.ended,
            }
            for batch_id, opened in self.batches.items()
        ]

    def needs_single_version(self, model: str) -> bool:
        """Tell whether one version must make each sample of a model."""
        return any(
            opened.batch.single_version and opened.batch.model == model
            for opened in self.batches.values()
            if not opened.ended
        )

    def _note(self, names: dict[str, None], name: str) -> None:
        """Add a name to those that were seen last."""
        if len(names) >= MAX_NAMES_SEEN:
            names.pop(next(iter(names)))
        names[name] = None

    def end(self, batch_id: str) -> None:
        """Stop a batch that is marked as ended on the object store."""
        self._note(self._ended, batch_id)
        opened = self.batches.get(batch_id)
        self._retention.note_ended(
            batch_id, opened.seen_at if opened else anyio.current_time()
        )
        if opened is None or opened.ended:
            return
        self._checkpoints.kept.keep(_snapshots.select_unfinished(opened))
        opened.end()
        opened.written_at = anyio.current_time()
        LOG.info(
            'batch ended',
            extra={
                'batch': opened.batch.batch_id,
                'listed': len(opened.results),
                'whole_groups': opened.count_whole_groups(),
                'wanted_groups': opened.batch.wanted_groups,
            },
        )

    def _forget(self, key: str) -> None:
        batch_id = key.removeprefix(_archive.BATCH_PREFIX)
        self.batches.pop(batch_id, None)
        self._retention.forget(batch_id)

    def wake(self) -> None:
        """Look at once whether a sample can be begun."""
        self._wake.set()

    def _list_open(self) -> list[_open_batch.OpenBatch]:
        return [b for b in self.batches.values() if not b.ended]

    async def _begin_runs(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            if not self._stopping:
                for run in self._dispatcher.begin_runs(self._list_open()):
                    tasks.start_soon(self._run_sample, run)
            with anyio.move_on_after(DISPATCH_INTERVAL_SECONDS):
                await self._wake.wait()
            self._wake = anyio.Event()

    async def _move_from_slow(self) -> None:
        while True:
            await anyio.sleep(MOVE_INTERVAL_SECONDS)
            self._dispatcher.move_from_slow(self._list_open())

    async def _run_sample(self, run: _dispatch.Run) -> None:
        with anyio.CancelScope() as run.progress.scope:
            try:
                result = await self._make_result(run)
                if result is not None:
                    run.opened.finish(result)
                    outcome = 'complete' if result.complete else 'given_up'
                    self._metrics.count('samples', outcome=outcome)
            finally:
                run.end()
                self.wake()

    async def _make_result(self, run: _dispatch.Run) -> _batch.Result | None:
        """Return the result; None where another attempt is needed."""
        opened, progress = run.opened, run.progress
        try:
            whole = progress.whole
            if not whole:
                progress.engine = run.engine.server.name
                whole = await self._samples.generate(
                    opened, progress, run.engine
                )
                progress.engine = ''
            run.place.close()
            self.wake()
            if whole:
                return await self._samples.score(opened, progress)
        except errors.NotRun as error:
            LOG.info('not scored: %s', error)
            return None
        except (errors.SampleRefused, errors.SampleFailed) as error:
            return self._give_up(opened, progress, error)
        if progress.failures >= opened.batch.max_attempts:
            return self._give_up(opened, progress, None)
        return None

    def _give_up(
        self,
        opened: _open_batch.OpenBatch,
        progress: _open_batch.SampleProgress,
        error: errors.SwiftjunctionError | None,
    ) -> _batch.Result:
        LOG.warning(
            'sample given up',
            extra={
                'request_id': progress.item.item_id,
                'batch': opened.batch.batch_id,
                'failures': progress.failures,
                'reason': str(error or 'failed at each run'),
            },
        )
        return _batch.Result(progress.item.item_id, complete=False)
