"""Generates and scores the samples of a step."""

import collections.abc
import contextlib
import logging
import random
import types
import typing

import anyio
import anyio.abc
import msgspec

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import requests
from swiftjunction.steps import _queue
from swiftjunction.steps import _schedule
from swiftjunction.steps import _step
from swiftjunction import weights

LOG = logging.getLogger(__name__)

Argument = typing.TypeVar('Argument')
Result = typing.TypeVar('Result')

ATTEMPT_TIMEOUT_SECONDS = 120.0
INITIAL_RETRY_DELAY_SECONDS = 0.2
MAX_RETRY_DELAY_SECONDS = 5.0
MAX_CONCURRENT_SCORES = 16
SAMPLE_PRIORITY = -2
# For a committed sample or the last ones of a step, which its trainer waits
# for. Still below the priority of live traffic.
URGENT_PRIORITY = -1


class _ScoreResponse(msgspec.Struct):
    index: int
    score: float


class Slot:
    """The right to generate one sample, released when its context exits.

    Parameters
    ----------
    queue : FairQueue
        The queue that granted the slot.
    """

    __slots__ = ('_queue',)

    def __init__(self, queue: _queue.FairQueue) -> None:
        self._queue = queue

    def __enter__(self) -> 'Slot':
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.release()

    def release(self) -> None:
        """Return the slot to its queue."""
        self._queue.release()


class _GenerationJob(msgspec.Struct, frozen=True):
    task: _step.SampleTask
    priority: int


