"""The demo: live answers and a step, while things fail."""

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

CALLERS = 4
ANSWERS_PER_CALLER = 60
GROUPS = 32
SAMPLES_PER_GROUP = 8
MAX_TOKENS = 64
VERSIONS = 4
SEED = 1


class DemoResult(msgspec.Struct):
    """What callers and the trainer received, counted by themselves."""

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

    def holds(self) -> bool:
        """Tell whether every promise held."""
        broken = (
            self.live_errors
            + self.duplicates
            + self.lost
            + self.stale
            + self.cut_off
        )
        return (
            broken == 0
            and self.live_answers >= CALLERS * ANSWERS_PER_CALLER
            and self.samples == GROUPS * SAMPLES_PER_GROUP
            and self.versions == VERSIONS
        )

    def format_table(self) -> list[str]:
        """Return the result as lines for a person."""
        lines = ['', f'{"what":<28}{"count":>10}', '-' * 38]
        for name in self.__struct_fields__:
            value = getattr(self, name)
            lines.append(f'{name.replace("_", " "):<28}{value:>10}')
        verdict = 'every promise held' if self.holds() else 'BROKEN PROMISES'
        return [*lines, '-' * 38, verdict]

    def format_json(self) -> str:
        """Return the result as one line of JSON."""
        return msgspec.json.encode(self).decode()


class _Publication:
    """Publishes versions and remembers when, for the checks."""

    def __init__(self, publisher: weights.Publisher, model: str) -> None:
        self._publisher = publisher
        self._model = model
        self._times: list[float] = []

    async def publish(self) -> int:
        version = await self._publisher.publish(self._model)
        self._times.append(time.monotonic())
        return version

    def newest(self, seconds_ago: float) -> int:
        limit = time.monotonic() - seconds_ago
        return sum(published <= limit for published in self._times)


class _Demo:
    def __init__(
        self,
        fleet: _fleet.Fleet,
        report: collections.abc.Callable[[str], None],
    ) -> None:
        self._fleet = fleet
        self._report = report
        self._rng = random.Random(SEED)
        self._result = DemoResult()
        self._publication = _Publication(
            weights.Publisher(fleet.create_store_client()), fleet.options.model
        )

    async def run(self) -> DemoResult:
        await self._fleet.configure()
        await self._publication.publish()
        await self._fleet.wait_ready()
        self._report('the fleet is ready: 2 VMs, 5 engines, 4 servers')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cause_trouble)
            tasks.start_soon(self._train)
            for number in range(CALLERS):
                tasks.start_soon(self._call, number)
        self._result.versions = self._publication.newest(0.0)
        return self._result

    async def _cause_trouble(self) -> None:
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
        version = await self._publication.publish()
        self._report(f'weight version {version} was published')

    async def _train(self) -> None:
        groups = [
            {
                'prompt': _fleet.generate_prompt(self._rng, f'group {number}'),
                'samples': SAMPLES_PER_GROUP,
                'max_tokens': MAX_TOKENS,
            }
            for number in range(GROUPS)
        ]
        async with client.TrainerClient(
            'returns', self._fleet.list_rollout_addresses()
        ) as trainer:
            standin = standins.TrainerStandin(
                trainer, self._publication.newest
            )
            await standin.run_step(
                'step-1', 'demo/advice', groups, scorer='demo/scorer'
            )
        stats = standin.stats
        self._report(f'the trainer has its {stats.samples} samples')
        self._result.samples += stats.samples
        self._result.duplicates += stats.duplicates
        self._result.lost += stats.lost
        self._result.stale += stats.stale + stats.unnamed
        self._result.cut_off += stats.cut_off
        self._result.trainer_idle_seconds = round(stats.idle_seconds, 2)
        self._result.staleness_versions_max = max(stats.staleness, default=0)

    async def _call(self, number: int) -> None:
        rng = random.Random(f'{SEED} caller {number}')
        async with client.CallerClient(
            self._fleet.list_entry_addresses(),
            data_center=f'dc-{number % 2 + 1}',
            timeout_seconds=20.0,
        ) as caller:
            for turn in range(ANSWERS_PER_CALLER):
                try:
                    if turn % 3 == 2:
                        await self._look_up(caller, f'{number}-{turn}')
                    else:
                        await self._ask(caller, rng)
                    self._result.live_answers += 1
                except errors.RequestError as error:
                    self._result.live_errors += 1
                    self._report(f'a caller was refused: {error}')
                if turn % 20 == 19:
                    self._report(f'caller {number} has {turn + 1} answers')

    async def _ask(
        self, caller: client.CallerClient, rng: random.Random
    ) -> None:
        prompt = _fleet.generate_prompt(rng, 'shopper')
        answer = await caller.complete(
            'demo/advice', prompt, max_tokens=MAX_TOKENS
        )
        if answer.text != standins.make_completion_text(prompt, 0, MAX_TOKENS):
            self._result.cut_off += 1
        oldest = min(segment[0] for segment in answer.weight_versions)
        known = self._publication.newest(standins.VERSION_PROPAGATION_SECONDS)
        if known - oldest > 1:
            self._result.stale += 1

    async def _look_up(self, caller: client.CallerClient, name: str) -> None:
        response = await caller.request(
            'GET', f'/services/demo/ledger/technicians/{name}'
        )
        if response.json()['path'] != f'technicians/{name}':
            self._result.cut_off += 1


async def run_demo(
    report: collections.abc.Callable[[str], None],
) -> DemoResult:
    """Run the demo.

    Parameters
    ----------
    report : callable
        Takes each line of progress.
    """
    with tempfile.TemporaryDirectory() as folder:
        options = _fleet.FleetOptions(spool_folder=folder)
        async with _fleet.Fleet(options).run() as fleet:
            return await _Demo(fleet, report).run()
    raise AssertionError('the fleet ended without a result')
