"""Injects the faults of an experiment on schedule."""

import signal
import time

import anyio
import anyio.abc
import httpx

from bench import callers
from bench import deployments
from bench import experiment_file
from bench import operators
from bench import processes
from bench import results

TERMINATE_TIMEOUT_SECONDS = 60.0
# Time until every router knows that a server is leaving.
LEAVING_PROPAGATION_SECONDS = 3.0


class FaultInjector:
    """Injects faults into processes, stand-ins and the load.

    Attributes
    ----------
    killed_programs : set of str
        Names of the programs that were killed.
    """

    def __init__(
        self,
        experiment: experiment_file.Experiment,
        deployment: deployments.Deployment,
        recorder: results.Recorder,
        caller_workload: callers.CallerWorkload,
        operator_workload: operators.OperatorWorkload,
        load_started_at: float,
    ) -> None:
        self.killed_programs: set[str] = set()
        self._affected_programs: set[str] = set()
        self._experiment = experiment
        self._deployment = deployment
        self._recorder = recorder
        self._caller_workload = caller_workload
        self._operator_workload = operator_workload
        self._load_started_at = load_started_at

    async def run(self) -> None:
        """Inject each fault at its time and wait until all are over."""
        async with anyio.create_task_group() as tasks:
            for fault in self._experiment.faults:
                tasks.start_soon(self._inject, fault)

    def _record_event(self, text: str) -> None:
        at_seconds = round(time.monotonic() - self._load_started_at, 2)
        self._recorder.events.append(results.Event(at_seconds, text))

    async def _inject(self, fault: experiment_file.Fault) -> None:
        due_at = self._load_started_at + fault.at_seconds
        await anyio.sleep(max(due_at - time.monotonic(), 0))
        self._record_event(f'{fault.target} {fault.kind} {fault.value:g}')
        if fault.kind == 'poison':
            await self._caller_workload.send_poison(int(fault.value))
        elif fault.kind == 'race':
            await self._operator_workload.race_edits(int(fault.value))
        elif fault.kind in ('kill', 'pause', 'terminate'):
            await self._inject_process_fault(fault)
        else:
            await self._inject_standin_fault(fault)

    async def _inject_process_fault(
        self, fault: experiment_file.Fault
    ) -> None:
        # Skips programs that another fault holds: that fault restarts or
        # resumes them.
        programs = [
            program
            for program in self._deployment.select_programs(fault.target)
            if program.name not in self._affected_programs
        ]
        names = {program.name for program in programs}
        self._affected_programs |= names
        try:
            await self._disrupt_programs(fault, programs)
        finally:
            self._affected_programs -= names

    async def _disrupt_programs(
        self, fault: experiment_file.Fault, programs: list[processes.Program]
    ) -> None:
        vm = fault.target.partition('/')[0]
        is_whole_vm = (
            fault.target == vm and vm in self._deployment.list_vm_names()
        )
        if fault.kind == 'kill':
            for program in programs:
                self.killed_programs.add(program.name)
                program.kill()
            if is_whole_vm:
                await self._deployment.set_vm_listed(vm, listed=False)
            await anyio.sleep(fault.value)
            await self._restart(programs, vm, is_whole_vm)
        elif fault.kind == 'pause':
            await self._pause(programs, fault.value)
        else:
            await self._terminate(programs, vm, is_whole_vm, fault.value)

    async def _pause(
        self, programs: list[processes.Program], seconds: float
    ) -> None:
        for program in programs:
            program.send_signal(signal.SIGSTOP)
        try:
            await anyio.sleep(seconds)
        finally:
            for program in programs:
                program.send_signal(signal.SIGCONT)

    async def _terminate(
        self,
        programs: list[processes.Program],
        vm: str,
        is_whole_vm: bool,
        seconds: float,
    ) -> None:
        # Stops the entry first: it needs the other daemons of its VM until it
        # has drained.
        programs = sorted(programs, key=lambda p: not p.name.endswith('entry'))
        invariant = self._recorder.invariants[
            'a graceful shutdown ends with 0'
        ]
        for program in programs:
            program.is_exit_expected = True
            program.send_signal(signal.SIGTERM)
            exit_code = await program.wait(TERMINATE_TIMEOUT_SECONDS)
            invariant.record(
                exit_code == 0, f'{program.name} exited with {exit_code}'
            )
            self._record_event(f'{program.name} has ended')
        if is_whole_vm:
            await self._deployment.set_vm_listed(vm, listed=False)
        await anyio.sleep(seconds)
        await self._restart(programs, vm, is_whole_vm)

    async def _restart(
        self, programs: list[processes.Program], vm: str, is_whole_vm: bool
    ) -> None:
        if is_whole_vm:
            await self._deployment.set_vm_listed(vm, listed=True)
        for program in programs:
            program.start()
        self._record_event(f'{vm} is back')

    async def _inject_standin_fault(
        self, fault: experiment_file.Fault
    ) -> None:
        url = (
            f'http://{self._deployment.list_standin_addresses()[fault.target]}'
        )
        await self._set_standin_fault(url, fault.kind, fault.value)
        if fault.kind == 'leaving':
            await self._check_leaving_server(fault.target, url)
        if fault.for_seconds:
            ends_at_seconds = fault.at_seconds + fault.for_seconds
            due_at = self._load_started_at + ends_at_seconds
            await anyio.sleep(max(due_at - time.monotonic(), 0))
            await self._set_standin_fault(url, fault.kind, 0)
            self._record_event(f'{fault.target} {fault.kind} is over')

    async def _set_standin_fault(
        self, url: str, kind: str, value: float
    ) -> None:
        for _ in range(20):
            try:
                response = await self._deployment.client.post(
                    f'{url}/faults', json={kind: value}
                )
                response.raise_for_status()
                return
            except httpx.TransportError:
                # The stand-in itself is down; retries until it is back.
                await anyio.sleep(0.5)

    async def _check_leaving_server(self, name: str, url: str) -> None:
        """Check that a leaving server is sent no new requests."""
        await anyio.sleep(LEAVING_PROPAGATION_SECONDS)
        refused_counts = []
        for _ in range(2):
            try:
                response = await self._deployment.client.get(f'{url}/runs')
                refused_counts.append(response.json()['refused'])
            except (httpx.HTTPError, KeyError):
                return
            await anyio.sleep(2.0)
        self._recorder.invariants['no new work to a leaving server'].record(
            refused_counts[0] == refused_counts[1],
            f'{name} was offered '
            f'{refused_counts[1] - refused_counts[0]} requests',
        )
