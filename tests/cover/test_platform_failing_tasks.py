"""A VM whose background tasks fail goes on with the others."""

import anyio
import pytest

from swiftjunction import coordination
from swiftjunction.platform import _program
from swiftjunction.supervision import _supervisor
from tests import platform_deployment

pytestmark = pytest.mark.anyio

REQUEST = {'headers': {'swiftjunction-attempt-id': 'r1'}}


@pytest.fixture
def deployment(tmp_path, monkeypatch):
    monkeypatch.setattr(_supervisor, 'STABLE_SECONDS', 0.5)
    monkeypatch.setattr(_supervisor, 'MAX_DELAY_SECONDS', 0.2)
    monkeypatch.setattr(_program, 'MAX_FAILING_SECONDS', 0.3)
    return platform_deployment.PlatformDeployment(tmp_path)


def make_failing(owner, name, monkeypatch):
    """Have a method fail; return a function that restores it."""
    works = getattr(owner, name)
    failing = [True]

    async def run(self, *arguments):
        if failing:
            await anyio.sleep(0)
            raise RecursionError('too deep')
        await works(self, *arguments)

    monkeypatch.setattr(owner, name, run)
    return failing.clear


async def wait_for_state(deployment, state):
    with anyio.fail_after(5):
        while deployment.programs['vm-1']._read_state() != state:
            await anyio.sleep(0.02)


async def test_a_vm_that_cannot_follow_servers_is_not_ready(
    deployment, monkeypatch
):
    async with deployment.run():
        program = deployment.programs['vm-1']
        supervisor = program._supervisor
        failing = [True]

        async def fail():
            if failing:
                raise OverflowError('port must be 0-65535')
            await anyio.sleep_forever()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(supervisor.run, _program.SERVERS_TASK, fail)
            await wait_for_state(deployment, 'failing')
            refused = await deployment.send_request(
                'vm-1', 'GET', '/ready', port='readiness'
            )
            failing.clear()
            await wait_for_state(deployment, 'live')
            ready = await deployment.send_request(
                'vm-1', 'GET', '/ready', port='readiness'
            )
            tasks.cancel_scope.cancel()
    assert refused.status_code == 503
    assert ready.status_code == 200


@pytest.mark.parametrize('loop', ['_runner', '_rollout'])
async def test_a_failed_loop_of_the_coordinator_runs_again(
    deployment, monkeypatch, loop
):
    async with deployment.run(vms=()):
        deployment.start_vm('vm-1')
        loops = deployment.programs['vm-1']._control_loops
        restore = make_failing(type(getattr(loops, loop)), 'run', monkeypatch)
        await deployment.wait_until_ready('vm-1')
        await deployment.submit('vm-1', 'b1', platform_deployment.make_batch())
        response = await deployment.send_request(
            'vm-1', 'POST', '/plain/a', **REQUEST
        )
        restore()
        results = await deployment.wait_for_results('vm-1', 'b1', 4)
    assert response.status_code == 200
    assert {result['state'] for result in results} == {'completed'}


async def test_a_server_removed_while_servers_cannot_be_followed_is_not_used(
    deployment, monkeypatch
):
    follows = coordination.FeedSync._watch
    failing = []

    async def watch(self, feed, *arguments):
        if feed.prefix != 'servers/':
            return await follows(self, feed, *arguments)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follows, self, feed, *arguments)
            while not failing:
                await anyio.sleep(0.02)
            raise OverflowError('port must be 0-65535')

    monkeypatch.setattr(coordination.FeedSync, '_watch', watch)
    async with deployment.run():
        directory = deployment.programs['vm-1']._directory
        assert directory.get('p1') is not None
        failing.append(True)
        await anyio.sleep(0.1)
        deployment.store.remove('servers', 'p1')
        await anyio.sleep(0.1)
        failing.clear()
        with anyio.fail_after(5):
            while directory.get('p1') is not None:
                await anyio.sleep(0.05)
        assert directory.get('p2') is not None


async def test_an_error_while_the_duty_is_left_does_not_end_the_drain(
    deployment, monkeypatch
):
    async def fail(self):
        raise ValueError('odd checkpoint')

    monkeypatch.setattr(coordination.Coordinator, 'resign', fail)
    async with deployment.run():
        deployment.programs['vm-1']._stopping.set()
        await anyio.sleep(0.3)
        response = await deployment.send_request(
            'vm-1', 'POST', '/plain/a', **REQUEST
        )
    assert response.status_code == 200
