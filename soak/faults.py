"""Random faults, injected from outside of the processes."""

import collections.abc
import random
import signal

import anyio
import anyio.abc

from soak import checks
from soak import links
from soak import testbed

MIN_FAULT_INTERVAL_SECONDS = 0.2
MAX_FAULT_INTERVAL_SECONDS = 2.5
RESTART_DELAY_SECONDS = 0.4
# The registration of a crashed server expires after this time.
REGISTRATION_EXPIRY_SECONDS = 1.5
# A server that leaves serves for longer than DRAIN_SECONDS.
LEAVE_SECONDS = checks.DRAIN_SECONDS + 4.0
SERVER_START_SECONDS = 0.3
# For how long a server names its limit.
LIMIT_SECONDS = checks.LIMIT_CONTACT_SECONDS + checks.LIMIT_WINDOW_SECONDS
LINK_MODES = (
    links.LinkMode.DELAYED,
    links.LinkMode.SILENT,
    links.LinkMode.ONE_WAY,
    links.LinkMode.REFUSING,
)

FaultAction = collections.abc.Callable[[], collections.abc.Awaitable[str]]


class FaultInjector:
    """Injects random faults into a deployment.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment to inject faults into.
    invariants : Invariants
        Records the checks of graceful shutdowns.
    rng : random.Random
        Source of randomness. A seed does not fix the sequence of faults, as
        the draws also depend on which VMs and servers are free.

    Attributes
    ----------
    log : list of str
        Injected faults with their times.
    """

    def __init__(
        self,
        deployment: testbed.SoakDeployment,
        invariants: checks.Invariants,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._invariants = invariants
        self._rng = rng
        self._busy: set[str] = set()
        self.log: list[str] = []
        self._faults: dict[str, FaultAction] = {
            'kill': self._kill,
            'kill all': self._kill_all,
            'freeze': self._freeze,
            'terminate': self._terminate,
            'hang up': self._rewrite_settings,
            'store link': self._impair_store_link,
            'server link': self._impair_server_link,
            'cut VMs off': self._cut_vms_off,
            'reset links': self._reset_links,
            'store': self._inject_store_fault,
            'history': self._compact_history,
            'crash server': self._crash_server,
            'drain server': self._drain_server,
            'leave unlisted': self._leave_unlisted,
            'limit server': self._limit_server,
            'release engine': self._release_engine,
            'bad answers': self._inject_response_fault,
            'bad orders': self._inject_order_fault,
        }

    async def run(self, seconds: float) -> None:
        """Start faults for `seconds`, then wait until all have ended."""
        ends_at = anyio.current_time() + seconds
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < ends_at:
                name = self._rng.choice(sorted(self._faults))
                tasks.start_soon(self._inject, name)
                await anyio.sleep(
                    self._rng.uniform(
                        MIN_FAULT_INTERVAL_SECONDS, MAX_FAULT_INTERVAL_SECONDS
                    )
                )

    async def _inject(self, name: str) -> None:
        started_at = anyio.current_time()
        self._deployment.faults_end_at = max(
            self._deployment.faults_end_at,
            started_at + MAX_FAULT_INTERVAL_SECONDS,
        )
        detail = await self._faults[name]()
        ended_at = anyio.current_time()
        self._deployment.faults_end_at = max(
            self._deployment.faults_end_at, ended_at
        )
        self.log.append(f'{started_at:.2f} to {ended_at:.2f} {name}: {detail}')

    def _select_vm(self) -> testbed.SoakVm | None:
        """Return a VM whose process no other fault affects, if any."""
        free_vms = [
            vm for vm in self._deployment.vms if vm.name not in self._busy
        ]
        return self._rng.choice(free_vms) if free_vms else None

    def _draw_seconds(self, max_seconds: float) -> float:
        return self._rng.uniform(0.2, max_seconds)

    async def _kill(self) -> str:
        vm = self._select_vm()
        if vm is None:
            return 'no VM is free'
        self._busy.add(vm.name)
        vm.kill()
        await anyio.sleep(self._draw_seconds(2.0))
        vm.start()
        self._busy.discard(vm.name)
        return vm.name

    async def _kill_all(self) -> str:
        free_vms = [
            vm for vm in self._deployment.vms if vm.name not in self._busy
        ]
        self._busy.update(vm.name for vm in free_vms)
        for vm in free_vms:
            vm.kill()
        await anyio.sleep(RESTART_DELAY_SECONDS)
        for vm in free_vms:
            vm.start()
            self._busy.discard(vm.name)
        return ', '.join(vm.name for vm in free_vms)

    async def _freeze(self) -> str:
        vm = self._select_vm()
        if vm is None:
            return 'no VM is free'
        self._busy.add(vm.name)
        vm.freeze()
        await anyio.sleep(self._draw_seconds(4.0))
        vm.signal(signal.SIGCONT)
        self._busy.discard(vm.name)
        return vm.name

    async def _terminate(self) -> str:
        vm = self._select_vm()
        if vm is None:
            return 'no VM is free'
        self._busy.add(vm.name)
        # A process that does not serve yet may end by the signal itself.
        allowed_codes = (0,) if await vm.is_serving() else (0, -signal.SIGTERM)
        exit_code = await vm.terminate()
        self._invariants.check(
            'a graceful shutdown exits with 0 in time',
            exit_code in allowed_codes,
            (vm.name, exit_code),
        )
        if exit_code is None:
            vm.kill()
        vm.start()
        self._busy.discard(vm.name)
        return f'{vm.name} ended with {exit_code}'

    async def _rewrite_settings(self) -> str:
        vm = self._rng.choice(self._deployment.vms)
        vm.write_settings()
        if self._rng.random() < 0.5:
            vm.signal(signal.SIGHUP)
        return vm.name

    async def _impair_store_link(self) -> str:
        vm = self._rng.choice(self._deployment.vms)
        mode = self._rng.choice(LINK_MODES)
        vm.store_link.mode = mode
        await anyio.sleep(self._draw_seconds(4.0))
        vm.store_link.mode = links.LinkMode.OPEN
        return f'{vm.name} {mode.value}'

    async def _impair_server_link(self) -> str:
        name = self._rng.choice(sorted(self._deployment.links))
        mode = self._rng.choice(LINK_MODES)
        self._deployment.links[name].mode = mode
        await anyio.sleep(self._draw_seconds(3.0))
        self._deployment.links[name].mode = links.LinkMode.OPEN
        return f'{name} {mode.value}'

    async def _cut_vms_off(self) -> str:
        """Cut some or all VMs off from all servers, or those of a service."""
        vms = self._rng.sample(
            self._deployment.vms,
            self._rng.randint(1, len(self._deployment.vms)),
        )
        names = self._rng.choice(
            [self._deployment.links, self._deployment.plain]
        )
        addresses = [self._deployment.links[name].address for name in names]
        refuses = self._rng.random() < 0.5
        for vm in vms:
            vm.cut_off(addresses, refuses)
        await anyio.sleep(self._draw_seconds(6.0))
        for vm in vms:
            vm.reconnect()
        return f'{len(vms)} VMs, {"refused" if refuses else "hanging"}'

    async def _reset_links(self) -> str:
        all_links = [
            *(vm.store_link for vm in self._deployment.vms),
            *self._deployment.links.values(),
        ]
        for link in self._rng.sample(all_links, len(all_links) // 2):
            link.reset()
        return f'{len(all_links) // 2} links'

    async def _inject_store_fault(self) -> str:
        fault, value, max_seconds = self._rng.choice(
            [
                ('down', 1.0, 4.0),
                ('slow', 0.3, 3.0),
                ('busy', 10.0, 0.3),
                ('many', 10.0, 0.3),
                ('lost', 3.0, 1.0),
                ('dropped', 3.0, 1.0),
            ]
        )
        self._deployment.store.faults.set(fault, value)
        await anyio.sleep(self._draw_seconds(max_seconds))
        self._deployment.store.faults.set(fault, 0.0)
        return fault

    async def _compact_history(self) -> str:
        self._deployment.store.compact_history()
        return ''

    async def _crash_server(self) -> str:
        name = self._rng.choice(sorted(self._deployment.links))
        if name in self._busy:
            return f'{name} is busy'
        self._busy.add(name)
        down_seconds = self._draw_seconds(3.0)
        self._deployment.servers[name].faults.set('crashed', down_seconds)
        await anyio.sleep(min(down_seconds, REGISTRATION_EXPIRY_SECONDS))
        if down_seconds > REGISTRATION_EXPIRY_SECONDS:
            self._deployment.unregister_server(name)
            await anyio.sleep(down_seconds - REGISTRATION_EXPIRY_SECONDS)
        self._deployment.restart_server(name)
        self._busy.discard(name)
        return f'{name} for {down_seconds:.2f} s'

    async def _drain_server(self) -> str:
        return await self._leave('draining')

    async def _leave_unlisted(self) -> str:
        """Let a server announce its leave only in its responses."""
        return await self._leave('ready')

    async def _leave(self, state: str) -> str:
        """Let a server leave, exit and start again.

        Parameters
        ----------
        state : str
            The state that is listed of it meanwhile.
        """
        name = self._rng.choice(sorted(self._deployment.links))
        if name in self._busy:
            return f'{name} is busy'
        self._busy.add(name)
        server = self._deployment.servers[name]
        server.faults.set('leaving', 1)
        self._deployment.register_server(name, state)
        await anyio.sleep(LEAVE_SECONDS)
        await self._stop_server(name)
        self._deployment.restart_server(name)
        self._busy.discard(name)
        return name

    async def _stop_server(self, name: str) -> None:
        """Let a server end, and wait until it may start again."""
        server = self._deployment.servers[name]
        server.faults.set('crashed', SERVER_START_SECONDS)
        self._deployment.unregister_server(name)
        await anyio.sleep(SERVER_START_SECONDS)

    async def _release_engine(self) -> str:
        """Drain an engine, and replace it by one of other software."""
        name = self._rng.choice(sorted(self._deployment.engines))
        if name in self._busy:
            return f'{name} is busy'
        self._busy.add(name)
        self._deployment.register_server(name, 'draining')
        await anyio.sleep(LEAVE_SECONDS)
        await self._stop_server(name)
        self._deployment.replace_engine(name)
        self._busy.discard(name)
        return f'{name} to {self._deployment.engines[name].software}'

    async def _limit_server(self) -> str:
        """Let a server name a request limit until it is restarted."""
        name = self._rng.choice(sorted(self._deployment.links))
        if name in self._busy:
            return f'{name} is busy'
        self._busy.add(name)
        limit = self._rng.choice([0.5, 1.0, 3.0])
        self._deployment.servers[name].faults.set('limit', limit)
        await anyio.sleep(LIMIT_SECONDS)
        self._deployment.servers[name].faults.set('limit', 0)
        await self._stop_server(name)
        self._deployment.restart_server(name)
        self._busy.discard(name)
        return f'{name} to {limit}'

    async def _inject_response_fault(self) -> str:
        name = self._rng.choice(sorted(self._deployment.links))
        if name in self._deployment.engines:
            fault = self._rng.choice(['cut', 'stall', 'shed', 'fail'])
            self._deployment.engines[name].faults.set(fault, 2.0)
        else:
            fault = self._rng.choice(
                ['silent', 'shed', 'fail', 'unsigned', 'foreign', 'unnamed']
            )
            self._deployment.plain[name].faults.set(fault, 3.0)
        return f'{name} {fault}'

    async def _inject_order_fault(self) -> str:
        name = self._rng.choice(sorted(self._deployment.engines))
        fault = self._rng.choice(['lost_orders', 'late_orders'])
        self._deployment.engines[name].faults.set(fault, 1.0)
        return f'{name} {fault}'
