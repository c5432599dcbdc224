"""The demo scenario: live requests and a step under injected faults."""

import collections.abc
import random
import tempfile
import time

import anyio
import msgspec

from swiftjunction import client
from swiftjunction.demo import _fleet
from swiftjunction import errors
from swiftjunction import standins
from swiftjunction import weights

CALLER_COUNT = 4
REQUESTS_PER_CALLER = 60
GROUP_COUNT = 32
SAMPLES_PER_GROUP = 8
MAX_TOKENS = 64
VERSION_COUNT = 4
SEED = 1


class DemoResult(msgspec.Struct):
    """Counts of what the callers and the trainer received.

    The clients count them, independently of the daemons.

    Attributes
    ----------
    live_answers, live_errors : int
        Requests of callers that got a response, or failed with an error.
    samples, duplicates, lost : int
        Samples that arrived, arrived more than once, or did not arrive.
    stale : int
        Responses and samples that violate the freshness bound, and samples
        without a known weight version.
    cut_off : int
        Responses and samples whose content is not the expected one.
    versions : int
        Published weight versions.
    trainer_idle_seconds : float
        Duration of the step, from its submission to its last sample.
    staleness_versions_max : int
        Largest number of versions that a sample was behind the newest one.
    """

    live_answers: int = 0
    live_errors: int = 0
    samples: int = 0
    duplicates: int = 0
    lost: int = 0
    stale: int = 0
    cut_off: int = 0
    versions: int = 0
    trainer_idle_seconds: float = 0.0
    staleness_versions_max: int = 0

    def passed(self) -> bool:
        """Tell whether every guarantee held and all work was done."""
        violation_count = (
            self.live_errors
            + self.duplicates
            + self.lost
            + self.stale
            + self.cut_off
        )
        return (
            violation_count == 0
            and self.live_answers >= CALLER_COUNT * REQUESTS_PER_CALLER
            and self.samples == GROUP_COUNT * SAMPLES_PER_GROUP
            and self.versions == VERSION_COUNT
        )

    def format_table(self) -> list[str]:
        """Return the result as the lines of a table."""
        lines = ['', f'{"what":<28}{"count":>10}', '-' * 38]
        for name in self.__struct_fields__:
            value = getattr(self, name)
            lines.append(f'{name.replace("_", " "):<28}{value:>10}')
        verdict = (
            'all guarantees held' if self.passed() else 'GUARANTEES VIOLATED'
        )
        return [*lines, '-' * 38, verdict]

    def format_json(self) -> str:
        """Return the result as one line of JSON."""
        return msgspec.json.encode(self).decode()


class _VersionPublisher:
    """Publishes weight versions, and records when it published each."""

    def __init__(self, publisher: weights.Publisher, model: str) -> None:
        self._publisher = publisher
        self._model = model
        self._times: list[float] = []

    async def publish(self) -> int:
        version = await self._publisher.publish(self._model)
        self._times.append(time.monotonic())
        return version

    def find_newest(self, seconds_ago: float) -> int:
        cutoff = time.monotonic() - seconds_ago
        return sum(published_at <= cutoff for published_at in self._times)


