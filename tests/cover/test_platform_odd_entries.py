"""Odd entries of the object store, which another writer may have left."""

import msgspec
import pytest

from swiftjunction import standins
from tests.cover import test_platform_processes
from tests import platform_deployment

NESTED_LEVELS = 6000
NESTED = msgspec.Raw(b'[' * NESTED_LEVELS + b']' * NESTED_LEVELS)
LARGE = msgspec.Raw(b'1' + b'0' * 30)
# Each replaces fields of an entry that is otherwise sound.
ODD_SERVERS = {
    'nested in an unknown field': {'notes': NESTED},
    'nested in the models': {'models': NESTED},
    'a port out of range': {'address': '127.0.0.1:70000'},
    'a port of other digits': {'address': '127.0.0.1:\u0668\u0660'},
    'a host with a control character': {'address': '127.0.\x010.1:80'},
    'a host name': {'address': 'host.example:80'},
    'a large capacity': {'capacity': LARGE},
    'a negative capacity': {'capacity': -5},
    'a number out of range': {'leaves_ms': msgspec.Raw(b'1e999')},
    'a large version': {
        'models': [{'name': platform_deployment.MODEL, 'version': LARGE}]
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
