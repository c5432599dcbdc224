"""Carries out a fault schedule."""

import signal
import time

import anyio
import anyio.abc
import httpx

from bench import callers
from bench import deployment
from bench import operators
from bench import plan
from bench import processes
from bench import results

TERMINATE_SECONDS = 60.0
LEAVING_SECONDS = 3.0


class Disturbances:
    """The faults of a run.

    Attributes
    ----------
    killed : set of str
        Which programs were killed, by name.
    """

    def __init__(
        self,
        experiment: plan.Experiment,
        fleet: deployment.Deployment,
        recorder: results.Recorder,
        live: callers.Callers,
        operator: operators.Operators,
        started: float,
    ) -> None:
        self.killed: set[str] = set()
        self._busy: set[str] = set()
        self._experiment = experiment
        self._fleet = fleet
        self._recorder = recorder
        self._live = live
        self._operator = operator
        self._started = started

    async def run(self) -> None:
        """Carry out each fault at its time, and wait for their ends."""
        async with anyio.create_task_group() as tasks:
            for fault in self._experiment.faults:
                tasks.start_soon(self._carry_out, fault)

    def _note(self, text: str) -> None:
        at = round(time.monotonic() - self._started, 2)
        self._recorder.events.append(results.Event(at, text))

    async def _carry_out(self, fault: plan.Fault) -> None:
        due = self._started + fault.at_seconds
        await anyio.sleep(max(due - time.monotonic(), 0))
        self._note(f'{fault.target} {fault.kind} {fault.value:g}')
        if fault.kind == 'poison':
            await self._live.send_poison(int(fault.value))
        elif fault.kind == 'race':
            await self._operator.race(int(fault.value))
        elif fault.kind in ('kill', 'pause', 'terminate'):
            await self._disturb(fault)
        else:
            await self._switch(fault)

    async def _disturb(self, fault: plan.Fault) -> None:
        # A process that is away already is left to the fault that took it.
        programs = [
            program
            for program in self._fleet.select(fault.target)
            if program.name not in self._busy
        ]
        names = {program.name for program in programs}
        self._busy |= names
        try:
            await self._disturb_programs(fault, programs)
        finally:
            self._busy -= names

    async def _disturb_programs(
        self, fault: plan.Fault, programs: list[processes.Program]
    ) -> None:
        vm = fault.target.partition('/')[0]
        whole = fault.target == vm and vm in self._fleet.vm_names()
        if fault.kind == 'kill':
            for program in programs:
                self.killed.add(program.name)
                program.kill()
            if whole:
                await self._fleet.change_vm(vm, listed=False)
            await anyio.sleep(fault.value)
            await self._restart(programs, vm, whole)
        elif fault.kind == 'pause':
            await self._pause(programs, fault.value)
        else:
            await self._terminate(programs, vm, whole, fault.value)

    async def _pause(
        self, programs: list[processes.Program], seconds: float
    ) -> None:
        for program in programs:
            program.send(signal.SIGSTOP)
        try:
            await anyio.sleep(seconds)
        finally:
            for program in programs:
                program.send(signal.SIGCONT)

    async def _terminate(
        self,
        programs: list[processes.Program],
        vm: str,
        whole: bool,
        seconds: float,
    ) -> None:
        # The entry first: what it needs of its VM stays until it has ended.
        programs = sorted(programs, key=lambda p: not p.name.endswith('entry'))
        promise = self._recorder.promises['a graceful shutdown ends with 0']
        for program in programs:
            program.expected_end = True
            program.send(signal.SIGTERM)
            code = await program.wait(TERMINATE_SECONDS)
            promise.note(code == 0, f'{program.name} exited with {code}')
            self._note(f'{program.name} has ended')
        if whole:
            await self._fleet.change_vm(vm, listed=False)
        await anyio.sleep(seconds)
        await self._restart(programs, vm, whole)

    async def _restart(
        self, programs: list[processes.Program], vm: str, whole: bool
    ) -> None:
        if whole:
            await self._fleet.change_vm(vm, listed=True)
        for program in programs:
            program.start()
        self._note(f'{vm} is back')

    async def _switch(self, fault: plan.Fault) -> None:
        url = f'http://{self._fleet.standin_addresses()[fault.target]}'
        await self._set(url, fault.kind, fault.value)
        if fault.kind == 'leaving':
            await self._check_leaving(fault.target, url)
        if fault.for_seconds:
            left = fault.at_seconds + fault.for_seconds
            due = self._started + left
            await anyio.sleep(max(due - time.monotonic(), 0))
            await self._set(url, fault.kind, 0)
            self._note(f'{fault.target} {fault.kind} is over')

    async def _set(self, url: str, kind: str, value: float) -> None:
        for _ in range(20):
            try:
                response = await self._fleet.client.post(
                    f'{url}/faults', json={kind: value}
                )
                response.raise_for_status()
                return
            except httpx.TransportError:
                # It is away itself just now.
                await anyio.sleep(0.5)

    async def _check_leaving(self, name: str, url: str) -> None:
        """Count the work that a leaving server was still offered."""
        await anyio.sleep(LEAVING_SECONDS)
        counts = []
        for _ in range(2):
            try:
                response = await self._fleet.client.get(f'{url}/runs')
                counts.append(response.json()['refused'])
            except (httpx.HTTPError, KeyError):
                return
            await anyio.sleep(2.0)
        self._recorder.promises['no new work to a leaving server'].note(
            counts[0] == counts[1],
            f'{name} was offered {counts[1] - counts[0]} requests',
        )
