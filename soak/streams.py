"""Callers that resume their streams at other VMs, and judge what they get."""

import contextlib
import random

import anyio
import httpx

from soak import checks
from soak import keys
from soak import testbed
from swiftjunction import standins

MAX_ATTEMPTS = 4
MAX_EVENTS = standins.make_platform_text('').count('\n') + 1
PAUSE_SECONDS = 0.05
ATTEMPT_TIMEOUT_SECONDS = 3.0


class Stream:
    """One stream, as its caller has received it over all attempts.

    Attributes
    ----------
    name : str
        Prefix of the ids of its attempts.
    first_id : str
        Id of the attempt that brought the first event.
    data : list of str
        The data of all events received.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.first_id = ''
        self.data: list[str] = []

    def record(self, request_id: str, data: str) -> None:
        """Record an event that an attempt brought."""
        self.first_id = self.first_id or request_id
        self.data.append(data)

    @property
    def is_complete(self) -> bool:
        """Tell whether the last event has been received."""
        return len(self.data) == MAX_EVENTS

    def list_numbers(self) -> list[int]:
        """Return the numbers of the events in the order received."""
        return [int(data.split(' ')[1]) for data in self.data]

    def make_headers(self) -> dict[str, str]:
        """Return the headers with which the next attempt resumes."""
        if not self.data:
            return {}
        return {
            'last-event-id': str(len(self.data) - 1),
            'resumes': self.first_id,
        }


class StreamCaller:
    """Requests streams, disconnects at times, and resumes at any VM.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment that receives the requests.
    invariants : Invariants
        Records the checks.
    rng : random.Random
        Source of randomness.
    ring : KeyRing
        The keys of requests.

    Attributes
    ----------
    outcomes : list of Outcome
        All attempts and their outcomes.
    """

    def __init__(
        self,
        deployment: testbed.SoakDeployment,
        invariants: checks.Invariants,
        rng: random.Random,
        ring: keys.KeyRing,
    ) -> None:
        self._ring = ring
        self._deployment = deployment
        self._invariants = invariants
        self._rng = rng
        self._count = 0
        self.outcomes: list[checks.Outcome] = []

    async def run(self) -> None:
        """Request streams one after the other until cancelled."""
        while True:
            self._count += 1
            stream = Stream(f't{self._count}')
            for attempt in range(MAX_ATTEMPTS):
                status = await self._attempt(stream, attempt)
                if stream.is_complete or status == 503:
                    break
                await anyio.sleep(PAUSE_SECONDS)
            self._judge(stream)

    async def _attempt(self, stream: Stream, attempt: int) -> int:
        """Return the status; 0 if there was no response."""
        vm = self._rng.choice(self._deployment.vms)
        outcome = checks.Outcome(
            f'{stream.name}.{attempt}', 'streams', vm.name
        )
        outcome.started_at = anyio.current_time()
        outcome.epoch = vm.epoch
        self.outcomes.append(outcome)
        wanted = self._rng.randint(len(stream.data) + 1, MAX_EVENTS)
        with contextlib.suppress(httpx.HTTPError):
            await self._read(stream, outcome, vm, wanted)
        outcome.ended_at = anyio.current_time()
        return outcome.status

    async def _read(
        self,
        stream: Stream,
        outcome: checks.Outcome,
        vm: testbed.SoakVm,
        wanted: int,
    ) -> None:
        """Read events until there are as many as wanted, then disconnect."""
        async with (
            httpx.AsyncClient(
                trust_env=False, timeout=ATTEMPT_TIMEOUT_SECONDS
            ) as client,
            client.stream(
                'POST',
                f'http://{vm.front_address}/streams/{stream.name}',
                headers={
                    **testbed.make_headers(outcome.request_id),
                    **self._ring.draw_headers(outcome.request_id),
                    **stream.make_headers(),
                },
            ) as response,
        ):
            outcome.status = response.status_code
            outcome.run = response.headers.get('x-standin-run', '')
            outcome.is_leaving = 'server-leaving' in response.headers
            outcome.limit = float(response.headers.get('server-limit', 'inf'))
            if response.status_code != 200:
                return
            lines = response.aiter_lines()
            async with contextlib.aclosing(lines):
                async for line in lines:
                    for data in standins.list_event_data([line]):
                        stream.record(outcome.request_id, data)
                    if len(stream.data) >= wanted:
                        return

    def _judge(self, stream: Stream) -> None:
        self._invariants.check(
            'a stream holds events of one software version',
            len(standins.find_software(stream.data)) <= 1,
            (stream.name, stream.data),
        )
        self._invariants.check(
            'a stream has each event once, without a gap',
            stream.list_numbers() == list(range(len(stream.data))),
            (stream.name, stream.data),
        )
