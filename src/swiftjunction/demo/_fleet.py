"""A small deployment of stand-ins and daemons as tasks of one process."""

import collections.abc
import contextlib
import random
import typing

import anyio
import anyio.abc
import msgspec

from swiftjunction import configuration
from swiftjunction import daemons
from swiftjunction import objectstore
from swiftjunction import settings
from swiftjunction import standins
from swiftjunction import web

LOOPBACK = '127.0.0.1'
READY_TIMEOUT_SECONDS = 20.0
# Longer than any run of a fleet, so that a crash is permanent.
CRASH_DURATION_SECONDS = 86400.0


class FleetOptions(msgspec.Struct, frozen=True):
    """Size and settings of a fleet.

    Attributes
    ----------
    vms, engines, services, scorers : int
        Number of VMs, engines, servers of `service` and scorers.
    data_centers : int
        Number of data centres over which they are spread.
    model : str
        Model that the engines serve.
    service : str
        Name of the plain service.
    address_lifetime_seconds : float
        How long callers may use a list of entry addresses before they ask
        again.
    spool_folder : str
        Parent folder of the spools, one for each VM; if empty, no spool
        daemons run.
    checks_fencing : bool
        Whether engines refuse orders with an outdated fencing token.
    """

    vms: int = 2
    engines: int = 5
    services: int = 4
    scorers: int = 1
    data_centers: int = 2
    model: str = 'fit'
    service: str = 'ledger'
    address_lifetime_seconds: float = 2.0
    spool_folder: str = ''
    checks_fencing: bool = True