class Producer:
    """Produces samples, retrying each until it is complete and fresh.

    Parameters
    ----------
    tree : Tree
        The settings of the paths of steps and scorers.
    generator : CompletionGenerator
        Generates the text of samples.
    forwarder : Forwarder
        Sends requests to the scorers.
    version_tracker : VersionTracker
        Decides which weight versions are fresh.
    max_in_flight : int
        Maximum number of samples generated concurrently by this process.
    rng : random.Random
        Source of retry jitter and of request identifiers.
    """

    __slots__ = (
        '_forwarder',
        '_generator',
        '_length_estimator',
        '_queue',
        '_rng',
        '_score_limiter',
        '_tree',
        '_version_tracker',
    )

    def __init__(
        self,
        tree: configuration.Tree,
        generator: requests.CompletionGenerator,
        forwarder: requests.Forwarder,
        version_tracker: weights.VersionTracker,
        max_in_flight: int,
        rng: random.Random,
    ) -> None:
        self._tree = tree
        self._generator = generator
        self._forwarder = forwarder
        self._version_tracker = version_tracker
        self._queue = _queue.FairQueue(max_in_flight)
        self._length_estimator = _schedule.LengthEstimator()
        self._score_limiter = anyio.CapacityLimiter(MAX_CONCURRENT_SCORES)
        self._rng = rng

    def resolve_settings(
        self, spec: _step.StepSpec
    ) -> configuration.PathSettings:
        """Return the settings of the path with the step's overrides.

        Raises
        ------
        RequestInvalid
            If the path has no model.
        """
        settings = self._tree.resolve(spec.path)
        if not settings.model:
            raise errors.RequestInvalid(
                f'path {spec.path!r} has no model', step='resolve'
            )
        overrides = {
            name: value
            for name in ('freshness_versions', 'freshness_seconds')
            if (value := getattr(spec, name)) is not None
        }
        return msgspec.structs.replace(settings, **overrides)

    def is_fresh(self, spec: _step.StepSpec, sample: _step.Sample) -> bool:
        """Return whether the sample meets the freshness bound now.

        If the model of the path was removed, the bound is unknown and no
        sample is delivered until the path has a model again.
        """
        try:
            settings = self.resolve_settings(spec)
        except errors.RequestInvalid as error:
            LOG.warning(
                'freshness of step %s is unknown: %s', spec.step_id, error
            )
            return False
        bound = weights.FreshnessBound(
            settings.freshness_versions, settings.freshness_seconds
        )
        try:
            self._version_tracker.check_freshness(
                settings.model or '', sample.oldest_version, bound
            )
        except errors.StaleWeights:
            return False
        return True

    def make_schedule(self, spec: _step.StepSpec) -> _schedule.Schedule:
        """Return a new schedule for the samples of a step."""
        return _schedule.LongestFirst(self._length_estimator)

    async def acquire_slot(
        self, spec: _step.StepSpec, remaining_seconds: float
    ) -> Slot:
        """Wait for a slot to generate one more sample of the step."""
        share = self._tree.resolve(spec.path).share or 1.0
        weight = _queue.compute_weight(
            share, remaining_seconds, spec.deadline_seconds
        )
        await self._queue.acquire(spec.step_id, weight)
        return Slot(self._queue)

    def remove_step(self, spec: _step.StepSpec) -> None:
        """Remove a step that has ended from the queue."""
        self._queue.remove(spec.step_id)

    async def produce(
        self,
        spec: _step.StepSpec,
        task: _step.SampleTask,
        slot: Slot,
        *,
        urgent: bool,
    ) -> _step.Sample:
        """Produce one sample, with as many attempts as necessary.

        Parameters
        ----------
        slot : Slot
            Released when the text is complete.
        urgent : bool
            Whether the trainer waits for this sample: it is committed, or one
            of the last of the step.
        """
        job = _GenerationJob(
            task, URGENT_PRIORITY if urgent else SAMPLE_PRIORITY
        )
        while True:
            with slot:
                sample = await self._retry(self._generate, spec, job)
            # The slot is released first, so that a slow scorer does not keep
            # the engines idle.
            if spec.scorer:
                sample = await self._add_score(spec, sample)
            if self.is_fresh(spec, sample):
                return sample
            LOG.info(
                'sample %s of step %s is stale and is generated again',
                task.index,
                spec.step_id,
            )
            slot = await self.acquire_slot(spec, spec.deadline_seconds)

    async def _add_score(
        self, spec: _step.StepSpec, sample: _step.Sample
    ) -> _step.Sample:
        async with self._score_limiter:
            score = await self._retry(self._score, spec, sample)
        return msgspec.structs.replace(sample, score=score)

    async def _retry(
        self,
        attempt: collections.abc.Callable[
            [_step.StepSpec, Argument],
            collections.abc.Coroutine[typing.Any, typing.Any, Result],
        ],
        spec: _step.StepSpec,
        argument: Argument,
    ) -> Result:
        """Retry `attempt` with exponential backoff until it succeeds.

        After a swap of the weights, the retry is immediate.
        """
        delay_seconds = INITIAL_RETRY_DELAY_SECONDS
        while True:
            try:
                return await attempt(spec, argument)
            except errors.WeightsSwapped as error:
                LOG.info(
                    'retrying a sample of step %s at once: %s',
                    spec.step_id,
                    error,
                )
                continue
            except errors.RequestError as error:
                LOG.info(
                    'retrying a sample of step %s after a delay: %s',
                    spec.step_id,
                    error,
                )
            await anyio.sleep(delay_seconds * self._rng.uniform(0.5, 1))
            delay_seconds = min(delay_seconds * 2, MAX_RETRY_DELAY_SECONDS)

    async def _generate(
        self, spec: _step.StepSpec, job: _GenerationJob
    ) -> _step.Sample:
        task = job.task
        call = requests.GenerationCall(
            request_id=(
                f'{spec.step_id}.{task.index}.{self._rng.getrandbits(32):08x}'
            ),
            path=spec.path,
            settings=self.resolve_settings(spec),
            prompt=task.group.prompt,
            max_tokens=task.group.max_tokens,
            deadline=anyio.current_time() + ATTEMPT_TIMEOUT_SECONDS,
            seed=task.index,
            priority=job.priority,
            is_whole=True,
            deferred=True,
        )
        chunks: list[backends.Chunk] = []
        async with contextlib.aclosing(
            self._generator.generate(call)
        ) as stream:
            async for chunk in stream:
                chunks.append(chunk)
        text = ''.join(chunk.text for chunk in chunks)
        return _step.Sample(
            task.index,
            task.group_index,
            text,
            requests.build_segments(chunks),
        )

    async def _score(
        self, spec: _step.StepSpec, sample: _step.Sample
    ) -> float:
        settings = self._tree.resolve(spec.scorer)
        body = msgspec.json.encode(
            {'index': sample.index, 'text': sample.text}
        )
        call = requests.ForwardedCall(
            path=spec.scorer,
            settings=settings,
            service_call=backends.ServiceCall(
                request_id=f'{spec.step_id}.{sample.index}.score',
                method='POST',
                path='score',
                query='',
                body=body,
                headers=[('content-type', 'application/json')],
                timeout_seconds=0.0,
            ),
            deadline=anyio.current_time() + (settings.timeout_seconds or 30),
            idempotent=True,
            deferred=True,
        )
        response = await self._forwarder.forward(call)
        try:
            score_response = decoding.decode_json(
                response.body, _ScoreResponse
            )
        except errors.ContentBroken as error:
            raise errors.OutcomeUnknown(
                f'invalid response of the scorer: {error}', step='score'
            ) from error
        if response.status != 200 or score_response.index != sample.index:
            raise errors.OutcomeUnknown(
                'the scorer failed or returned the score of another sample',
                step='score',
            )
        return score_response.score
