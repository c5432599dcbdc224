"""The deployment of a run: VM processes, stand-ins and proxied links."""

import collections.abc
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import sysconfig
import tomllib

import anyio
import anyio.abc

from soak import configs
from soak import edge
from soak import links
from swiftjunction import standins
from swiftjunction import web

ROOT = pathlib.Path(__file__).parents[1]
# The roles run without site-packages (-S), so its folder is passed on.
MODULE_PATH = os.pathsep.join(
    [str(ROOT / 'src'), str(ROOT), sysconfig.get_path('purelib')]
)
HOST = configs.HOST
MODEL = configs.MODEL
PLAIN_SERVICE = configs.PLAIN_SERVICE
ENGINE_SERVICE = configs.ENGINE_SERVICE
# Software versions of the engines, which serve side by side.
ENGINE_SOFTWARE = {'e1': 'v1', 'e2': 'v1', 'e3': 'v2', 'e4': 'v2'}
REQUEST_DEADLINE_MS = 2000
FRONT_PORT = 8161
READINESS_PORT = 8167
DIRECTORY_PORT = 8164
PEER_PORT = 7720
SHUTDOWN_GRACE_SECONDS = 4
SHUTDOWN_TIMEOUT_SECONDS = SHUTDOWN_GRACE_SECONDS + 2.0
EVENT_INTERVAL_SECONDS = 0.03
CONFIG_PROPAGATION_SECONDS = 2.0
FAULT_RECOVERY_SECONDS = 5.0
# How long a server is down after the request that crashes servers.
CRASH_SECONDS = 1.0
CRASH_CHECK_SECONDS = 0.05


def make_headers(request_id: str) -> dict[str, str]:
    """Return the headers of a request from a caller."""
    return {
        'host': HOST,
        'swiftjunction-attempt-id': request_id,
        'swiftjunction-deadline-ms': str(REQUEST_DEADLINE_MS),
        'swiftjunction-model': MODEL,
    }


