"""Runs one experiment and writes its result."""

import collections.abc
import pathlib
import time

import anyio

from bench import callers
from bench import checks
from bench import deployments
from bench import disturbances
from bench import experiment_file
from bench import operators
from bench import results
from bench import trainers
from bench import versions

PROGRESS_INTERVAL_SECONDS = 5.0
# Time after the load in which settings are still checked.
SETTLE_SECONDS = 3.0
READY_TIMEOUT_SECONDS = 30.0

ProgressReporter = collections.abc.Callable[[str], None]


class Run:
    """One run of an experiment.

    Parameters
    ----------
    experiment : Experiment
        Experiment to run.
    seed : int
        Seed of all random choices.
    folder : Path
        Folder for settings, logs and the result.
    command : str
        Command that repeats the run, for the result.
    report_progress : callable
        Receives lines of progress.

    Attributes
    ----------
    result : Result
        Result of the run; partial until the run has ended.
    """

    def __init__(
        self,
        experiment: experiment_file.Experiment,
        seed: int,
        folder: pathlib.Path,
        command: str,
        report_progress: ProgressReporter,
    ) -> None:
        self.result = results.Result(
            experiment, seed, command, memory_gb=results.read_memory_gb()
        )
        self._experiment = experiment
        self._seed = seed
        self._folder = folder
        self._report_progress = report_progress
        self._recorder = results.Recorder()
        self._load_started_at = 0.0

    async def run(self) -> results.Result:
        """Run the experiment and write its result, also if interrupted."""
        deployment = deployments.Deployment(self._experiment, self._folder)
        try:
            self._report_progress(
                f'starting {len(deployment.programs)} processes'
            )
            await deployment.start()
            await self._run_workloads(deployment)
            self.result.is_complete = True
        finally:
            self._record_resource_usage(deployment)
            deployment.stop()
            if self._load_started_at:
                self.result.seconds = time.monotonic() - self._load_started_at
            self._recorder.copy_to(self.result)
            results.write_result(self.result, self._folder)
        return self.result

    async def _run_workloads(self, deployment: deployments.Deployment) -> None:
        publication_log = versions.PublicationLog()
        operator_workload = operators.OperatorWorkload(
            self._experiment,
            deployment,
            self._recorder,
            publication_log,
            self._seed,
        )
        operator_workload.load_started_at = time.monotonic()
        await operator_workload.set_up()
        await self._wait_until_ready(deployment)
        self._load_started_at = operator_workload.load_started_at = (
            time.monotonic()
        )
        shared_arguments = (
            self._recorder,
            publication_log,
            self._load_started_at,
        )
        caller_workload = callers.CallerWorkload(
            self._experiment,
            self._seed,
            deployment.list_addresses('entry'),
            *shared_arguments,
        )
        trainer_workload = trainers.TrainerWorkload(
            self._experiment,
            self._seed,
            deployment.list_addresses('rollout'),
            *shared_arguments,
        )
        fault_injector = disturbances.FaultInjector(
            self._experiment,
            deployment,
            self._recorder,
            caller_workload,
            operator_workload,
            self._load_started_at,
        )
        self._report_progress('deployment is ready; starting the load')
        async with anyio.create_task_group() as background:
            background.start_soon(self._show_progress)
            background.start_soon(operator_workload.publish_periodically)
            background.start_soon(
                operator_workload.change_settings_periodically
            )
            background.start_soon(operator_workload.watch_configuration)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(caller_workload.run)
                tasks.start_soon(trainer_workload.run)
                tasks.start_soon(fault_injector.run)
            await anyio.sleep(SETTLE_SECONDS)
            background.cancel_scope.cancel()
        self.result.versions = publication_log.find_newest(0.0)
        await checks.check_runs(deployment, caller_workload, self._recorder)
        checks.check_processes(
            deployment, caller_workload, fault_injector, self._recorder
        )

    async def _wait_until_ready(
        self, deployment: deployments.Deployment
    ) -> None:
        """Wait until each entry and rollout knows each engine's version."""
        with anyio.fail_after(READY_TIMEOUT_SECONDS):
            for kind in ('entry', 'rollout'):
                for address in deployment.list_addresses(kind):
                    while not await self._knows_all_servers(
                        deployment, address
                    ):
                        await anyio.sleep(0.2)

    async def _knows_all_servers(
        self, deployment: deployments.Deployment, address: str
    ) -> bool:
        response = await deployment.client.get(f'http://{address}/dump')
        servers = response.json()['servers']
        expected_servers = [
            *deployment.standins.engines,
            *deployment.standins.services,
        ]
        engine_names = [e.name for e in deployment.standins.engines]
        return len(servers) == len(expected_servers) and all(
            servers[name]['weight_version'] > 0 for name in engine_names
        )

    async def _show_progress(self) -> None:
        while True:
            await anyio.sleep(PROGRESS_INTERVAL_SECONDS)
            elapsed_seconds = time.monotonic() - self._load_started_at
            recorder = self._recorder
            call_count = sum(
                sum(c.values()) for c in recorder.outcomes.values()
            )
            violations = sum(
                i.violations for i in recorder.invariants.values()
            )
            self._report_progress(
                f'{elapsed_seconds:5.0f} s: {call_count} calls, '
                f'{recorder.steps} steps, '
                f'{recorder.samples} samples, {violations} violations'
            )

    def _record_resource_usage(
        self, deployment: deployments.Deployment
    ) -> None:
        for name, program in deployment.programs.items():
            if program.exit_code is None:
                cpu_seconds, resident_bytes = program.measure_usage()
                self.result.processes[name] = {
                    'cpu_seconds': cpu_seconds,
                    'memory_mb': round(resident_bytes / 2**20, 1),
                }
