import functools
import json
import re

import anyio
import cleo.testers.command_tester
import pytest

from swiftjunction.commands import _fleet
from swiftjunction import errors
from tests import platform_deployment

COMMANDS = {kind.name: kind for kind in _fleet.COMMANDS}


@pytest.fixture
def deployment(tmp_path):
    return platform_deployment.PlatformDeployment(tmp_path)


async def run_command(deployment, name, arguments=''):
    tester = cleo.testers.command_tester.CommandTester(COMMANDS[name]())
    line = f'--store {deployment.store_address} {arguments}'
    await anyio.to_thread.run_sync(functools.partial(tester.execute, line))
    return tester.io.fetch_output().strip()


async def run_json_command(deployment, name):
    return json.loads(await run_command(deployment, name, '--json'))


async def wait_for_coordinator(deployment):
    with anyio.fail_after(10):
        while not deployment.store.get('leases', 'coordinator'):
            await anyio.sleep(0.05)


@pytest.mark.anyio
class TestFleetCommands:
    async def test_the_commands_show_the_state_of_a_deployment(
        self, deployment
    ):
        async with deployment.run(('vm-1', 'vm-2')):
            await wait_for_coordinator(deployment)
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            await deployment.wait_for_results('vm-2', 'b1', 4)
            deployment.store.put(
                'versions',
                'm',
                {'model': platform_deployment.MODEL, 'version': 2},
            )
            status = await run_command(deployment, 'fleet status')
            (lease,) = await run_json_command(deployment, 'fleet leases')
            (step,) = await run_json_command(deployment, 'fleet steps')
            servers = await run_command(deployment, 'fleet servers')
            versions = await run_command(deployment, 'fleet versions')
            routes = await run_command(deployment, 'fleet routes')
        assert status.count(' live') == 2
        assert f'coordinates under {lease["token"]}' in status
        assert lease['name'] == 'coordinator'
        assert (step['listed'], step['total']) == (4, 4)
        assert f'{platform_deployment.MODEL} at 1' in servers
        assert versions.split() == [platform_deployment.MODEL, '2']
        assert f'{platform_deployment.HOST}/plain/  idempotent' in routes

    async def test_status_shows_that_a_vm_is_unreachable(self, deployment):
        async with deployment.run(('vm-1', 'vm-2')):
            deployment.kill_vm('vm-2')
            await anyio.sleep(0.1)
            lines = (
                await run_command(deployment, 'fleet status')
            ).splitlines()
        assert ' live' in lines[0]
        assert ' away: ' in lines[1]

    async def test_scaling_shows_what_runs_is_coming_and_is_wanted(
        self, deployment
    ):
        deployment.store.put(
            'scaling',
            platform_deployment.ENGINES,
            {
                'service': platform_deployment.ENGINES,
                'target': 5,
                'subjects': [
                    {
                        'data_center': 'dc-2',
                        'is_spot': True,
                        'servers': 3,
                        'ordered': True,
                        'is_open': True,
                        'reason': 'late_steps',
                    }
                ],
            },
        )
        async with deployment.run():
            text = await run_command(deployment, 'fleet scaling')
        found, ordered = [line.split(maxsplit=3) for line in text.splitlines()]
        assert found[1:] == [
            'dc-1',
            'regular',
            '2 running, 0 leaving, 0 coming, 2 wanted (found there)',
        ]
        assert ordered[1:] == [
            'dc-2',
            'spot',
            '0 running, 0 leaving, 3 coming, 3 wanted '
            '(late_steps, no response yet)',
        ]

    async def test_status_shows_how_old_the_keys_of_each_vm_may_be(
        self, tmp_path
    ):
        config = {**platform_deployment.make_config(), 'tenants': []}
        deployment = platform_deployment.PlatformDeployment(
            tmp_path, config=config
        )
        async with deployment.run(('vm-1', 'vm-2')):
            with anyio.fail_after(10):
                status = ''
                while status.count('configuration at revision') < 2:
                    await anyio.sleep(0.1)
                    status = await run_command(deployment, 'fleet status')
        # Each VM has the revision of the store at its own first list.
        revisions = re.findall(r'at revision (\d+), confirmed', status)
        assert len(revisions) == 2
        assert all(int(revision) > 0 for revision in revisions)

    async def test_an_empty_list_is_reported_as_such(self, deployment):
        async with deployment.run():
            assert (
                await run_command(deployment, 'fleet versions')
                == 'nothing found'
            )

    async def test_the_dump_of_a_vm_has_its_internal_state(self, deployment):
        async with deployment.run(('vm-1',)):
            await wait_for_coordinator(deployment)
            response = await deployment.send_request(
                'vm-1', 'GET', '/dump', port='peer'
            )
        state = response.json()
        assert state['status']['state'] == 'live'
        assert state['configuration']['version'] == 1
        assert state['configuration']['history'][0]['version'] == 1
        assert set(state['servers']) == {'p1', 'p2', 'e1', 'e2'}
        assert state['feeds']['config/']['watched']
        assert state['members']['members'] == ['vm-1']


@pytest.mark.parametrize('address', ['', 'nowhere', 'host:port'])
def test_an_invalid_store_address_is_reported(address, monkeypatch):
    monkeypatch.delenv(_fleet.STORE_VARIABLE, raising=False)
    tester = cleo.testers.command_tester.CommandTester(
        _fleet.FleetStatusCommand()
    )
    with pytest.raises(errors.SettingsError) as caught:
        tester.execute(f'--store={address}' if address else '')
    assert '--store' in caught.value.problems[0]