class SoakVm:
    """A VM: its settings file, its link to the store and its process.

    Parameters
    ----------
    network : int
        Second byte of the loopback address, 1 to 250.
    number : int
        Number of the VM, from 1.
    folder : Path
        Folder for the settings file and the log.
    store : str
        Address of the store as ``ip:port``.
    settings : sequence of str
        Further lines of the settings file.

    Attributes
    ----------
    store_link : LinkProxy
        Link to the store.
    start_count : int
        Number of times that the process was started.
    freeze_count : int
        Number of times that the process was frozen.
    ends_expected : bool
        Whether the run ended the process on purpose.
    """

    def __init__(
        self,
        network: int,
        number: int,
        folder: pathlib.Path,
        store: str,
        settings: collections.abc.Sequence[str] = (),
    ) -> None:
        self._extra_settings = settings
        self.name = f'vm-{number}'
        # Each VM has its own loopback address, because the ports are fixed.
        self.ip = f'127.{network}.0.{number}'
        self.store_link = links.LinkProxy(store)
        self.process: subprocess.Popen[bytes] | None = None
        self.start_count = 0
        self.freeze_count = 0
        self.ends_expected = False
        self._folder = folder
        self._settings = folder / f'{self.name}.conf'
        self._cut = folder / f'{self.name}.cut'

    @property
    def front_address(self) -> str:
        """Return the address that callers use."""
        return f'{self.ip}:{FRONT_PORT}'

    def write_settings(self) -> None:
        """Write the settings file, as the platform does."""
        lines = [
            f'node_name={self.name}',
            f'ip={self.ip}',
            f'zone=dc-{int(self.name[-1]) % 2}',
            'region=r-1',
            f'bind.front={self.front_address}',
            f'bind.readiness={self.ip}:{READINESS_PORT}',
            f'bind.directory={self.ip}:{DIRECTORY_PORT}',
            f'port_range={PEER_PORT},{PEER_PORT + 15}',
            f'provider.address={self.store_link.address}',
            f'bounds.grace_s={SHUTDOWN_GRACE_SECONDS}',
            'bounds.require_fencing=true',
            *self._extra_settings,
        ]
        self._settings.write_text('\n'.join(lines) + '\n')

    def start(self) -> None:
        """Start the process of the role ``edge`` in ``deploy/system.toml``."""
        deployment = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        _, *arguments = deployment['roles']['edge']['run'].split(' ')
        arguments[arguments.index(edge.EDGE_SCRIPT)] = edge.__file__
        self.start_count += 1
        self.ends_expected = False
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': MODULE_PATH,
                    'SWIFTJUNCTION_NODE_FILE': str(self._settings),
                    edge.CUT_FILE_VARIABLE: str(self._cut),
                },
            )

    def cut_off(self, addresses: list[str], refuses: bool) -> None:
        """Cut new connections to servers until :meth:`reconnect`."""
        content = json.dumps({'addresses': addresses, 'refuses': refuses})
        # Written whole, as the process reads it at any time.
        draft = self._cut.with_suffix('.draft')
        draft.write_text(content)
        draft.replace(self._cut)

    def reconnect(self) -> None:
        """Let the VM reach the servers again."""
        self._cut.unlink(missing_ok=True)

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def freeze(self) -> None:
        """Stop the process until it gets SIGCONT."""
        self.freeze_count += 1
        self.signal(signal.SIGSTOP)

    @property
    def epoch(self) -> tuple[int, int]:
        """Return a value that changes at each start and each freeze."""
        return self.start_count, self.freeze_count

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        self.ends_expected = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_serving(self) -> bool:
        """Tell whether the process accepts connections."""
        try:
            stream = await anyio.connect_tcp(self.ip, READINESS_PORT)
        except OSError:
            return False
        await stream.aclose()
        return True

    async def terminate(self) -> int | None:
        """Stop the process gracefully.

        Returns
        -------
        int or None
            Exit code, or None if the process does not end in time.
        """
        assert self.process is not None
        self.ends_expected = True
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(SHUTDOWN_TIMEOUT_SECONDS):
            while self.process.poll() is None:
                await anyio.sleep(0.02)
            return self.process.returncode
        return None


