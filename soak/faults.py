"""Random faults, from outside of the processes."""

import collections.abc
import random
import signal

import anyio
import anyio.abc

from soak import checks
from soak import links
from soak import world

MIN_GAP_SECONDS = 0.2
MAX_GAP_SECONDS = 2.5
RESTART_SECONDS = 0.4
# A server's entry lapses so long after it has crashed.
LAPSE_SECONDS = 1.5
DRAIN_SECONDS = 2.0
LINK_MODES = (
    links.Mode.DELAYED,
    links.Mode.SILENT,
    links.Mode.ONE_WAY,
    links.Mode.REFUSING,
)

Fault = collections.abc.Callable[[], collections.abc.Awaitable[str]]


class FaultInjector:
    """Disturbs a deployment for a while.

    Parameters
    ----------
    deployment : World
        What is disturbed.
    promises : Promises
        Checks how processes end.
    rng : random.Random
        Draws the faults: a seed gives the same faults in the same order.

    Attributes
    ----------
    log : list of str
        What was done, and when.
    """

    def __init__(
        self,
        deployment: world.World,
        promises: checks.Promises,
        rng: random.Random,
    ) -> None:
        self._world = deployment
        self._promises = promises
        self._rng = rng
        self._busy: set[str] = set()
        self.log: list[str] = []
        self._faults: dict[str, Fault] = {
            'kill': self._kill,
            'kill all': self._kill_all,
            'freeze': self._freeze,
            'terminate': self._terminate,
            'hang up': self._hang_up,
            'store link': self._disturb_store_link,
            'server link': self._disturb_server_link,
            'reset links': self._reset_links,
            'store': self._disturb_store,
            'history': self._forget_history,
            'crash server': self._crash_server,
            'drain server': self._drain_server,
            'bad answers': self._spoil_answers,
            'bad orders': self._spoil_orders,
        }

    async def run(self, seconds: float) -> None:
        """Begin faults for so long, and wait until all have ended."""
        ends_at = anyio.current_time() + seconds
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < ends_at:
                name = self._rng.choice(sorted(self._faults))
                tasks.start_soon(self._do, name)
                await anyio.sleep(
                    self._rng.uniform(MIN_GAP_SECONDS, MAX_GAP_SECONDS)
                )

    async def _do(self, name: str) -> None:
        began = anyio.current_time()
        self._world.disturbed_until = max(
            self._world.disturbed_until, began + MAX_GAP_SECONDS
        )
        what = await self._faults[name]()
        ended = anyio.current_time()
        self._world.disturbed_until = max(self._world.disturbed_until, ended)
        self.log.append(f'{began:.2f} to {ended:.2f} {name}: {what}')

    def _choose_vm(self) -> world.Vm | None:
        """Return a VM that no other fault of a process holds."""
        free = [vm for vm in self._world.vms if vm.name not in self._busy]
        return self._rng.choice(free) if free else None

    def _draw_seconds(self, most: float) -> float:
        return self._rng.uniform(0.2, most)

    async def _kill(self) -> str:
        vm = self._choose_vm()
        if vm is None:
            return 'no VM is free'
        self._busy.add(vm.name)
        vm.kill()
        await anyio.sleep(self._draw_seconds(2.0))
        vm.start()
        self._busy.discard(vm.name)
        return vm.name

    async def _kill_all(self) -> str:
        free = [vm for vm in self._world.vms if vm.name not in self._busy]
        self._busy.update(vm.name for vm in free)
        for vm in free:
            vm.kill()
        await anyio.sleep(RESTART_SECONDS)
        for vm in free:
            vm.start()
            self._busy.discard(vm.name)
        return ', '.join(vm.name for vm in free)

    async def _freeze(self) -> str:
        vm = self._choose_vm()
        if vm is None:
            return 'no VM is free'
        self._busy.add(vm.name)
        vm.signal(signal.SIGSTOP)
        await anyio.sleep(self._draw_seconds(4.0))
        vm.signal(signal.SIGCONT)
        self._busy.discard(vm.name)
        return vm.name

    async def _terminate(self) -> str:
        vm = self._choose_vm()
        if vm is None:
            return 'no VM is free'
        self._busy.add(vm.name)
        # One that still starts has nothing to end gracefully.
        allowed = (0,) if await vm.is_serving() else (0, -signal.SIGTERM)
        code = await vm.terminate()
        self._promises.check(
            'a graceful shutdown ends in time with 0',
            code in allowed,
            (vm.name, code),
        )
        if code is None:
            vm.kill()
        vm.start()
        self._busy.discard(vm.name)
        return f'{vm.name} ended with {code}'

    async def _hang_up(self) -> str:
        vm = self._rng.choice(self._world.vms)
        vm.write_settings()
        if self._rng.random() < 0.5:
            vm.signal(signal.SIGHUP)
        return vm.name

    async def _disturb_store_link(self) -> str:
        vm = self._rng.choice(self._world.vms)
        mode = self._rng.choice(LINK_MODES)
        vm.store_link.mode = mode
        await anyio.sleep(self._draw_seconds(4.0))
        vm.store_link.mode = links.Mode.OPEN
        return f'{vm.name} {mode.value}'

    async def _disturb_server_link(self) -> str:
        name = self._rng.choice(sorted(self._world.links))
        mode = self._rng.choice(LINK_MODES)
        self._world.links[name].mode = mode
        await anyio.sleep(self._draw_seconds(3.0))
        self._world.links[name].mode = links.Mode.OPEN
        return f'{name} {mode.value}'

    async def _reset_links(self) -> str:
        chosen = [
            *(vm.store_link for vm in self._world.vms),
            *self._world.links.values(),
        ]
        for link in self._rng.sample(chosen, len(chosen) // 2):
            link.reset()
        return f'{len(chosen) // 2} links'

    async def _disturb_store(self) -> str:
        fault, value, most = self._rng.choice(
            [
                ('down', 1.0, 4.0),
                ('slow', 0.3, 3.0),
                ('busy', 10.0, 0.3),
                ('many', 10.0, 0.3),
                ('lost', 3.0, 1.0),
                ('dropped', 3.0, 1.0),
            ]
        )
        self._world.store.faults.set(fault, value)
        await anyio.sleep(self._draw_seconds(most))
        self._world.store.faults.set(fault, 0.0)
        return fault

    async def _forget_history(self) -> str:
        self._world.store.compact_history()
        return ''

    async def _crash_server(self) -> str:
        name = self._rng.choice(sorted(self._world.links))
        if name in self._busy:
            return f'{name} is busy'
        self._busy.add(name)
        server = {**self._world.plain, **self._world.engines}[name]
        down_seconds = self._draw_seconds(3.0)
        server.faults.set('crashed', down_seconds)
        await anyio.sleep(min(down_seconds, LAPSE_SECONDS))
        if down_seconds > LAPSE_SECONDS:
            self._world.store.remove('servers', name)
            await anyio.sleep(down_seconds - LAPSE_SECONDS)
        self._world.enter_server(name)
        self._busy.discard(name)
        return f'{name} for {down_seconds:.2f} s'

    async def _drain_server(self) -> str:
        name = self._rng.choice(sorted(self._world.links))
        if name in self._busy:
            return f'{name} is busy'
        self._busy.add(name)
        self._world.enter_server(name, 'draining')
        await anyio.sleep(DRAIN_SECONDS)
        self._world.enter_server(name)
        self._busy.discard(name)
        return name

    async def _spoil_answers(self) -> str:
        name = self._rng.choice(sorted(self._world.links))
        if name in self._world.engines:
            fault = self._rng.choice(['cut', 'stall', 'shed', 'fail'])
            self._world.engines[name].faults.set(fault, 2.0)
        else:
            fault = self._rng.choice(
                ['silent', 'shed', 'fail', 'unsigned', 'foreign', 'unnamed']
            )
            self._world.plain[name].faults.set(fault, 3.0)
        return f'{name} {fault}'

    async def _spoil_orders(self) -> str:
        name = self._rng.choice(sorted(self._world.engines))
        fault = self._rng.choice(['lost_orders', 'late_orders'])
        self._world.engines[name].faults.set(fault, 1.0)
        return f'{name} {fault}'
