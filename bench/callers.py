"""Open-loop load of callers, and checks of the responses they receive."""

import collections
import collections.abc
import time

import anyio
import anyio.abc
import msgspec
import numpy

from bench import experiment_file
from bench import results
from bench import streams
from bench import versions
from swiftjunction import client
from swiftjunction import errors
from swiftjunction import standins

REQUEST_TIMEOUT_SECONDS = 15.0
# Standard deviation of the natural logarithm of the body sizes of lookups.
PAYLOAD_LOG_SIGMA = 1.0
MAX_PAYLOAD_BYTES = 1_000_000
MEDIAN_TOKENS = 24.0


class Action(msgspec.Struct):
    """A call that must not run twice, with the outcome its caller saw.

    Attributes
    ----------
    key : str
        Idempotency key; empty for a call without one.
    outcome : str
        ``complete``, ``not run``, the name of a ``RequestError`` class, or
        ``untyped`` for any other exception.
    """

    request_id: str
    key: str
    outcome: str


class CallerWorkload:
    """Sends calls as a Poisson process with a seeded random generator.

    The load is open loop: calls start at their times whether or not earlier
    calls have ended.

    Parameters
    ----------
    experiment : Experiment
        Rates, mix and duration of the calls.
    seed : int
        Seed of the run.
    seed_addresses : list of str
        Entries from which clients fetch the addresses to use.
    recorder : Recorder
        Receives latencies, outcomes and invariants.
    publication_log : PublicationLog
        Published weight versions, to check freshness against.
    load_started_at : float
        Start of the load on the monotonic clock, in seconds.

    Attributes
    ----------
    actions : list of Action
        Calls that must not run twice, to compare with the servers' records.
    not_run_request_ids : list of str
        Ids of the requests that failed with ``NotRun``.
    """

    def __init__(
        self,
        experiment: experiment_file.Experiment,
        seed: int,
        seed_addresses: list[str],
        recorder: results.Recorder,
        publication_log: versions.PublicationLog,
        load_started_at: float,
    ) -> None:
        self.actions: list[Action] = []
        self.not_run_request_ids: list[str] = []
        self.outstanding_calls: collections.Counter[str] = (
            collections.Counter()
        )
        self._experiment = experiment
        self._traffic = experiment.traffic
        self._rng = numpy.random.default_rng([seed, 1])
        self._recorder = recorder
        self._publication_log = publication_log
        self._load_started_at = load_started_at
        self._client = client.CallerClient(
            seed_addresses, timeout_seconds=REQUEST_TIMEOUT_SECONDS
        )
        self._stream_client = streams.StreamClient(
            seed_addresses, REQUEST_TIMEOUT_SECONDS
        )
        self._call_count = 0

    @property
    def broken_streams(self) -> list[tuple[float, str]]:
        """Return the time, in seconds of load, and entry of broken streams."""
        return [
            (at - self._load_started_at, address)
            for at, address in self._stream_client.broken_streams
        ]

    async def run(self) -> None:
        """Send calls for the experiment's duration and wait for their ends."""
        traffic = self._traffic
        async with self._client, anyio.create_task_group() as tasks:
            async with anyio.create_task_group() as arrivals:
                arrivals.start_soon(
                    self._generate_arrivals,
                    tasks,
                    traffic.answers_per_second,
                    self._send_completion,
                )
                arrivals.start_soon(
                    self._generate_arrivals,
                    tasks,
                    traffic.lookups_per_second,
                    self._send_lookup,
                )
        await self._stream_client.close()

    async def _generate_arrivals(
        self,
        tasks: anyio.abc.TaskGroup,
        calls_per_second: float,
        call: collections.abc.Callable[
            [str], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        if not calls_per_second:
            return
        due_at = self._load_started_at
        ends_at = self._load_started_at + self._experiment.seconds
        while True:
            due_at += float(self._rng.exponential(1 / calls_per_second))
            if due_at >= ends_at:
                return
            await anyio.sleep(max(due_at - time.monotonic(), 0))
            self._call_count += 1
            tasks.start_soon(call, f'call-{self._call_count}')

    async def _send_completion(self, request_id: str) -> None:
        is_streamed = self._rng.random() < self._traffic.stream_share
        tokens = int(self._rng.lognormal(numpy.log(MEDIAN_TOKENS), 0.8))
        body = {
            'model': self.format_path('answers'),
            'prompt': f'{request_id}: does size {self._call_count % 40} fit?',
            'max_tokens': min(max(tokens, 1), self._traffic.tokens_max),
            'stream': is_streamed,
        }
        call = (
            self._request_stream if is_streamed else self._request_completion
        )
        kind = 'stream' if is_streamed else 'answer'
        await self._measure(kind, request_id, call(request_id, body))

    def format_path(self, name: str) -> str:
        """Return the path `name` of the calling team."""
        return f'{self._experiment.deployment}/{name}'

    async def _measure(
        self,
        kind: str,
        request_id: str,
        call: collections.abc.Coroutine[None, None, None],
    ) -> str:
        started_at = time.monotonic()
        outcome = 'complete'
        try:
            await call
        except errors.NotRun:
            outcome = 'not run'
            self.not_run_request_ids.append(request_id)
        except errors.RequestError as error:
            outcome = type(error).__name__
        except Exception as error:
            outcome = 'untyped'
            self._recorder.invariants['errors are typed'].record(
                False, f'{request_id}: {error!r}'
            )
        duration_seconds = time.monotonic() - started_at
        self._recorder.record_call(
            started_at - self._load_started_at, kind, duration_seconds, outcome
        )
        limit_seconds = REQUEST_TIMEOUT_SECONDS * get_max_attempts(kind) + 2
        self._recorder.invariants['every caller gets an end'].record(
            duration_seconds < limit_seconds,
            f'{request_id} took {duration_seconds:.1f} s',
        )
        return outcome

    async def _request_completion(self, request_id: str, body: dict) -> None:
        response = await self._client.request(
            'POST',
            '/v1/completions',
            json=body,
            headers={'x-request-id': request_id},
        )
        content = response.json()
        self._check_completion(
            request_id,
            body,
            content['choices'][0]['text'],
            content['weight_versions'],
        )

    async def _request_stream(self, request_id: str, body: dict) -> None:
        # Each chunk must be fresh when it arrives; it may become stale while
        # the rest of the stream follows.
        text, segments = await self._stream_client.complete(
            request_id, body, self._check_freshness
        )
        self._check_completion(request_id, body, text, segments)

    def _check_completion(
        self, request_id: str, body: dict, text: str, segments: list[list[int]]
    ) -> None:
        invariants = self._recorder.invariants
        expected_text = standins.make_completion_text(
            body['prompt'], 0, body['max_tokens']
        )
        invariants['whole answer of its own request'].record(
            text == expected_text,
            f'{request_id}: {text!r} is not {expected_text!r}',
        )
        tokens = standins.count_tokens(body['prompt'], 0, body['max_tokens'])
        has_versions = (
            bool(segments)
            and min(s[0] for s in segments) > 0
            and sum(s[2] for s in segments) == tokens
        )
        invariants['answers name their versions'].record(
            has_versions, f'{request_id}: {segments}'
        )
        if has_versions and not body['stream']:
            oldest_version = min(s[0] for s in segments)
            self._check_freshness(request_id, oldest_version)

    def _check_freshness(self, request_id: str, oldest_version: int) -> None:
        versions_behind = (
            self._publication_log.find_newest(0.0) - oldest_version
        )
        self._recorder.staleness['answers'][max(versions_behind, 0)] += 1
        known_version = self._publication_log.find_newest(
            standins.VERSION_PROPAGATION_SECONDS
        )
        self._recorder.invariants['answers within the bound'].record(
            known_version - oldest_version
            <= self._experiment.freshness_versions,
            f'{request_id} at '
            f'{time.monotonic() - self._load_started_at:.1f} s: '
            f'version {oldest_version}, known {known_version}',
        )

    async def _send_lookup(self, request_id: str) -> None:
        is_action = self._rng.random() < self._traffic.action_share
        has_key = is_action and self._rng.random() < self._traffic.keyed_share
        size_bytes = self._rng.lognormal(
            numpy.log(self._traffic.payload_bytes_median), PAYLOAD_LOG_SIGMA
        )
        payload = 'x' * min(int(size_bytes), MAX_PAYLOAD_BYTES)
        key = f'key-{request_id}' if has_key else ''
        kind = (
            'keyed action' if has_key else 'action' if is_action else 'lookup'
        )
        outcome = await self._measure(
            kind,
            request_id,
            self._call_service(request_id, payload, is_action, key),
        )
        if is_action:
            self.actions.append(Action(request_id, key, outcome))

    async def _call_service(
        self, request_id: str, payload: str, is_action: bool, key: str
    ) -> None:
        response = await self._client.request(
            'POST',
            f'/services/{self.format_path("lookups")}/{request_id}',
            idempotent=not is_action,
            idempotency_key=key,
            content=payload,
            headers={'x-request-id': request_id},
        )
        if response.is_server_error:
            # The backend server's own error, which the entry forwards as is.
            raise errors.OutcomeUnknown(
                f'the server responded with status {response.status_code}'
            )
        content = response.json()
        self._recorder.invariants['whole answer of its own request'].record(
            content.get('path') == request_id and content['body'] == payload,
            f'{request_id}: {str(content)[:80]}',
        )

    async def send_poison(self, attempts: int) -> None:
        """Send a request that crashes engines, `attempts` times in total."""
        body = {
            'model': self.format_path('answers'),
            'prompt': f'POISON {self._call_count}',
            'max_tokens': 64,
            'stream': False,
        }
        for number in range(attempts):
            request_id = f'poison-{self._call_count}-{number}'
            await self._measure(
                'poison',
                request_id,
                self._request_completion(request_id, body),
            )


def get_max_attempts(kind: str) -> int:
    """Return how many times the client sends a call at most."""
    return 2 if kind == 'stream' else 4