class SoakDeployment:
    """All VMs, backend servers and the store.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    vms : int
        Number of VMs.
    network : int
        Second byte of the loopback addresses, 1 to 250. Runs with different
        values do not share addresses and can run at the same time.
    rng : random.Random
        Source of randomness.
    settings : sequence of str
        Further lines of the settings of each VM.
    list_organisations : callable, optional
        Called for each new configuration; returns the organisations that it
        lists.

    Attributes
    ----------
    plain, engines, servers : dict
        Backend servers by name.
    links : dict of str to LinkProxy
        Links to the backend servers by their name.
    config_written_at : float
        Time of the last change of the configuration.
    faults_end_at : float
        Time until which a fault may be active. Both times are on the clock of
        the event loop in seconds.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        vms: int,
        network: int,
        rng: random.Random,
        settings: collections.abc.Sequence[str] = (),
        list_organisations: collections.abc.Callable[[], object] | None = None,
    ) -> None:
        self.rng = rng
        self._list_organisations = list_organisations
        self.store = standins.PlatformStoreStandin()
        self.plain = {
            name: standins.PlatformServiceStandin(name)
            for name in ('p1', 'p2', 'p3')
        }
        self.engines = {
            name: standins.PlatformEngineStandin(
                name, {MODEL: 1}, EVENT_INTERVAL_SECONDS, software
            )
            for name, software in ENGINE_SOFTWARE.items()
        }
        for engine in self.engines.values():
            engine.varies_streams = True
        self.servers: dict[
            str,
            standins.PlatformServiceStandin | standins.PlatformEngineStandin,
        ] = {**self.plain, **self.engines}
        self.links: dict[str, links.LinkProxy] = {}
        self._poison_runs = dict.fromkeys(self.servers, 0)
        self.config_version = 1
        self.config_written_at = 0.0
        self.faults_end_at = 0.0
        self._listener = web.open_listener('127.0.0.1', 0)
        self.vms = [
            SoakVm(network, number, folder, self._listener.address, settings)
            for number in range(1, vms + 1)
        ]

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the store, the backend servers and the VMs."""
        tasks.start_soon(standins.serve, self._listener, self.store)
        self.write_config(1)
        for name, server in self.servers.items():
            listener = web.open_listener('127.0.0.1', 0)
            tasks.start_soon(standins.serve, listener, server)
            self.links[name] = links.LinkProxy(listener.address)
            tasks.start_soon(self.links[name].run)
            self.register_server(name)
            server.faults.set('poison', CRASH_SECONDS)
            tasks.start_soon(self.restart_crashed, name)
        for vm in self.vms:
            tasks.start_soon(vm.store_link.run)
            vm.write_settings()
            vm.start()

    def write_config(self, version: int) -> None:
        """Write a configuration to the store, as the operator does."""
        config = configs.make_config(version)
        if self._list_organisations is not None:
            config['tenants'] = self._list_organisations()
        self.store.put('config', 'main', config)
        self.config_version = version
        self.config_written_at = anyio.current_time()

    def set_target_version(self, version: int) -> None:
        """Set the target version of the weights, as the trainer does."""
        self.store.put('versions', MODEL, {'model': MODEL, 'version': version})

    async def restart_crashed(self, name: str) -> None:
        """Start a server anew each time that a request has crashed it."""
        server = self.servers[name]
        while True:
            await anyio.sleep(CRASH_CHECK_SECONDS)
            runs = server.poison_runs
            if runs > self._poison_runs[name]:
                self._poison_runs[name] = runs
                await anyio.sleep(CRASH_SECONDS)
                self.restart_server(name)

    def count_poison_runs(self) -> int:
        """Return how often the request that crashes servers ran."""
        return sum(server.poison_runs for server in self.servers.values())

    def register_server(self, name: str, state: str = 'ready') -> None:
        """Write the registration of a server, as the server itself does."""
        registration: dict[str, object] = {
            'service': PLAIN_SERVICE,
            'address': self.links[name].address,
            'zone': 'dc-0',
            'version': self.servers[name].software,
            'capacity': 8,
            'state': state,
            'cold_left_ms': 0,
            'sequence': 1,
            'born': self.servers[name].server_runs.count,
        }
        if name in self.engines:
            versions = self.engines[name].versions
            registration['service'] = ENGINE_SERVICE
            registration['models'] = [
                {'name': model, 'version': version, 'adapters': []}
                for model, version in versions.items()
            ]
        self.store.put('servers', self.servers[name].name, registration)

    def unregister_server(self, name: str) -> None:
        """Remove the registration of a server."""
        self.store.remove('servers', self.servers[name].name)

    def replace_engine(self, name: str) -> None:
        """Register an engine of the other software, with an id of its own."""
        engine = self.engines[name]
        versions = sorted(set(ENGINE_SOFTWARE.values()) - {engine.software})
        engine.software = versions[0]
        engine.name = f'{name}-{engine.server_runs.count + 1}'
        self.restart_server(name)

    def restart_server(self, name: str) -> None:
        """Register the next run of a server, which is not leaving."""
        self.servers[name].faults.set('leaving', 0)
        self.servers[name].faults.set('limit', 0)
        self.servers[name].server_runs.count += 1
        self.register_server(name)

    def is_config_due(self) -> bool:
        """Tell whether all VMs must have applied the newest configuration.

        True if it was written more than CONFIG_PROPAGATION_SECONDS ago and
        more than FAULT_RECOVERY_SECONDS after the end of the last fault.
        """
        now = anyio.current_time()
        return (
            now - self.config_written_at > CONFIG_PROPAGATION_SECONDS
            and self.config_written_at - self.faults_end_at
            > FAULT_RECOVERY_SECONDS
        )

    def stop(self) -> None:
        """Kill all processes that this run started."""
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
            vm.kill()
