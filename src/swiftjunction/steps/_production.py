"""Makes the samples of a step."""

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
from swiftjunction import errors
from swiftjunction import requests
from swiftjunction.steps import _queue
from swiftjunction.steps import _schedule
from swiftjunction.steps import _step
from swiftjunction import weights

LOG = logging.getLogger(__name__)

Subject = typing.TypeVar('Subject')
Result = typing.TypeVar('Result')

ATTEMPT_TIMEOUT_SECONDS = 120.0
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 5.0
MAX_SCORES_IN_FLIGHT = 16
SAMPLE_PRIORITY = -2
# Of a sample that a whole step waits for; live answers still go before it.
URGENT_PRIORITY = -1


class _Score(msgspec.Struct):
    index: int
    score: float


class Slot:
    """The right to run one sample; given back at the end of the body.

    Parameters
    ----------
    queue : FairQueue
        That gave it.
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
        """Give it back without having run a sample."""
        self._queue.release()


class _Work(msgspec.Struct, frozen=True):
    task: _step.SampleTask
    priority: int


class Producer:
    """Makes samples, each until it is whole, scored and fresh.

    Parameters
    ----------
    tree : Tree
        The settings of the steps' paths.
    generator : CompletionGenerator
        Makes the text.
    forwarder : Forwarder
        Calls the scorers.
    board : VersionTracker
        Knows which versions are fresh.
    max_in_flight : int
        Samples made at once by this process.
    rng : random.Random
        For the delays between attempts.
    """

    __slots__ = (
        '_board',
        '_forwarder',
        '_generator',
        '_length_estimator',
        '_queue',
        '_rng',
        '_score_limiter',
        '_tree',
    )

    def __init__(
        self,
        tree: configuration.Tree,
        generator: requests.CompletionGenerator,
        forwarder: requests.Forwarder,
        board: weights.VersionTracker,
        max_in_flight: int,
        rng: random.Random,
    ) -> None:
        self._tree = tree
        self._generator = generator
        self._forwarder = forwarder
        self._board = board
        self._queue = _queue.FairQueue(max_in_flight)
        self._length_estimator = _schedule.LengthEstimator()
        self._score_limiter = anyio.CapacityLimiter(MAX_SCORES_IN_FLIGHT)
        self._rng = rng

    def resolve_settings(
        self, spec: _step.StepSpec
    ) -> configuration.PathSettings:
        """Return the path's settings under the step's own bound.

        Raises
        ------
        RequestInvalid
            If the path has no model.
        """
        settings = self._tree.resolve(spec.path)
        if not settings.model:
            raise errors.RequestInvalid(
                f'no model is set for path {spec.path!r}', step='resolve'
            )
        own = {
            name: value
            for name in ('freshness_versions', 'freshness_seconds')
            if (value := getattr(spec, name)) is not None
        }
        return msgspec.structs.replace(settings, **own)

    def is_fresh(self, spec: _step.StepSpec, sample: _step.Sample) -> bool:
        """Tell whether a sample may be handed over now.

        Where the path has lost its model, its bound is not known: nothing
        is handed over until it has one again.
        """
        try:
            settings = self.resolve_settings(spec)
        except errors.RequestInvalid as error:
            LOG.warning('step %s: %s', spec.step_id, error)
            return False
        bound = weights.FreshnessBound(
            settings.freshness_versions, settings.freshness_seconds
        )
        try:
            self._board.check_freshness(
                settings.model or '', sample.oldest_version, bound
            )
        except errors.StaleWeights:
            return False
        return True

    def make_schedule(self, spec: _step.StepSpec) -> _schedule.Schedule:
        """Return the order in which the samples of a step are made."""
        return _schedule.LongestFirst(self._length_estimator)

    async def acquire_slot(
        self, spec: _step.StepSpec, remaining_seconds: float
    ) -> Slot:
        """Wait until the step may run one more sample."""
        share = self._tree.resolve(spec.path).share or 1.0
        weight = _queue.compute_weight(
            share, remaining_seconds, spec.deadline_seconds
        )
        await self._queue.acquire(spec.step_id, weight)
        return Slot(self._queue)

    def remove_step(self, spec: _step.StepSpec) -> None:
        """Drop what is known of a step that has ended."""
        self._queue.remove(spec.step_id)

    async def produce(
        self,
        spec: _step.StepSpec,
        task: _step.SampleTask,
        slot: Slot,
        *,
        urgent: bool,
    ) -> _step.Sample:
        """Make one sample, over as many attempts as it takes.

        Parameters
        ----------
        slot : Slot
            Given back when the text is there.
        urgent : bool
            Whether the step waits for this sample alone.
        """
        work = _Work(task, URGENT_PRIORITY if urgent else SAMPLE_PRIORITY)
        while True:
            with slot:
                sample = await self._retry(self._generate, spec, work)
            # A slow scorer holds no slot of the engines.
            if spec.scorer:
                sample = await self._add_score(spec, sample)
            if self.is_fresh(spec, sample):
                return sample
            LOG.info(
                'sample %s of %s is stale and made again',
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
            [_step.StepSpec, Subject],
            collections.abc.Coroutine[typing.Any, typing.Any, Result],
        ],
        spec: _step.StepSpec,
        subject: Subject,
    ) -> Result:
        """Repeat `attempt` after an exponential delay until it succeeds."""
        delay_seconds = FIRST_RETRY_SECONDS
        while True:
            try:
                return await attempt(spec, subject)
            except errors.WeightsSwapped as error:
                LOG.info('step %s: %s', spec.step_id, error)
                continue
            except errors.RequestError as error:
                LOG.info('step %s: %s', spec.step_id, error)
            await anyio.sleep(delay_seconds * self._rng.uniform(0.5, 1))
            delay_seconds = min(delay_seconds * 2, MAX_RETRY_SECONDS)

    async def _generate(
        self, spec: _step.StepSpec, work: _Work
    ) -> _step.Sample:
        task = work.task
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
            priority=work.priority,
            is_whole=True,
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
        )
        answer = await self._forwarder.forward(call)
        try:
            score = msgspec.json.decode(answer.body, type=_Score)
        except msgspec.MsgspecError as error:
            raise errors.OutcomeUnknown(
                f'score not understood: {error}', step='score'
            ) from error
        if answer.status != 200 or score.index != sample.index:
            raise errors.OutcomeUnknown(
                'the scorer answered for another sample', step='score'
            )
        return score.score
