"""Runs single attempts to generate and score a sample."""

import collections.abc
import functools
import logging
import math

import anyio

from swiftjunction.batches import _batch
from swiftjunction.batches import _dispatch
from swiftjunction.batches import _open
from swiftjunction.batches import _sampling
from swiftjunction import errors
from swiftjunction import supervision
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

# The delay of the next attempt after an unexpected error doubles each time.
FIRST_ERROR_DELAY_SECONDS = 0.5
MAX_ERROR_DELAY_SECONDS = 30.0
# A sample that cannot be sent is given up this long after it may be.
GIVE_UP_MARGIN_SECONDS = 1.0


class AttemptRunner:
    """Runs attempts, and gives up samples that cannot be completed.

    Parameters
    ----------
    sample_runner : SampleRunner
        Generates and scores single samples.
    metrics : Metrics
        Counts results.
    supervisor : Supervisor
        Logs and counts the unexpected errors of attempts.
    wake : callable
        Called when an attempt no longer occupies a slot of its engine.
    """

    __slots__ = ('_metrics', '_sample_runner', '_supervisor', '_wake')

    def __init__(
        self,
        sample_runner: _sampling.SampleRunner,
        metrics: telemetry.Metrics,
        supervisor: supervision.Supervisor,
        wake: collections.abc.Callable[[], None],
    ) -> None:
        self._sample_runner = sample_runner
        self._metrics = metrics
        self._supervisor = supervisor
        self._wake = wake

    async def run(self, attempt: _dispatch.SampleAttempt) -> None:
        """Run an attempt, and add the result of the sample if it has one.

        An unexpected error ends the attempt alone, and delays the next one.
        """
        await self._supervisor.run_isolated(
            'sample attempt',
            functools.partial(self._run, attempt),
            request_id=attempt.progress.sample.sample_id,
            batch=attempt.open_batch.batch.batch_id,
            server=attempt.engine.server.name,
        )

    async def _run(self, attempt: _dispatch.SampleAttempt) -> None:
        with anyio.CancelScope() as attempt.progress.cancel_scope:
            try:
                result = await self._produce_result(attempt)
                if result is not None:
                    attempt.open_batch.add_result(result)
                    outcome = 'complete' if result.complete else 'given_up'
                    self._metrics.count('samples', outcome=outcome)
                attempt.progress.error_count = 0
            except Exception:
                # The supervisor logs it.
                _postpone_after_error(attempt.progress)
                raise
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
        except errors.RequestUnsendable as error:
            return self._set_aside(open_batch, progress, error)
        except (errors.SampleRefused, errors.SampleFailed) as error:
            return self._give_up(open_batch, progress, error)
        if progress.failures >= open_batch.batch.max_attempts:
            return self._give_up(open_batch, progress, None)
        return None

    def _set_aside(
        self,
        open_batch: _open.OpenBatch,
        progress: _open.SampleProgress,
        error: errors.RequestUnsendable,
    ) -> _batch.Result | None:
        """Give up a sample that cannot be sent, as soon as that is allowed.

        Readers may find a sample abandoned only after a refusal or failures
        of servers, which never get this one, or once the batch has its
        maximum age or ends.
        """
        if open_batch.can_give_up(anyio.current_time()):
            return self._give_up(open_batch, progress, error)
        progress.not_before = _compute_give_up_time(open_batch)
        LOG.warning(
            'sample cannot be sent: %s',
            error,
            extra={
                'request_id': progress.sample.sample_id,
                'batch': open_batch.batch.batch_id,
            },
        )
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


def _postpone_after_error(progress: _open.SampleProgress) -> None:
    delay_seconds = min(
        FIRST_ERROR_DELAY_SECONDS * 2 ** min(progress.error_count, 10),
        MAX_ERROR_DELAY_SECONDS,
    )
    progress.not_before = anyio.current_time() + delay_seconds
    progress.error_count += 1


def _compute_give_up_time(open_batch: _open.OpenBatch) -> float:
    """Return when a sample may be given up without a server's failures."""
    max_age_seconds = open_batch.batch.max_age_seconds
    if not max_age_seconds:
        return math.inf
    return open_batch.first_seen_at + max_age_seconds + GIVE_UP_MARGIN_SECONDS
