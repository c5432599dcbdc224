"""Live callers: open-loop load, and what they themselves received."""

import collections
import collections.abc
import time

import anyio
import anyio.abc
import msgspec
import numpy

from bench import plan
from bench import results
from bench import streams
from bench import versions
from swiftjunction import client
from swiftjunction import errors
from swiftjunction import standins

TIMEOUT_SECONDS = 15.0
PAYLOAD_SIGMA = 1.0
MAX_PAYLOAD_BYTES = 1_000_000
MEDIAN_TOKENS = 24.0


class Action(msgspec.Struct):
    """A call that may run only once, as its caller saw it."""

    request_id: str
    key: str
    outcome: str


class Callers:
    """Sends calls at seeded random times.

    Attributes
    ----------
    actions : list of Action
        For the checks against what the servers ran.
    not_run : list of str
        Request ids of which the caller was told that they did not run.
    """

    def __init__(
        self,
        experiment: plan.Experiment,
        seed: int,
        seeds: list[str],
        recorder: results.Recorder,
        published: versions.Published,
        started: float,
    ) -> None:
        self.actions: list[Action] = []
        self.not_run: list[str] = []
        self.outstanding: collections.Counter[str] = collections.Counter()
        self._experiment = experiment
        self._traffic = experiment.traffic
        self._rng = numpy.random.default_rng([seed, 1])
        self._recorder = recorder
        self._published = published
        self._started = started
        self._client = client.CallerClient(
            seeds, timeout_seconds=TIMEOUT_SECONDS
        )
        self._streams = streams.StreamCaller(seeds, TIMEOUT_SECONDS)
        self._count = 0

    @property
    def broken_streams(self) -> list[tuple[float, str]]:
        """Return when and at which entry streams broke off."""
        return [
            (at - self._started, address)
            for at, address in self._streams.broken
        ]

    async def run(self) -> None:
        """Call until the experiment's time is over, then finish."""
        traffic = self._traffic
        async with self._client, anyio.create_task_group() as tasks:
            async with anyio.create_task_group() as arrivals:
                arrivals.start_soon(
                    self._arrive, tasks, traffic.answers_per_second, self._ask
                )
                arrivals.start_soon(
                    self._arrive,
                    tasks,
                    traffic.lookups_per_second,
                    self._look_up,
                )
        await self._streams.close()

    async def _arrive(
        self,
        tasks: anyio.abc.TaskGroup,
        rate: float,
        call: collections.abc.Callable[
            [str], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        if not rate:
            return
        due = self._started
        end = self._started + self._experiment.seconds
        while True:
            due += float(self._rng.exponential(1 / rate))
            if due >= end:
                return
            await anyio.sleep(max(due - time.monotonic(), 0))
            self._count += 1
            tasks.start_soon(call, f'call-{self._count}')

    async def _ask(self, request_id: str) -> None:
        streamed = self._rng.random() < self._traffic.stream_share
        tokens = int(self._rng.lognormal(numpy.log(MEDIAN_TOKENS), 0.8))
        body = {
            'model': self.path('answers'),
            'prompt': f'{request_id}: does size {self._count % 40} fit?',
            'max_tokens': min(max(tokens, 1), self._traffic.tokens_max),
            'stream': streamed,
        }
        call = self._ask_streamed if streamed else self._ask_whole
        kind = 'stream' if streamed else 'answer'
        await self._measure(kind, request_id, call(request_id, body))

    def path(self, name: str) -> str:
        """Return a path of the team that calls."""
        return f'{self._experiment.deployment}/{name}'

    async def _measure(
        self,
        kind: str,
        request_id: str,
        call: collections.abc.Coroutine[None, None, None],
    ) -> str:
        began = time.monotonic()
        outcome = 'complete'
        try:
            await call
        except errors.NotRun:
            outcome = 'not run'
            self.not_run.append(request_id)
        except errors.RequestError as error:
            outcome = type(error).__name__
        except Exception as error:
            outcome = 'untyped'
            self._recorder.promises['errors are typed'].note(
                False, f'{request_id}: {error!r}'
            )
        took = time.monotonic() - began
        self._recorder.note_call(began - self._started, kind, took, outcome)
        limit = TIMEOUT_SECONDS * client_tries(kind) + 2
        self._recorder.promises['every caller gets an end'].note(
            took < limit, f'{request_id} took {took:.1f} s'
        )
        return outcome

    async def _ask_whole(self, request_id: str, body: dict) -> None:
        response = await self._client.request(
            'POST',
            '/v1/completions',
            json=body,
            headers={'x-request-id': request_id},
        )
        answer = response.json()
        self._check_answer(
            request_id,
            body,
            answer['choices'][0]['text'],
            answer['weight_versions'],
        )

    async def _ask_streamed(self, request_id: str, body: dict) -> None:
        # What was handed over was fresh then, also where the rest is late.
        text, segments = await self._streams.complete(
            request_id, body, self._check_fresh
        )
        self._check_answer(request_id, body, text, segments)

    def _check_answer(
        self, request_id: str, body: dict, text: str, segments: list[list[int]]
    ) -> None:
        note = self._recorder.promises
        whole = standins.make_completion_text(
            body['prompt'], 0, body['max_tokens']
        )
        note['whole answer of its own request'].note(
            text == whole, f'{request_id}: {text!r} is not {whole!r}'
        )
        tokens = standins.count_tokens(body['prompt'], 0, body['max_tokens'])
        named = (
            bool(segments)
            and min(s[0] for s in segments) > 0
            and sum(s[2] for s in segments) == tokens
        )
        note['answers name their versions'].note(
            named, f'{request_id}: {segments}'
        )
        if named and not body['stream']:
            oldest = min(s[0] for s in segments)
            self._check_fresh(request_id, oldest)

    def _check_fresh(self, request_id: str, oldest: int) -> None:
        behind = self._published.newest(0.0) - oldest
        self._recorder.staleness['answers'][max(behind, 0)] += 1
        known = self._published.newest(standins.VERSION_PROPAGATION_SECONDS)
        self._recorder.promises['answers within the bound'].note(
            known - oldest <= self._experiment.freshness_versions,
            f'{request_id} at {time.monotonic() - self._started:.1f} s: '
            f'version {oldest}, known {known}',
        )

    async def _look_up(self, request_id: str) -> None:
        action = self._rng.random() < self._traffic.action_share
        keyed = action and self._rng.random() < self._traffic.keyed_share
        size = self._rng.lognormal(
            numpy.log(self._traffic.payload_bytes_median), PAYLOAD_SIGMA
        )
        payload = 'x' * min(int(size), MAX_PAYLOAD_BYTES)
        key = f'key-{request_id}' if keyed else ''
        kind = 'keyed action' if keyed else 'action' if action else 'lookup'
        outcome = await self._measure(
            kind,
            request_id,
            self._call_service(request_id, payload, action, key),
        )
        if action:
            self.actions.append(Action(request_id, key, outcome))

    async def _call_service(
        self, request_id: str, payload: str, action: bool, key: str
    ) -> None:
        response = await self._client.request(
            'POST',
            f'/services/{self.path("lookups")}/{request_id}',
            idempotent=not action,
            idempotency_key=key,
            content=payload,
            headers={'x-request-id': request_id},
        )
        if response.is_server_error:
            # The server's own answer, passed on as it came.
            raise errors.OutcomeUnknown(f'answered {response.status_code}')
        answer = response.json()
        self._recorder.promises['whole answer of its own request'].note(
            answer.get('path') == request_id and answer['body'] == payload,
            f'{request_id}: {str(answer)[:80]}',
        )

    async def send_poison(self, times: int) -> None:
        """Send a request that crashes engines, and send it again."""
        body = {
            'model': self.path('answers'),
            'prompt': f'POISON {self._count}',
            'max_tokens': 64,
            'stream': False,
        }
        for number in range(times):
            request_id = f'poison-{self._count}-{number}'
            await self._measure(
                'poison', request_id, self._ask_whole(request_id, body)
            )


def client_tries(kind: str) -> int:
    """Return how often the caller's side may send a call."""
    return 2 if kind == 'stream' else 4
