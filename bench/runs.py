"""Runs one experiment from start to result."""

import collections.abc
import pathlib
import time

import anyio

from bench import callers
from bench import checks
from bench import deployment
from bench import disturbances
from bench import operators
from bench import plan
from bench import results
from bench import trainers
from bench import versions

PROGRESS_SECONDS = 5.0
SETTLE_SECONDS = 3.0
READY_SECONDS = 30.0

Report = collections.abc.Callable[[str], None]


class Run:
    """One run; its result is there also when it is interrupted."""

    def __init__(
        self,
        experiment: plan.Experiment,
        seed: int,
        folder: pathlib.Path,
        command: str,
        report: Report,
    ) -> None:
        self.result = results.Result(
            experiment, seed, command, memory_gb=results.read_memory_gb()
        )
        self._experiment = experiment
        self._seed = seed
        self._folder = folder
        self._report = report
        self._recorder = results.Recorder()
        self._started = 0.0

    async def run(self) -> results.Result:
        """Run it and write the result, whole or partial."""
        fleet = deployment.Deployment(self._experiment, self._folder)
        try:
            self._report(f'starting {len(fleet.programs)} processes')
            await fleet.start()
            await self._drive(fleet)
            self.result.whole = True
        finally:
            self._note_use(fleet)
            fleet.stop()
            if self._started:
                self.result.seconds = time.monotonic() - self._started
            self._recorder.fill(self.result)
            results.write_result(self.result, self._folder)
        return self.result

    async def _drive(self, fleet: deployment.Deployment) -> None:
        published = versions.Published()
        operator = operators.Operators(
            self._experiment, fleet, self._recorder, published, self._seed
        )
        operator.started = time.monotonic()
        await operator.set_up()
        await self._wait_ready(fleet)
        self._started = operator.started = time.monotonic()
        common = (self._recorder, published, self._started)
        live = callers.Callers(
            self._experiment, self._seed, fleet.addresses('entry'), *common
        )
        drawing = trainers.Trainers(
            self._experiment, self._seed, fleet.addresses('rollout'), *common
        )
        faults = disturbances.Disturbances(
            self._experiment,
            fleet,
            self._recorder,
            live,
            operator,
            self._started,
        )
        self._report('ready; the load begins')
        async with anyio.create_task_group() as background:
            background.start_soon(self._show_progress)
            background.start_soon(operator.publish_often)
            background.start_soon(operator.change_often)
            background.start_soon(operator.watch_configuration)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(live.run)
                tasks.start_soon(drawing.run)
                tasks.start_soon(faults.run)
            await anyio.sleep(SETTLE_SECONDS)
            background.cancel_scope.cancel()
        self.result.versions = published.newest(0.0)
        await checks.check_runs(fleet, live, self._recorder)
        checks.check_processes(fleet, live, faults, self._recorder)

    async def _wait_ready(self, fleet: deployment.Deployment) -> None:
        """Wait until each entry and rollout knows every engine's version."""
        with anyio.fail_after(READY_SECONDS):
            for kind in ('entry', 'rollout'):
                for address in fleet.addresses(kind):
                    while not await self._is_ready(fleet, address):
                        await anyio.sleep(0.2)

    async def _is_ready(
        self, fleet: deployment.Deployment, address: str
    ) -> bool:
        response = await fleet.client.get(f'http://{address}/dump')
        servers = response.json()['servers']
        wanted = [*fleet.standins.engines, *fleet.standins.services]
        engines = [e.name for e in fleet.standins.engines]
        return len(servers) == len(wanted) and all(
            servers[name]['weight_version'] > 0 for name in engines
        )

    async def _show_progress(self) -> None:
        while True:
            await anyio.sleep(PROGRESS_SECONDS)
            at = time.monotonic() - self._started
            recorder = self._recorder
            calls = sum(sum(c.values()) for c in recorder.outcomes.values())
            broken = sum(p.violations for p in recorder.promises.values())
            self._report(
                f'{at:5.0f} s: {calls} calls, {recorder.steps} steps, '
                f'{recorder.samples} samples, {broken} violations'
            )

    def _note_use(self, fleet: deployment.Deployment) -> None:
        for name, program in fleet.programs.items():
            if program.exit_code is None:
                seconds, size = program.use()
                self.result.processes[name] = {
                    'cpu_seconds': seconds,
                    'memory_mb': round(size / 2**20, 1),
                }
