"""The processes of a run, before stand-ins and behind disturbed links."""

import os
import pathlib
import random
import signal
import subprocess
import sys
import tomllib

import anyio
import anyio.abc

from soak import links
from swiftjunction import standins
from swiftjunction import web

ROOT = pathlib.Path(__file__).parents[1]
HOST = 'callers.example'
MODEL = 'model-a'
PLAIN = 'plain'
ENGINES = 'engines'
FRONT_PORT = 8161
READINESS_PORT = 8167
DIRECTORY_PORT = 8164
PEER_PORT = 7720
GRACE_SECONDS = 4
MAX_EXIT_SECONDS = GRACE_SECONDS + 2.0
EVENT_SECONDS = 0.03
CONFIG_BOUND_SECONDS = 2.0
RECOVERY_SECONDS = 5.0


def make_config(version: int) -> dict[str, object]:
    """Return a configuration; each has a route that no other one has."""

    def route(prefix: str, kind: str, service: str, **more: object) -> object:
        return {
            'name': prefix.strip('/'),
            'host': HOST,
            'path_prefix': prefix,
            'kind': kind,
            'timeout_ms': 1500,
            'slo_ms': 200,
            'service': service,
            'max_attempts': 3,
            **more,
        }

    return {
        'version': version,
        'routes': [
            route('/plain/', 'safe', PLAIN),
            route('/once/', 'unsafe', PLAIN),
            route(f'/v{version}/', 'safe', PLAIN),
            route('/streams/', 'streaming', ENGINES, resumable=True),
            route('/samples/', 'rollout', ENGINES, due_ms=8000, max_age_s=60),
        ],
        'services': [],
        'limits': {'idle_timeout_ms': 15000, 'max_body_bytes': 1 << 20},
    }


class Vm:
    """One VM: its settings file, its link to the store and its process.

    Attributes
    ----------
    lives : int
        How often its process was started.
    ends_expected : bool
        Whether the run itself ended the process.
    """

    def __init__(
        self, network: int, number: int, folder: pathlib.Path, store: str
    ) -> None:
        self.name = f'vm-{number}'
        # Each VM has an address of its own on the loopback network.
        self.ip = f'127.{network}.0.{number}'
        self.store_link = links.Link(store)
        self.process: subprocess.Popen[bytes] | None = None
        self.lives = 0
        self.ends_expected = False
        self._folder = folder
        self._settings = folder / f'{self.name}.conf'

    @property
    def front(self) -> str:
        """Return the address for callers."""
        return f'{self.ip}:{FRONT_PORT}'

    def write_settings(self) -> None:
        """Write the settings file, as the platform does."""
        lines = [
            f'node_name={self.name}',
            f'ip={self.ip}',
            f'zone=dc-{int(self.name[-1]) % 2}',
            'region=r-1',
            f'bind.front={self.front}',
            f'bind.readiness={self.ip}:{READINESS_PORT}',
            f'bind.directory={self.ip}:{DIRECTORY_PORT}',
            f'port_range={PEER_PORT},{PEER_PORT + 15}',
            f'provider.address={self.store_link.address}',
            f'bounds.grace_s={GRACE_SECONDS}',
            'bounds.require_fencing=true',
        ]
        self._settings.write_text('\n'.join(lines) + '\n')

    def start(self) -> None:
        """Start the process that ``deploy/system.toml`` names."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        _, *arguments = deploy['roles']['edge']['run'].split(' ')
        self.lives += 1
        self.ends_expected = False
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(ROOT / 'src'),
                    'SWIFTJUNCTION_NODE_FILE': str(self._settings),
                },
            )

    def signal(self, number: int) -> None:
        """Send a signal to this very process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.ends_expected = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_serving(self) -> bool:
        """Tell whether the process has begun to serve."""
        try:
            stream = await anyio.connect_tcp(self.ip, READINESS_PORT)
        except OSError:
            return False
        await stream.aclose()
        return True

    async def terminate(self) -> int | None:
        """Stop it gracefully; return its exit code, None if it hangs."""
        assert self.process is not None
        self.ends_expected = True
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(MAX_EXIT_SECONDS):
            while self.process.poll() is None:
                await anyio.sleep(0.02)
            return self.process.returncode
        return None


class World:
    """All VMs, servers and the store.

    Parameters
    ----------
    folder : Path
        For settings and logs.
    vms : int
        How many VMs there are.
    network : int
        Of their addresses on the loopback network, 1 to 250, so that several
        runs can go on at once.
    rng : random.Random
        Draws what is left open.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        vms: int,
        network: int,
        rng: random.Random,
    ) -> None:
        self.rng = rng
        self.store = standins.PlatformStoreStandin()
        self.plain = {
            name: standins.PlatformServiceStandin(name)
            for name in ('p1', 'p2', 'p3')
        }
        self.engines = {
            name: standins.PlatformEngineStandin(
                name, {MODEL: 1}, EVENT_SECONDS
            )
            for name in ('e1', 'e2', 'e3')
        }
        self.links: dict[str, links.Link] = {}
        self.config_version = 1
        self.config_written_at = 0.0
        # Until when some fault lasts, on the event loop's clock.
        self.disturbed_until = 0.0
        self._listener = web.open_listener('127.0.0.1', 0)
        self.vms = [
            Vm(network, number, folder, self._listener.address)
            for number in range(1, vms + 1)
        ]

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start everything."""
        tasks.start_soon(standins.serve, self._listener, self.store)
        self.write_config(1)
        for name, server in {**self.plain, **self.engines}.items():
            listener = web.open_listener('127.0.0.1', 0)
            tasks.start_soon(standins.serve, listener, server)
            self.links[name] = links.Link(listener.address)
            tasks.start_soon(self.links[name].run)
            self.enter_server(name)
        for vm in self.vms:
            tasks.start_soon(vm.store_link.run)
            vm.write_settings()
            vm.start()

    def write_config(self, version: int) -> None:
        """Put a configuration on the store, as the operator does."""
        self.store.put('config', 'main', make_config(version))
        self.config_version = version
        self.config_written_at = anyio.current_time()

    def name_version(self, version: int) -> None:
        """Name a weight version, as the trainer does."""
        self.store.put('versions', MODEL, {'model': MODEL, 'version': version})

    def enter_server(self, name: str, state: str = 'ready') -> None:
        """Write the entry of a server, as the server itself does."""
        entry: dict[str, object] = {
            'service': PLAIN,
            'address': self.links[name].address,
            'zone': 'dc-0',
            'version': 'v1',
            'capacity': 8,
            'state': state,
            'cold_left_ms': 0,
            'sequence': 1,
        }
        if name in self.engines:
            versions = self.engines[name].versions
            entry['service'] = ENGINES
            entry['models'] = [
                {'name': model, 'version': version, 'adapters': []}
                for model, version in versions.items()
            ]
        self.store.put('servers', name, entry)

    def is_config_due(self) -> bool:
        """Tell whether the newest configuration must be in force by now.

        Only where nothing was disturbed since it was written, nor in the
        recovery time before.
        """
        now = anyio.current_time()
        return (
            now - self.config_written_at > CONFIG_BOUND_SECONDS
            and self.config_written_at - self.disturbed_until
            > RECOVERY_SECONDS
        )

    def stop(self) -> None:
        """End all processes that this run started."""
        for vm in self.vms:
            vm.signal(signal.SIGCONT)
            vm.kill()
