"""Runs single attempts to generate and score a sample."""

import collections.abc
import logging

import anyio

from swiftjunction.batches import _batch
from swiftjunction.batches import _dispatch
from swiftjunction.batches import _open
from swiftjunction.batches import _sampling
from swiftjunction import errors
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)


class AttemptRunner:
    """Runs attempts, and gives up samples that cannot be completed.

    Parameters
    ----------
    sample_runner : SampleRunner
        Generates and scores single samples.
    metrics : Metrics
        Counts results.
    wake : callable
        Called when an attempt no longer occupies a slot of its engine.
    """

    __slots__ = ('_metrics', '_sample_runner', '_wake')

    def __init__(
        self,
        sample_runner: _sampling.SampleRunner,
        metrics: telemetry.Metrics,
        wake: collections.abc.Callable[[], None],
    ) -> None:
        self._sample_runner = sample_runner
        self._metrics = metrics
        self._wake = wake

    async def run(self, attempt: _dispatch.SampleAttempt) -> None:
        """Run an attempt, and add the result of the sample if it has one."""
        with anyio.CancelScope() as attempt.progress.cancel_scope:
            try:
                result = await self._produce_result(attempt)
                if result is not None:
                    attempt.open_batch.add_result(result)
                    outcome = 'complete' if result.complete else 'given_up'
                    self._metrics.count('samples', outcome=outcome)
            finally:
                attempt.end()
                self._wake()

    async def _produce_result(
        self, attempt: _dispatch.SampleAttempt
    ) -> _batch.Result | None:
        """Return the result; None if the sample needs another attempt."""
        open_batch, progress = attempt.open_batch, attempt.progress
        try:
            complete = progress.complete
            if not complete:
                progress.engine = attempt.engine.server.name
                complete = await self._sample_runner.generate(
                    open_batch, progress, attempt.engine
                )
                progress.engine = ''
            attempt.slot.close()
            self._wake()
            if complete:
                return await self._sample_runner.score(open_batch, progress)
        except errors.BatchEnded as error:
            LOG.info('sample not scored: %s', error)
            return None
        except (errors.SampleRefused, errors.SampleFailed) as error:
            return self._give_up(open_batch, progress, error)
        if progress.failures >= open_batch.batch.max_attempts:
            return self._give_up(open_batch, progress, None)
        return None

    def _give_up(
        self,
        open_batch: _open.OpenBatch,
        progress: _open.SampleProgress,
        error: errors.SwiftjunctionError | None,
    ) -> _batch.Result:
        LOG.warning(
            'sample given up',
            extra={
                'request_id': progress.sample.sample_id,
                'batch': open_batch.batch.batch_id,
                'failures': progress.failures,
                'reason': str(error or 'failed max_attempts times'),
            },
        )
        return _batch.Result(progress.sample.sample_id, complete=False)