class _Scenario:
    def __init__(
        self,
        fleet: _fleet.Fleet,
        report: collections.abc.Callable[[str], None],
    ) -> None:
        self._fleet = fleet
        self._report = report
        self._rng = random.Random(SEED)
        self._result = DemoResult()
        self._version_publisher = _VersionPublisher(
            weights.Publisher(fleet.create_store_client()), fleet.options.model
        )

    async def run(self) -> DemoResult:
        await self._fleet.configure()
        await self._version_publisher.publish()
        await self._fleet.wait_ready()
        self._report('the fleet is ready: 2 VMs, 5 engines, 4 servers')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._inject_faults)
            tasks.start_soon(self._train)
            for number in range(CALLER_COUNT):
                tasks.start_soon(self._run_caller, number)
        self._result.versions = self._version_publisher.find_newest(0.0)
        return self._result

    async def _inject_faults(self) -> None:
        fleet = self._fleet
        await anyio.sleep(1.0)
        fleet.crash_engine('engine-1')
        self._report('engine-1 crashed')
        await anyio.sleep(0.5)
        await self._publish()
        await anyio.sleep(1.0)
        fleet.services['server-2'].faults.set('leaving', 1)
        self._report('server-2 is leaving')
        await anyio.sleep(0.5)
        fleet.entries['entry-1'].stop()
        self._report('entry-1 shuts down gracefully')
        await anyio.sleep(1.0)
        await self._publish()
        await anyio.sleep(2.0)
        await self._publish()

    async def _publish(self) -> None:
        version = await self._version_publisher.publish()
        self._report(f'weight version {version} was published')

    async def _train(self) -> None:
        groups = [
            {
                'prompt': _fleet.generate_prompt(self._rng, f'group {number}'),
                'samples': SAMPLES_PER_GROUP,
                'max_tokens': MAX_TOKENS,
            }
            for number in range(GROUP_COUNT)
        ]
        async with client.TrainerClient(
            'returns', self._fleet.list_rollout_addresses()
        ) as trainer:
            standin = standins.TrainerStandin(
                trainer, self._version_publisher.find_newest
            )
            await standin.run_step(
                'step-1', 'demo/advice', groups, scorer='demo/scorer'
            )
        stats = standin.stats
        self._report(f'the trainer received {stats.samples} samples')
        self._result.samples += stats.samples
        self._result.duplicates += stats.duplicates
        self._result.lost += stats.lost
        self._result.stale += stats.stale + stats.unnamed
        self._result.cut_off += stats.cut_off
        self._result.trainer_idle_seconds = round(stats.idle_seconds, 2)
        self._result.staleness_versions_max = max(stats.staleness, default=0)

    async def _run_caller(self, number: int) -> None:
        rng = random.Random(f'{SEED} caller {number}')
        async with client.CallerClient(
            self._fleet.list_entry_addresses(),
            data_center=f'dc-{number % 2 + 1}',
            timeout_seconds=20.0,
        ) as caller:
            for index in range(REQUESTS_PER_CALLER):
                try:
                    if index % 3 == 2:
                        await self._request_lookup(caller, f'{number}-{index}')
                    else:
                        await self._request_completion(caller, rng)
                    self._result.live_answers += 1
                except errors.RequestError as error:
                    self._result.live_errors += 1
                    self._report(f'request failed: {error}')
                if index % 20 == 19:
                    self._report(f'caller {number} sent {index + 1} requests')

    async def _request_completion(
        self, caller: client.CallerClient, rng: random.Random
    ) -> None:
        prompt = _fleet.generate_prompt(rng, 'shopper')
        completion = await caller.complete(
            'demo/advice', prompt, max_tokens=MAX_TOKENS
        )
        if completion.text != standins.make_completion_text(
            prompt, 0, MAX_TOKENS
        ):
            self._result.cut_off += 1
        oldest_version = min(
            segment[0] for segment in completion.weight_versions
        )
        known_version = self._version_publisher.find_newest(
            standins.VERSION_PROPAGATION_SECONDS
        )
        if known_version - oldest_version > 1:
            self._result.stale += 1

    async def _request_lookup(
        self, caller: client.CallerClient, name: str
    ) -> None:
        response = await caller.request(
            'GET', f'/services/demo/ledger/technicians/{name}'
        )
        if response.json()['path'] != f'technicians/{name}':
            self._result.cut_off += 1


async def run_demo(
    report: collections.abc.Callable[[str], None],
) -> DemoResult:
    """Run the demo and return its result.

    Parameters
    ----------
    report : callable
        Called with each line of progress.
    """
    with tempfile.TemporaryDirectory() as folder:
        options = _fleet.FleetOptions(spool_folder=folder)
        async with _fleet.Fleet(options).run() as fleet:
            return await _Scenario(fleet, report).run()
    raise AssertionError('the fleet ended without a result')
