"""Processes of an own deployment before servers whose answers have no end.

Guards against the same as `test_endless_processes`: the conductor watches
engines and asks services for their health, and entries send them requests.
"""

import contextlib

import anyio
import httpx
import msgspec
import pytest

from bench import deployments
from bench import experiment_file
from bench import operators
from bench import results
from bench import versions
from swiftjunction import objectstore
from tests.cover import test_endless_processes
from tests import crowds

pytestmark = pytest.mark.anyio

MEMORY_MB = test_endless_processes.MEMORY_MB
SERVERS = 4
CALLERS = 20
READY_SECONDS = 20.0
SEED = 1
EXPERIMENT = experiment_file.Experiment('endless', 'association', vms=1)


class Scene:
    """The daemons of one VM, servers that work and faulty ones."""

    def __init__(self, folder, answer):
        start, make_parts = test_endless_processes.ANSWERS[answer]
        self.faulty = [
            test_endless_processes.FaultyServer(start, make_parts)
            for _ in range(2 * SERVERS)
        ]
        self.deployment = deployments.Deployment(EXPERIMENT, folder)
        self.daemons = {
            kind: self.deployment.programs[f'entry-1/{kind}']
            for kind in deployments.DAEMONS
        }

    @contextlib.asynccontextmanager
    async def run(self):
        operator = operators.OperatorWorkload(
            EXPERIMENT,
            self.deployment,
            results.Recorder(),
            versions.PublicationLog(),
            SEED,
        )
        try:
            await self.deployment.start()
            await operator.set_up()
            await self.wait_for_answer(operator.team)
            async with anyio.create_task_group() as tasks:
                for number, server in enumerate(self.faulty):
                    await tasks.start(server.run)
                    await self._list_vm(number, server)
                yield operator.team
                tasks.cancel_scope.cancel()
        finally:
            self.deployment.stop()

    async def _list_vm(self, number, server):
        """Add a faulty server to the platform's list of VMs."""
        is_engine = number >= SERVERS
        vm = objectstore.Vm(
            f'faulty-{number}',
            server.address,
            self.deployment.model if is_engine else self.deployment.service,
            'ro-central-b',
            'ro-central',
        )
        base = self.deployment.list_standin_addresses()['vms']
        response = await self.deployment.client.put(
            f'http://{base}/vms/{vm.name}', content=msgspec.json.encode(vm)
        )
        assert response.is_success

    def make_callers(self, team):
        """Return callers of a service and of a model."""
        address = self.deployment.format_address('entry-1', 'entry')
        host, _, port = address.rpartition(':')
        completion = msgspec.json.encode(
            {'model': f'{team}/answers', 'prompt': 'p', 'max_tokens': 4}
        )
        requests = [
            crowds.make_request(f'/services/{team}/lookups/a'),
            crowds.make_request('/v1/completions', completion),
        ]
        requests = [
            request.replace(b'Host: ', b'Connection: close\r\nHost: ', 1)
            for request in requests
        ]
        return [
            test_endless_processes.make_raw_caller((host, int(port)), request)
            for request in requests
            for _ in range(CALLERS)
        ]

    async def wait_for_answer(self, team):
        """Wait until the service answers a caller, and return whether."""
        address = self.deployment.format_address('entry-1', 'entry')
        with anyio.move_on_after(READY_SECONDS):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    response = await self.deployment.client.post(
                        f'http://{address}/services/{team}/lookups/a'
                    )
                    if response.status_code == 200:
                        return True
                await anyio.sleep(0.2)
        return False


# Health checks and watches of engines get them.
DAEMON_ANSWERS = (
    'header_lines',
    'no_length',
    'packed',
    'packed_stream',
    'event_line',
)


@pytest.mark.parametrize('answer', DAEMON_ANSWERS)
async def test_daemons_before_servers_without_end_stay_within_their_memory(
    tmp_path, answer
):
    scene = Scene(tmp_path, answer)
    async with scene.run() as team:
        callers = scene.make_callers(team)
        async with crowds.run(callers, test_endless_processes.CROWD_SECONDS):
            exit_codes = [d.exit_code for d in scene.daemons.values()]
            is_answered = await scene.wait_for_answer(team)
            peaks = {
                kind: crowds.read_peak_bytes(daemon.pid) >> 20
                for kind, daemon in scene.daemons.items()
            }
    assert exit_codes == [None] * len(scene.daemons)
    assert is_answered
    assert max(peaks.values()) <= MEMORY_MB
    assert any(server.sent for server in scene.faulty)
