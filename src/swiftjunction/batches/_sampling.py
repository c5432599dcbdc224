"""Generates and scores single samples."""

import collections.abc
import contextlib
import logging

import anyio

from swiftjunction import backends
from swiftjunction.batches import _batch
from swiftjunction.batches import _engine_client
from swiftjunction.batches import _engines
from swiftjunction.batches import _length
from swiftjunction.batches import _open
from swiftjunction.batches import _scoring
from swiftjunction import errors
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

# An attempt fails if its first event, or a later one, takes longer than this.
FIRST_EVENT_TIMEOUT_SECONDS = 4.0
NEXT_EVENT_TIMEOUT_SECONDS = 1.5
# The number of the first event of a text: engines count from either.
FIRST_EVENT_NUMBERS = (0, 1)


class SampleRunner:
    """Generates samples on engines and has them scored.

    Parameters
    ----------
    client : SampleEngineClient
        Calls the engines.
    scorer : SampleScorer
        Scores complete samples.
    metrics : Metrics
        Counts attempts by outcome.
    permits : PermitSource, optional
        Permits for the engines that named a request limit.
    """

    __slots__ = ('_client', '_metrics', '_permits', '_scorer')

    def __init__(
        self,
        client: _engine_client.SampleEngineClient,
        scorer: _scoring.SampleScorer,
        metrics: telemetry.Metrics,
        permits: backends.PermitSource | None = None,
    ) -> None:
        self._permits = permits or backends.UnlimitedPermits()
        self._client = client
        self._scorer = scorer
        self._metrics = metrics

    async def generate(
        self,
        open_batch: _open.OpenBatch,
        progress: _open.SampleProgress,
        engine: _engines.EngineState,
    ) -> bool:
        """Run one attempt on an engine; return whether the text is complete.

        If it is not, `progress` has the text from which the next attempt
        resumes; the text is discarded if the sample itself failed or came from
        weight versions that the batch does not allow.

        Raises
        ------
        SampleRefused
            If the engine reports that it can never run this sample.
        RequestUnsendable
            If no engine can get this sample.
        """
        batch = open_batch.batch
        if not progress.can_resume(batch):
            progress.reset()
        if not progress.may_run_on(engine.server):
            self._discard_text(progress, engine)
        started_at = anyio.current_time()
        resumed_after = progress.last_number
        resumed_software = progress.software
        outcome = 'cancelled'
        try:
            await self._acquire_permit(progress, engine)
            await self._read_events(open_batch, progress, engine)
        except errors.BackendError as error:
            outcome = type(error).__name__
            self._handle_failure(progress, engine, error)
        except errors.StaleWeights as error:
            outcome = 'stale'
            LOG.info('sample starts over: %s', error)
            progress.reset()
        except errors.RequestUnsendable:
            outcome = 'unsendable'
            raise
        except errors.NotRun as error:
            outcome = 'not_sent'
            LOG.info('sample not sent: %s', error)
        else:
            outcome = 'whole'
            engine.record_success()
            progress.complete = True
        finally:
            self._metrics.count('sample_attempts', outcome=outcome)
            LOG.info(
                'sample attempt ended',
                extra={
                    'request_id': progress.sample.sample_id,
                    'batch': batch.batch_id,
                    'server': engine.server.name,
                    'resumed_after': resumed_after,
                    'resumed_software': resumed_software,
                    'last_event': progress.last_number,
                    'versions': list(progress.versions),
                    'software': engine.server.software,
                    'outcome': outcome,
                    'seconds': round(anyio.current_time() - started_at, 3),
                },
            )
        return outcome == 'whole'

    def _discard_text(
        self, progress: _open.SampleProgress, engine: _engines.EngineState
    ) -> None:
        self._metrics.count('discarded_texts', reason='software')
        LOG.info(
            'sample starts over at another software version',
            extra={
                'request_id': progress.sample.sample_id,
                'last_event': progress.last_number,
                'software': progress.software,
                'server': engine.server.name,
                'server_software': engine.server.software,
            },
        )
        progress.reset()

    async def _acquire_permit(
        self, progress: _open.SampleProgress, engine: _engines.EngineState
    ) -> None:
        try:
            await self._permits.acquire(engine.server, 'samples')
        finally:
            engine.end_permit_wait(progress.sample.sample_id)

    async def _read_events(
        self,
        open_batch: _open.OpenBatch,
        progress: _open.SampleProgress,
        engine: _engines.EngineState,
    ) -> None:
        batch = open_batch.batch
        events = self._client.generate(
            engine.server,
            batch.host,
            progress.sample,
            progress.last_number,
            open_batch.check_may_send,
            batch.organisation,
        )
        timeout_seconds = FIRST_EVENT_TIMEOUT_SECONDS
        last_event_at = 0.0
        length = _length.TextLength(progress.sample, progress.events)
        async with contextlib.aclosing(events):
            while True:
                event = await self._read_event(events, engine, timeout_seconds)
                if event is None:
                    return
                _check_number(progress, event, engine)
                engine.record_version(batch.model, event.version)
                _check_version(batch, progress, event)
                _check_length(length, progress, event, engine)
                progress.events.append(event.data)
                progress.last_number = event.number
                progress.software = engine.server.software
                if event.version not in progress.versions:
                    progress.versions.append(event.version)
                now = anyio.current_time()
                if len(progress.events) == 1:
                    progress.text_began_at = now
                if last_event_at:
                    engine.server.record_latency(now - last_event_at)
                last_event_at = now
                timeout_seconds = NEXT_EVENT_TIMEOUT_SECONDS

    async def _read_event(
        self,
        events: collections.abc.AsyncGenerator[backends.StreamEvent, None],
        engine: _engines.EngineState,
        timeout_seconds: float,
    ) -> backends.StreamEvent | None:
        with anyio.move_on_after(timeout_seconds):
            return await anext(events, None)
        raise errors.AnswerBroken(
            f'the engine sent no event for {timeout_seconds} s',
            step='generate',
            peer=engine.server.name,
        )

    def _handle_failure(
        self,
        progress: _open.SampleProgress,
        engine: _engines.EngineState,
        error: errors.BackendError,
    ) -> None:
        if isinstance(error, errors.SampleFailed):
            progress.failures += 1
            progress.reset()
        elif isinstance(error, errors.SampleRefused):
            raise error
        else:
            engine.record_failure()
        LOG.info(
            'sample attempt failed: %s',
            error,
            extra={'request_id': progress.sample.sample_id},
        )

    async def score(
        self,
        open_batch: _open.OpenBatch,
        progress: _open.SampleProgress,
    ) -> _batch.Result:
        """Score a sample whose text is complete; return its result.

        Raises
        ------
        SampleFailed
            If the scorer failed as often as its route allows.
        BatchEnded
            If the batch ended before there was a score.
        RequestUnsendable
            If no scorer can get its request.
        """
        sample = progress.sample
        score = ''
        if sample.scorer is not None:
            score = await self._scorer.score(
                sample.scorer, open_batch.check_may_send
            )
        return _batch.Result(
            sample.sample_id,
            complete=True,
            text='\n'.join(progress.events),
            versions=list(progress.versions),
            score=score,
        )


