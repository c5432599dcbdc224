"""Runs one sample: its text, over as many attempts as it takes, its score."""

import collections.abc
import contextlib
import logging

import anyio

from swiftjunction import backends
from swiftjunction.batches import _batch
from swiftjunction.batches import _engine_client
from swiftjunction.batches import _engines
from swiftjunction.batches import _open_batch
from swiftjunction.batches import _scoring
from swiftjunction import errors
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

# An engine that sends nothing for so long is taken to be gone, or cut off.
FIRST_EVENT_SECONDS = 4.0
NEXT_EVENT_SECONDS = 1.5


class SampleRunner:
    """Runs samples on engines.

    Parameters
    ----------
    client : SampleEngineClient
        Calls the engines.
    scoring : SampleScorer
        Scores what is finished.
    metrics : Metrics
        Counts attempts and outcomes.
    """

    __slots__ = ('_client', '_metrics', '_scoring')

    def __init__(
        self,
        client: _engine_client.SampleEngineClient,
        scoring: _scoring.SampleScorer,
        metrics: telemetry.Metrics,
    ) -> None:
        self._client = client
        self._scoring = scoring
        self._metrics = metrics

    async def generate(
        self,
        opened: _open_batch.OpenBatch,
        progress: _open_batch.SampleProgress,
        engine: _engines.EngineState,
    ) -> bool:
        """Run a sample on one engine; tell whether its text is whole.

        Where it is not, `progress` holds what there is of it, and another
        attempt goes on from there.
        """
        batch = opened.batch
        if not progress.may_continue(batch):
            progress.restart()
        began = anyio.current_time()
        resumed_after = progress.last_number
        try:
            await self._read_events(batch, progress, engine)
        except errors.BackendError as error:
            self._note_failure(progress, engine, error)
            outcome = type(error).__name__
        except errors.StaleWeights as error:
            LOG.info('sample begins anew: %s', error)
            progress.restart()
            outcome = 'stale'
        else:
            engine.note_success()
            progress.whole = True
            outcome = 'whole'
        self._metrics.count('sample_attempts', outcome=outcome)
        LOG.info(
            'sample attempt',
            extra={
                'request_id': progress.item.item_id,
                'batch': batch.batch_id,
                'server': engine.server.name,
                'resumed_after': resumed_after,
                'last_event': progress.last_number,
                'versions': list(progress.versions),
                'outcome': outcome,
                'seconds': round(anyio.current_time() - began, 3),
            },
        )
        return outcome == 'whole'

    async def _read_events(
        self,
        batch: _batch.Batch,
        progress: _open_batch.SampleProgress,
        engine: _engines.EngineState,
    ) -> None:
        events = self._client.generate(
            engine.server, batch.host, progress.item, progress.last_number
        )
        limit_seconds = FIRST_EVENT_SECONDS
        read_at = 0.0
        async with contextlib.aclosing(events):
            while True:
                event = await self._read_event(events, engine, limit_seconds)
                if event is None:
                    return
                engine.learn_version(batch.model, event.version)
                _check_version(batch, progress, event)
                progress.events.append(event.data)
                progress.last_number = event.number
                if event.version not in progress.versions:
                    progress.versions.append(event.version)
                now = anyio.current_time()
                if read_at:
                    engine.server.note_latency(now - read_at)
                read_at = now
                limit_seconds = NEXT_EVENT_SECONDS

    async def _read_event(
        self,
        events: collections.abc.AsyncGenerator[backends.StreamEvent, None],
        engine: _engines.EngineState,
        limit_seconds: float,
    ) -> backends.StreamEvent | None:
        with anyio.move_on_after(limit_seconds):
            return await anext(events, None)
        raise errors.AnswerBroken(
            f'no event for {limit_seconds} s',
            step='generate',
            peer=engine.server.name,
        )

    def _note_failure(
        self,
        progress: _open_batch.SampleProgress,
        engine: _engines.EngineState,
        error: errors.BackendError,
    ) -> None:
        if isinstance(error, errors.SampleFailed):
            progress.failures += 1
            progress.restart()
        elif isinstance(error, errors.SampleRefused):
            raise error
        else:
            engine.note_refusal()
        LOG.info(
            'sample attempt failed: %s',
            error,
            extra={'request_id': progress.item.item_id},
        )

    async def score(
        self,
        opened: _open_batch.OpenBatch,
        progress: _open_batch.SampleProgress,
    ) -> _batch.Result:
        """Return the result of a sample whose text is whole."""
        item = progress.item
        score = ''
        if item.scorer is not None:
            score = await self._scoring.score(
                item.scorer, lambda: not opened.ended
            )
        return _batch.Result(
            item.item_id,
            complete=True,
            text='\n'.join(progress.events),
            versions=list(progress.versions),
            score=score,
        )


def _check_version(
    batch: _batch.Batch,
    progress: _open_batch.SampleProgress,
    event: backends.StreamEvent,
) -> None:
    """Raise ``StaleWeights`` where the event cannot be part of the text."""
    if event.version < batch.min_version:
        raise errors.StaleWeights(
            f'version {event.version} made an event of a sample that needs '
            f'{batch.min_version}',
            step='generate',
        )
    if batch.single_version and progress.versions not in (
        [],
        [event.version],
    ):
        raise errors.StaleWeights(
            f'version {event.version} took the place of '
            f'{progress.versions[0]} under a sample that one must make',
            step='generate',
        )
