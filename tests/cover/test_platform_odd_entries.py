"""Odd entries of the object store, which another writer may have left."""

import pytest

from swiftjunction import standins
from tests.cover import test_platform_processes
from tests import odd_values
from tests import platform_deployment

# Each replaces fields of an entry that is otherwise sound.
ODD_SERVERS = {
    'nested in an unknown field': {'notes': odd_values.NESTED},
    'nested in the models': {'models': odd_values.NESTED},
    'a port out of range': {'address': '127.0.0.1:70000'},
    'a port of other digits': {'address': '127.0.0.1:\u0668\u0660'},
    'a host with a control character': {'address': '127.0.\x010.1:80'},
    'a host name': {'address': 'host.example:80'},
    'a large capacity': {'capacity': odd_values.LARGE},
    'a negative capacity': {'capacity': -5},
    'a number out of range': {'leaves_ms': odd_values.INFINITE},
    'a large version': {
        'models': [
            {'name': platform_deployment.MODEL, 'version': odd_values.LARGE}
        ]
    },
}


@pytest.mark.anyio
@pytest.mark.parametrize('entry', ODD_SERVERS.values(), ids=ODD_SERVERS)
@pytest.mark.parametrize('service', ['plain', 'engines'])
async def test_an_odd_server_entry_ends_no_process(tmp_path, entry, service):
    deployment = test_platform_processes.ProcessDeployment(tmp_path)
    servers = {
        'plain': standins.PlatformServiceStandin('odd'),
        'engines': standins.PlatformEngineStandin(
            'odd', {platform_deployment.MODEL: 1}
        ),
    }
    try:
        async with deployment.run():
            deployment.addresses['odd'] = '127.0.0.1:1'
            deployment.register_server('odd', servers[service], **entry)
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch(groups=4)
            )
            results = await deployment.wait_for_results('vm-1', 'b1', 8)
            responses = [
                await deployment.send_request(
                    'vm-1',
                    'POST',
                    '/plain/a',
                    headers={'swiftjunction-attempt-id': f'r{number}'},
                )
                for number in range(8)
            ]
            code = deployment.processes['vm-1'].poll()
    finally:
        deployment.close()
    assert code is None
    assert {result['state'] for result in results} == {'completed'}
    assert {response.status_code for response in responses} == {200}


# Names of objects of each kind, beside those that the processes write.
KINDS = {
    'servers': ['odd'],
    'config': ['odd'],
    'versions': ['odd', 'model'],
    'retirements': ['odd'],
    'members': ['odd', 'vm-9'],
    'crashes': ['odd', 'vm-9'],
    'origins': ['odd', 'vm-9'],
    'batches': ['odd'],
    'checkpoints': ['samples', 'odd'],
    'leases': ['odd'],
    'scaling': ['odd', 'plain'],
    'usage': ['odd', 'state', 'report-1'],
}
SOUND_BATCH = {
    'batch_id': 'another',
    'route': 'samples',
    'host': platform_deployment.HOST,
    'service': platform_deployment.ENGINES,
    'total': 1,
    'items': [],
}
ODD_OBJECTS = {
    'nested': odd_values.NESTED,
    'a nested field': {'name': odd_values.NESTED},
    'a number': 5,
    'a large number': odd_values.LARGE,
    'a list': [odd_values.LARGE, None],
    'text that is not UTF-8': odd_values.NOT_UTF_8,
    'large fields': {
        name: odd_values.LARGE
        for name in (
            'version',
            'written_unix',
            'total',
            'token',
            'next_window',
        )
    },
    'a batch under the name of another': SOUND_BATCH,
}


@pytest.mark.anyio
@pytest.mark.parametrize('spec', ODD_OBJECTS.values(), ids=ODD_OBJECTS)
async def test_an_odd_object_of_any_kind_ends_no_process(tmp_path, spec):
    deployment = test_platform_processes.ProcessDeployment(tmp_path)
    for kind, names in KINDS.items():
        for name in names:
            deployment.store.put(kind, name, spec)
    try:
        async with deployment.run():
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch(groups=2)
            )
            await deployment.wait_for_results('vm-1', 'b1', 4)
            for kind, names in KINDS.items():
                for name in names:
                    deployment.store.put(kind, f'{name}-later', spec)
            # What follows in the same watches takes effect.
            config = platform_deployment.make_config(7)
            route = dict(config['routes'][0], path_prefix='/later/')
            config['routes'].append({**route, 'name': 'later'})
            deployment.store.put('config', 'main', config)
            await deployment.submit(
                'vm-1', 'b2', platform_deployment.make_batch(groups=2)
            )
            results = await deployment.wait_for_results('vm-1', 'b2', 4)
            response = await deployment.send_request(
                'vm-1',
                'POST',
                '/later/a',
                headers={'swiftjunction-attempt-id': 'r1'},
            )
            code = deployment.processes['vm-1'].poll()
    finally:
        deployment.close()
    assert code is None
    assert {result['state'] for result in results} == {'completed'}
    assert response.status_code == 200
