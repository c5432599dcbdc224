"""One run of the soak, and its report."""

import pathlib
import random

import anyio
import cleo.commands.command
import cleo.helpers
import msgspec

from soak import checks
from soak import faults
from soak import load
from soak import world
from swiftjunction.commands import _application

CALLERS = 4
START_SECONDS = 20.0
START_CHECK_SECONDS = 0.2
# After the last fault, everything must work again within this time.
RECOVER_SECONDS = 12.0
QUIET_SECONDS = 3.0
# Seeds that differ by less may run at once.
MAX_NETWORKS = 250


class Report(msgspec.Struct, frozen=True):
    """What a run found.

    Attributes
    ----------
    steps : int
        That a trainer got whole.
    """

    seed: int
    seconds: float
    vms: int
    calls: int
    answered: int
    steps: int
    cases: dict[str, int]
    broken: list[str]
    faults: list[str]


async def run(
    seed: int, seconds: float, vms: int, folder: pathlib.Path
) -> Report:
    """Run faults of one seed and return what was found."""
    folder.mkdir(parents=True, exist_ok=True)
    rng = random.Random(seed)
    promises = checks.Promises()
    network = 1 + seed % MAX_NETWORKS
    deployment = world.World(folder, vms, network, rng)
    work = load.Load(deployment, promises, random.Random(seed + 1))
    injector = faults.FaultInjector(deployment, promises, rng)
    try:
        async with anyio.create_task_group() as tasks:
            await deployment.run(tasks)
            await _wait_until_served(work)
            await _disturb(work, injector, seconds)
            await _recover(work, promises)
            await _end(deployment, promises)
            tasks.cancel_scope.cancel()
    finally:
        deployment.stop()
    checks.check_runs(promises, work.outcomes, deployment)
    checks.check_fences(promises, deployment)
    return Report(
        seed,
        seconds,
        vms,
        len(work.outcomes),
        sum(outcome.status == 200 for outcome in work.outcomes),
        work.steps,
        dict(promises.cases),
        promises.broken,
        injector.log,
    )


async def _wait_until_served(work: load.Load) -> None:
    with anyio.fail_after(START_SECONDS):
        while True:
            answer = await work.ask('POST', '/plain/start')
            if answer is not None and answer.status_code == 200:
                return
            await anyio.sleep(START_CHECK_SECONDS)


async def _disturb(
    work: load.Load, injector: faults.FaultInjector, seconds: float
) -> None:
    async with anyio.create_task_group() as tasks:
        for number in range(CALLERS):
            tasks.start_soon(work.call, number % 2 == 0)
        tasks.start_soon(work.train)
        tasks.start_soon(work.operate)
        await injector.run(seconds)
        await anyio.sleep(QUIET_SECONDS)
        tasks.cancel_scope.cancel()


async def _recover(work: load.Load, promises: checks.Promises) -> None:
    """Check that a step is served whole, and old results are found."""
    steps = work.steps
    with anyio.move_on_after(RECOVER_SECONDS):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(work.train)
            while work.steps == steps:
                await anyio.sleep(START_CHECK_SECONDS)
            tasks.cancel_scope.cancel()
    promises.check(
        'a step is served after the last fault', work.steps > steps, steps
    )
    with anyio.fail_after(RECOVER_SECONDS):
        await work.read_again()
        await work.check_configuration()


async def _end(deployment: world.World, promises: checks.Promises) -> None:
    for vm in deployment.vms:
        code = await vm.terminate()
        promises.check(
            'a graceful shutdown ends in time with 0', code == 0, vm.name
        )


class SoakCommand(cleo.commands.command.Command):
    """Runs one seed, or several one after the other."""

    name = 'soak'
    description = 'Disturbs real processes at random and checks promises.'
    options = [
        cleo.helpers.option('seed', None, 'First seed.', False, default='1'),
        cleo.helpers.option('runs', None, 'Seeds.', False, default='1'),
        cleo.helpers.option(
            'seconds', None, 'Of faults.', False, default='30'
        ),
        cleo.helpers.option('vms', None, 'VMs.', False, default='4'),
        cleo.helpers.option(
            'out', None, 'Folder for logs.', False, default='out/soak'
        ),
    ]

    def handle(self) -> int:
        broken = 0
        first = int(self.option('seed'))
        for seed in range(first, first + int(self.option('runs'))):
            report = anyio.run(
                run,
                seed,
                float(self.option('seconds')),
                int(self.option('vms')),
                pathlib.Path(self.option('out')) / str(seed),
            )
            self.line(msgspec.json.encode(report).decode())
            broken += len(report.broken)
        return _application.EXIT_FAILURE if broken else 0


def run_command() -> int:
    """Run the command of this package."""
    return _application.run_application('soak', [SoakCommand()], 'soak')
