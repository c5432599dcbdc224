"""Runs of the soak test and their reports."""

import pathlib
import random
import socket

import anyio
import cleo.commands.command
import cleo.helpers
import msgspec

from soak import checks
from soak import crowds
from soak import faults
from soak import inputs
from soak import keys
from soak import load
from soak import testbed
from swiftjunction.commands import _application

CALLER_COUNT = 4
STREAM_CALLER_COUNT = 3
START_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.2
# The deployment must recover from the last fault within this time.
RECOVERY_TIMEOUT_SECONDS = 12.0
# The workload continues for this time after the last fault.
QUIET_SECONDS = 3.0
# Number of loopback networks. Runs that share a machine use different ones.
NETWORK_COUNT = 250
# A run listens here, in its network, for as long as it uses the network.
RESERVATION_HOST = 254
RESERVATION_PORT = 8160


class Report(msgspec.Struct, frozen=True):
    """Result of a run.

    Attributes
    ----------
    seed : int
        Seed of the faults and the workload.
    seconds : float
        Duration of the fault injection in seconds.
    vms : int
        Number of VMs.
    calls : int
        Number of requests of the callers.
    answered : int
        Number of these requests with status 200.
    steps : int
        Number of completed steps.
    cases : dict of str to int
        Number of checks by invariant.
    broken : list of str
        Violations of invariants.
    faults : list of str
        Injected faults with their times.
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
    """Run the workload and the faults of a seed.

    Parameters
    ----------
    seed : int
        Seed of the faults and the workload.
    seconds : float
        Duration of the fault injection.
    vms : int
        Number of VMs.
    folder : Path
        Folder for settings and logs.
    """
    folder.mkdir(parents=True, exist_ok=True)
    rng = random.Random(seed)
    invariants = checks.Invariants()
    network, reservation = reserve_network(seed)
    ring = keys.KeyRing(random.Random(seed + 2))
    # The configurations of every other seed have organisations.
    organised = seed % 2 == 0
    deployment = testbed.SoakDeployment(
        folder,
        vms,
        network,
        rng,
        (*crowds.SETTINGS, *(keys.SETTINGS if organised else ())),
        ring.rotate if organised else None,
    )
    workload = load.Workload(
        deployment, invariants, random.Random(seed + 1), ring
    )
    injector = faults.FaultInjector(deployment, invariants, rng)
    odd_input = inputs.OddInput(
        deployment, invariants, random.Random(seed + 3), ring
    )
    crowd = crowds.Crowds(
        deployment, invariants, random.Random(seed + 4), ring
    )
    try:
        async with anyio.create_task_group() as tasks:
            await deployment.start(tasks)
            await _wait_until_served(workload)
            tasks.start_soon(odd_input.watch_processes)
            async with anyio.create_task_group() as crowd_tasks:
                crowd_tasks.start_soon(crowd.run)
                await _inject_faults(workload, injector, odd_input, seconds)
                await crowd.check_answers()
                await _check_recovery(workload, invariants)
                crowd_tasks.cancel_scope.cancel()
            await _stop_vms(deployment, invariants)
            tasks.cancel_scope.cancel()
    finally:
        deployment.stop()
        reservation.close()
    outcomes = [*workload.outcomes, *workload.stream_caller.outcomes]
    checks.check_runs(invariants, outcomes, deployment)
    checks.check_leaving(invariants, outcomes, deployment)
    checks.check_limits(invariants, outcomes, deployment)
    checks.check_fencing_tokens(invariants, deployment)
    checks.check_ended_batches(invariants, workload.readers, deployment)
    keys.check_keys(invariants, outcomes, deployment, ring)
    return Report(
        seed,
        seconds,
        vms,
        len(workload.outcomes),
        sum(outcome.status == 200 for outcome in workload.outcomes),
        workload.completed_steps,
        dict(invariants.cases),
        invariants.violations,
        injector.log,
    )


def reserve_network(seed: int) -> tuple[int, socket.socket]:
    """Return the number of a loopback network that no other run uses.

    Returns
    -------
    int, socket
        The second byte of the network's addresses, and the socket that
        reserves it until it is closed.
    """
    for offset in range(NETWORK_COUNT):
        network = 1 + (seed + offset) % NETWORK_COUNT
        reservation = socket.socket()
        try:
            reservation.bind(
                (f'127.{network}.0.{RESERVATION_HOST}', RESERVATION_PORT)
            )
        except OSError:
            reservation.close()
            continue
        reservation.listen()
        return network, reservation
    raise RuntimeError('all loopback networks are in use')


async def _wait_until_served(workload: load.Workload) -> None:
    with anyio.fail_after(START_TIMEOUT_SECONDS):
        while True:
            response = await workload.send_request('POST', '/plain/start')
            if response is not None and response.status_code == 200:
                return
            await anyio.sleep(POLL_INTERVAL_SECONDS)


async def _inject_faults(
    workload: load.Workload,
    injector: faults.FaultInjector,
    odd_input: inputs.OddInput,
    seconds: float,
) -> None:
    async with anyio.create_task_group() as tasks:
        for number in range(CALLER_COUNT):
            tasks.start_soon(workload.run_caller, number % 2 == 0)
        tasks.start_soon(workload.run_trainer)
        tasks.start_soon(workload.run_operator)
        tasks.start_soon(workload.run_crasher)
        tasks.start_soon(odd_input.run)
        for _ in range(STREAM_CALLER_COUNT):
            tasks.start_soon(workload.stream_caller.run)
        await injector.run(seconds)
        await anyio.sleep(QUIET_SECONDS)
        tasks.cancel_scope.cancel()


async def _check_recovery(
    workload: load.Workload, invariants: checks.Invariants
) -> None:
    """Check steps, earlier results and a new configuration."""
    steps = workload.completed_steps
    with anyio.move_on_after(RECOVERY_TIMEOUT_SECONDS):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(workload.run_trainer)
            while workload.completed_steps == steps:
                await anyio.sleep(POLL_INTERVAL_SECONDS)
            tasks.cancel_scope.cancel()
    invariants.check(
        'a step completes after the last fault',
        workload.completed_steps > steps,
        steps,
    )
    with anyio.fail_after(RECOVERY_TIMEOUT_SECONDS):
        await workload.reread_batches()
        await workload.check_config_propagation()
        await workload.check_crashing_request()


async def _stop_vms(
    deployment: testbed.SoakDeployment, invariants: checks.Invariants
) -> None:
    for vm in deployment.vms:
        exit_code = await vm.terminate()
        invariants.check(
            'a graceful shutdown exits with 0 in time',
            exit_code == 0,
            (vm.name, exit_code),
        )


class SoakCommand(cleo.commands.command.Command):
    """Runs the soak test with one or more seeds, one after the other."""

    name = 'soak'
    description = (
        'Injects random faults into real processes and checks promises.'
    )
    options = [
        cleo.helpers.option('seed', None, 'First seed.', False, default='1'),
        cleo.helpers.option(
            'runs', None, 'Number of seeds.', False, default='1'
        ),
        cleo.helpers.option(
            'seconds',
            None,
            'Duration of the faults in seconds.',
            False,
            default='30',
        ),
        cleo.helpers.option('vms', None, 'Number of VMs.', False, default='4'),
        cleo.helpers.option(
            'out',
            None,
            'Folder for settings and logs.',
            False,
            default='out/soak',
        ),
    ]

    def handle(self) -> int:
        violations = 0
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
            violations += len(report.broken)
        return _application.EXIT_FAILURE if violations else 0


def run_command() -> int:
    """Run the command line of the soak test."""
    return _application.run_application('soak', [SoakCommand()], 'soak')
