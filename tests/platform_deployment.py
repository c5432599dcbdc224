"""A deployment of edge VMs and stand-ins in one process, for tests."""

import base64
import contextlib
import json
import socket

import anyio
import httpx

from swiftjunction.platform import _program
from swiftjunction import standins
from swiftjunction.standins import _ports
from swiftjunction import web

HOST = 'callers.example'
SERVICE = 'plain'
ENGINES = 'engines'
MODEL = 'model-a'


def make_config(version=1, **timeouts):
    """Return a configuration with plain, streaming and batch routes."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'plain',
                'host': HOST,
                'path_prefix': '/plain/',
                'kind': 'safe',
                'timeout_ms': timeouts.get('timeout_ms', 1500),
                'slo_ms': 200,
                'priority': 2,
                'service': SERVICE,
                'max_attempts': 4,
            },
            {
                'name': 'once',
                'host': HOST,
                'path_prefix': '/once/',
                'kind': 'unsafe',
                'timeout_ms': 1500,
                'service': SERVICE,
                'max_attempts': 3,
            },
            {
                'name': 'streams',
                'host': HOST,
                'path_prefix': '/streams/',
                'kind': 'streaming',
                'timeout_ms': 3000,
                'service': ENGINES,
                'max_attempts': 2,
                'resumable': True,
            },
            {
                'name': 'streams-once',
                'host': HOST,
                'path_prefix': '/streams-once/',
                'kind': 'streaming',
                'timeout_ms': 3000,
                'service': ENGINES,
                'max_attempts': 2,
            },
            {
                'name': 'samples',
                'host': HOST,
                'path_prefix': '/samples/',
                'kind': 'rollout',
                'service': ENGINES,
                'max_attempts': 3,
                'due_ms': 7500,
                'max_age_s': 40,
            },
        ],
        'services': [],
        'limits': {'idle_timeout_ms': 15000, 'max_body_bytes': 1 << 20},
    }


def make_batch(groups=2, size=2, min_version=1, **options):
    """Return a batch submission whose item ids start with ``prefix``."""
    prefix = options.get('prefix', 'a')
    return {
        'step': 0,
        'model': MODEL,
        'min_version': min_version,
        'target_groups': groups,
        'items': [
            {
                'id': f'{prefix}{group}.{index}',
                'path': f'/samples/{group}/{index}?q=1',
                'headers': {'Swiftjunction-Model': MODEL},
                'body': base64.b64encode(b'prompt').decode(),
                'tokens': 100,
                'group': f'{prefix}{group}',
                'scorer': {
                    'id': f'score-{prefix}{group}.{index}',
                    'host': HOST,
                    'path': '/plain/score',
                    'body': base64.b64encode(b'text').decode(),
                },
            }
            for group in range(groups)
            for index in range(size)
        ],
    }


# Hold the ports for tunnels until the process ends.
_tunnel_ports = []


def reserve_peer_port():
    """Return a free port whose next one is free as well, for tunnels."""
    while True:
        (port,) = standins.reserve_ports(1)
        with socket.socket() as probe:
            try:
                # Fails if any test holds it, unlike with SO_REUSEADDR.
                probe.bind(('127.0.0.1', port + 1))
            except (OSError, OverflowError):
                continue
        _tunnel_ports.append(_ports.hold_port('127.0.0.1', port + 1))
        return port


class PlatformDeployment:
    """A store, two plain servers, two engines and some VMs.

    Attributes
    ----------
    store : PlatformStoreStandin
        Stand-in for the platform's store.
    plain, engines : dict
        Stand-ins for the servers, by name.
    duty_api : DutyApiStandin
        Stand-in for the platform's API for duties.
    vm_ip : str
        The address of all VMs.

    Parameters
    ----------
    settings : sequence of str
        Further lines of the settings file of each VM, in which
        ``{duty_api}`` stands for the address of that API.
    config : dict, optional
        The first configuration.
    """

    def __init__(self, folder, vm_ip='127.0.0.1', settings=(), config=None):
        self.vm_ip = vm_ip
        self._extra_settings = settings
        self._config = config or make_config()
        self.duty_api = standins.DutyApiStandin()
        self._folder = folder
        self._tasks = None
        self._clients = contextlib.AsyncExitStack()
        self.store = standins.PlatformStoreStandin()
        self.plain = {
            name: standins.PlatformServiceStandin(name)
            for name in ('p1', 'p2')
        }
        self.engines = {
            name: standins.PlatformEngineStandin(name, {MODEL: 1})
            for name in ('e1', 'e2')
        }
        self.programs = {}
        self.ports = {}
        self.addresses = {}
        self.scopes = {}

    @contextlib.asynccontextmanager
    async def run(self, vms=('vm-1',)):
        """Run the deployment for the duration of the context."""
        async with self._clients, anyio.create_task_group() as tasks:
            self._tasks = tasks
            listener = web.open_listener('127.0.0.1', 0)
            self.store_address = listener.address
            tasks.start_soon(standins.serve, listener, self.store)
            duty_listener = web.open_listener('127.0.0.1', 0)
            self.duty_address = duty_listener.address
            tasks.start_soon(standins.serve, duty_listener, self.duty_api)
            self.store.put('config', 'main', self._config)
            for name, server in [*self.plain.items(), *self.engines.items()]:
                self.start_server(name, server)
            for name in vms:
                self.start_vm(name)
            for name in vms:
                await self.wait_until_ready(name)
            yield self
            tasks.cancel_scope.cancel()

    def get_ip(self, name):
        """Return the address of a VM."""
        return self.vm_ip

    def start_server(self, name, server):
        """Serve a stand-in and register it in the store."""
        listener = web.open_listener('127.0.0.1', 0)
        self.addresses[name] = listener.address
        self._tasks.start_soon(standins.serve, listener, server)
        self.register_server(name, server)

    def register_server(self, name, server, **changes):
        """Write a server's object to the store, as the server itself does."""
        server_object = {
            'service': SERVICE,
            'address': self.addresses[name],
            'zone': 'dc-1',
            'version': server.software,
            'capacity': 4,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': 1,
            'born': 1,
        }
        if isinstance(server, standins.PlatformEngineStandin):
            server_object['service'] = ENGINES
            server_object['models'] = [
                {'name': model, 'version': version, 'adapters': []}
                for model, version in server.versions.items()
            ]
        self.store.put('servers', name, {**server_object, **changes})

    def write_settings(self, name):
        """Write the settings file of a VM, as the platform does."""
        names = ('front', 'readiness', 'directory')
        reserved = standins.reserve_ports(len(names))
        ports = dict(zip(names, reserved, strict=True))
        ports['peer'] = reserve_peer_port()
        self.ports[name] = ports
        path = self._folder / f'{name}.conf'
        ip = self.get_ip(name)
        lines = [
            f'node_name={name}',
            f'ip={ip}',
            'zone=dc-1',
            'region=r-1',
            f'bind.front={ip}:{ports["front"]}',
            f'bind.readiness={ip}:{ports["readiness"]}',
            f'bind.directory={ip}:{ports["directory"]}',
            f'port_range={ports["peer"]},{ports["peer"] + 1}',
            f'provider.address={self.store_address}',
            'bounds.grace_s=3',
            'bounds.require_fencing=true',
            *(
                line.format(duty_api=self.duty_address)
                for line in self._extra_settings
            ),
        ]
        path.write_text('\n'.join(lines) + '\n')
        return path

    def start_vm(self, name):
        """Run the edge program of a VM in tasks of this process."""
        path = self.write_settings(name)
        program = _program.EdgeProgram(path, metrics_port=0)
        self.programs[name] = program
        scope = anyio.CancelScope()
        self.scopes[name] = scope
        self._tasks.start_soon(self._run_vm, program, scope)

    async def _run_vm(self, program, scope):
        with scope:
            await program.run()

    def kill_vm(self, name):
        """Cancel the edge program of a VM at once and close its sockets."""
        self.scopes[name].cancel()

    async def send_request(self, name, method, path, port='front', **options):
        """Send one request to a VM on a new connection."""
        headers = {'host': HOST, **options.pop('headers', {})}
        url = f'http://{self.get_ip(name)}:{self.ports[name][port]}{path}'
        async with httpx.AsyncClient(trust_env=False, timeout=5) as client:
            return await client.request(
                method, url, headers=headers, **options
            )

    async def wait_until_ready(self, name):
        """Wait until the readiness check of a VM succeeds."""
        with anyio.fail_after(10):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    response = await self.send_request(
                        name, 'GET', '/ready', port='readiness'
                    )
                    if response.status_code == 200:
                        return
                await anyio.sleep(0.05)

    async def submit(self, name, batch_id, batch, **options):
        """Submit a batch to a VM."""
        return await self.send_request(
            name,
            'POST',
            '/samples/new',
            content=json.dumps(batch).encode(),
            headers={'swiftjunction-attempt-id': batch_id},
            **options,
        )

    async def read_results(self, name, batch_id, after=0):
        """Read a page of results from a VM."""
        return await self.send_request(
            name,
            'GET',
            f'/lots/{batch_id}?after={after}',
            headers={'swiftjunction-wait-ms': '300'},
        )

    async def wait_for_results(self, name, batch_id, count, seconds=10):
        """Poll a batch until it has `count` results, and return them."""
        with anyio.fail_after(seconds):
            while True:
                response = await self.read_results(name, batch_id)
                if response.status_code == 200:
                    results = response.json()['results']
                    if len(results) >= count:
                        return results
                await anyio.sleep(0.05)