def _check_number(
    progress: _open.SampleProgress,
    event: backends.StreamEvent,
    engine: _engines.EngineState,
) -> None:
    """Raise ``AnswerBroken`` if an event does not follow the text so far.

    The next attempt resumes after the last event that did.
    """
    expected = (
        (progress.last_number + 1,) if progress.events else FIRST_EVENT_NUMBERS
    )
    if event.number not in expected:
        raise errors.AnswerBroken(
            f'event {event.number} came after event {progress.last_number}',
            step='generate',
            peer=engine.server.name,
        )


def _check_version(
    batch: _batch.Batch,
    progress: _open.SampleProgress,
    event: backends.StreamEvent,
) -> None:
    """Raise ``StaleWeights`` if the batch does not allow the version."""
    if event.version < batch.min_version:
        raise errors.StaleWeights(
            f'weight version {event.version} is older than the required '
            f'{batch.min_version}',
            step='generate',
        )
    if batch.single_version and progress.versions not in (
        [],
        [event.version],
    ):
        raise errors.StaleWeights(
            f'weight version changed from {progress.versions[0]} to '
            f'{event.version} within a sample that needs a single version',
            step='generate',
        )


def _check_length(
    length: _length.TextLength,
    progress: _open.SampleProgress,
    event: backends.StreamEvent,
    engine: _engines.EngineState,
) -> None:
    """Raise ``AnswerBroken`` if the text has become too long."""
    try:
        length.add(event.data, engine.server.name)
    except errors.AnswerBroken:
        # No engine could continue it.
        progress.reset()
        raise