class Fleet:
    """A deployment in one process that communicates over loopback sockets.

    Attributes
    ----------
    engines, services, scorers : dict
        Stand-ins by name.
    entries, rollouts, conductors : dict
        Daemons by name of their VM.
    """

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        self.objects = standins.ObjectStoreStandin()
        self.vms = standins.VmListStandin()
        self.weights = standins.WeightStoreStandin()
        self.engines: dict[str, standins.EngineStandin] = {}
        self.services: dict[str, standins.ServiceStandin] = {}
        self.scorers: dict[str, standins.ServiceStandin] = {}
        self.entries: dict[str, daemons.EntryDaemon] = {}
        self.rollouts: dict[str, daemons.RolloutDaemon] = {}
        self.conductors: dict[str, daemons.ConductorDaemon] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._addresses: dict[str, str] = {}

    @contextlib.asynccontextmanager
    async def run(self) -> collections.abc.AsyncIterator['Fleet']:
        """Run the fleet for the duration of the ``with`` block."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._start_platform()
            self._start_backends()
            async with anyio.create_task_group() as daemon_tasks:
                self._tasks = daemon_tasks
                for number in range(self.options.vms):
                    self.start_vm(number)
                yield self
                daemon_tasks.cancel_scope.cancel()
            # Stand-ins are stopped after the daemons, when their connections
            # are idle.
            tasks.cancel_scope.cancel()

    def list_entry_addresses(self) -> list[str]:
        """Return ``ip:port`` of each entry, as callers' seeds."""
        return [e.listener.address for e in self.entries.values()]

    def list_rollout_addresses(self) -> list[str]:
        """Return ``ip:port`` of each rollout process, as trainers' seeds."""
        return [r.listener.address for r in self.rollouts.values()]

    def create_store_client(self) -> objectstore.HttpObjectStore:
        """Return a new client of the object API stand-in."""
        return objectstore.HttpObjectStore(
            web.create_client(f'http://{self._addresses["objects"]}')
        )

    def build_default_paths(self) -> dict[str, configuration.PathSettings]:
        """Return the default path settings of the team ``demo``."""
        return {
            'demo': configuration.PathSettings(
                freshness_versions=1, timeout_seconds=20.0
            ),
            'demo/advice': configuration.PathSettings(
                model=self.options.model
            ),
            'demo/ledger': configuration.PathSettings(
                service=self.options.service
            ),
            'demo/scorer': configuration.PathSettings(
                service='scorer', request_class='internal'
            ),
        }

    async def configure(
        self, paths: dict[str, configuration.PathSettings] | None = None
    ) -> int:
        """Store path settings of the team ``demo``; return their version."""
        editor = configuration.Editor(self.create_store_client())
        _, version = await editor.read('demo')
        return await editor.apply(
            'demo',
            paths or self.build_default_paths(),
            author='operator',
            version=version,
        )

    async def wait_ready(self, version: int = 1) -> None:
        """Wait until the daemons know all engines, servers and entries.

        Only entry and rollout daemons are checked. They must know every
        engine with weights of at least `version`; scorers are not awaited.

        Raises
        ------
        TimeoutError
            If it takes longer than READY_TIMEOUT_SECONDS.
        """
        with anyio.fail_after(READY_TIMEOUT_SECONDS):
            for daemon in [*self.entries.values(), *self.rollouts.values()]:
                while not self._is_ready(daemon, version):
                    await anyio.sleep(0.05)

    def _is_ready(self, daemon: daemons.Daemon, version: int) -> bool:
        updated_engines = [
            server
            for server in daemon.directory.select(self.options.model)
            if server.weight_version >= version
        ]
        services = list(daemon.directory.select(self.options.service))
        entries = list(daemon.processes.select('entry'))
        return (
            len(updated_engines) == len(self.engines)
            and len(services) == len(self.services)
            and len(entries) == len(self.entries)
        )

    def spawn(
        self,
        name: str,
        task: collections.abc.Callable[
            ..., collections.abc.Coroutine[typing.Any, typing.Any, None]
        ],
        *args: object,
    ) -> None:
        """Run `task` in a cancel scope, stored in `scopes` under `name`."""
        scope = anyio.CancelScope()
        self.scopes[name] = scope

        async def run() -> None:
            with scope:
                await task(*args)

        assert self._tasks is not None, 'the fleet is not running'
        self._tasks.start_soon(run)

    def crash_engine(self, name: str) -> None:
        """Simulate a crash of an engine, which breaks its connections."""
        self.engines[name].faults.set('crashed', CRASH_DURATION_SECONDS)

    def _serve(self, name: str, standin: standins.Standin) -> str:
        listener = web.open_listener(LOOPBACK, 0)
        self._addresses[name] = listener.address
        self.spawn(name, standins.serve, listener, standin)
        return listener.address

    def _start_platform(self) -> None:
        self._serve('objects', self.objects)
        self._serve('vms', self.vms)
        self._serve('weights', self.weights)

    def _start_backends(self) -> None:
        weights = web.create_client(f'http://{self._addresses["weights"]}')
        for number in range(self.options.engines):
            name = f'engine-{number}'
            engine = standins.EngineStandin(
                name,
                self.options.model,
                weights,
                checks_fencing=self.options.checks_fencing,
            )
            engine.varies_streams = True
            self.engines[name] = engine
            self.spawn(f'{name} batch', engine.run)
            self._register_server(name, engine, self.options.model, number)
        for number in range(self.options.services):
            self._start_service(
                self.services, f'server-{number}', self.options.service, number
            )
        for number in range(self.options.scorers):
            self._start_service(
                self.scorers, f'scorer-{number}', 'scorer', number
            )

    def _start_service(
        self,
        servers: dict[str, standins.ServiceStandin],
        name: str,
        service: str,
        number: int,
    ) -> None:
        server = standins.ServiceStandin(name)
        servers[name] = server
        self._register_server(name, server, service, number)

    def _register_server(
        self,
        name: str,
        standin: standins.Standin,
        service: str,
        number: int,
    ) -> None:
        address = self._serve(name, standin)
        data_center = f'dc-{number % self.options.data_centers + 1}'
        self.vms.put(objectstore.Vm(name, address, service, data_center))

    def start_vm(self, number: int) -> None:
        """Start the daemons of the VM `number`."""
        config = self._build_settings(number)
        name = config.vm.name
        self.conductors[name] = daemons.ConductorDaemon(config, number)
        self.entries[name] = daemons.EntryDaemon(config, number)
        self.rollouts[name] = daemons.RolloutDaemon(config, number)
        self.vms.put(
            objectstore.Vm(
                name,
                config.format_link_address(config.conductor.link_port),
                'swiftjunction',
                config.vm.data_center,
            )
        )
        if config.spool is not None:
            self.spawn(f'{name}/spool', daemons.SpoolDaemon(config).run)
        self.spawn(f'{name}/conductor', self.conductors[name].run)
        self.spawn(f'{name}/entry', self.entries[name].run)
        self.spawn(f'{name}/rollout', self.rollouts[name].run)

    def _build_settings(self, number: int) -> settings.Settings:
        ports = standins.reserve_ports(7)
        spool = None
        if self.options.spool_folder:
            spool = settings.SpoolSettings(
                f'{self.options.spool_folder}/{number}', ports[6]
            )
        return settings.Settings(
            vm=settings.VmSettings(
                f'entry-{number}',
                LOOPBACK,
                f'dc-{number % self.options.data_centers + 1}',
                'loopback',
            ),
            platform=settings.PlatformSettings(
                **{
                    name: f'http://{self._addresses[name]}'
                    for name in ('objects', 'vms', 'weights')
                }
            ),
            entry=settings.EntrySettings(
                ports[0], ports[1], self.options.address_lifetime_seconds
            ),
            rollout=settings.RolloutSettings(ports[2], ports[3]),
            conductor=settings.ConductorSettings(ports[4], ports[5]),
            spool=spool,
        )


def generate_prompt(rng: random.Random, kind: str) -> str:
    """Return a random prompt that starts with `kind`."""
    size = rng.choice(['s', 'm', 'l', 'xl'])
    return f'{kind}: which size fits, {size}, order {rng.randrange(10**9)}?'
