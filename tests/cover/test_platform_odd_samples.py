"""Samples that cannot be sent, which an earlier build accepted."""

import json

import anyio
import msgspec
import pytest

from swiftjunction import objectstore
from swiftjunction.platform import _schemas
from swiftjunction.platform.callers import _batches
from tests.cover import test_platform_processes
from tests import platform_deployment

# Fields of a stored item, which an earlier build accepted.
STORED_ITEMS = {
    'an id outside Latin-1': {'item_id': 'a\u0219'},
    'an id with a line break': {'item_id': 'a\nb'},
    'a path outside ASCII': {'target': '/samples/\u0219'},
    'a path without a slash': {'target': 'samples/a'},
    'a value outside Latin-1': {'headers': [['x-note', 'Ia\u0219i']]},
    'a value with a line break': {'headers': [['x-note', 'a\nb']]},
    'a name outside Latin-1': {'headers': [['x-\u0219', 'a']]},
    'a length of its own': {'headers': [['content-length', '3']]},
}


def make_route():
    """Return the route of the batches of a deployment."""
    table = _schemas.decode_routes(
        objectstore.Object(
            'config/main',
            1,
            json.dumps(platform_deployment.make_config()).encode(),
        )
    )
    return table.find(platform_deployment.HOST, '/samples/x')


def make_stored_batch(batch_id, **fields):
    """Return a stored batch of which the first sample has these fields."""
    body = json.dumps(
        platform_deployment.make_batch(prefix=f'{batch_id}-')
    ).encode()
    batch = _batches.decode_submission(
        body, batch_id, make_route(), platform_deployment.ENGINES
    )
    stored = json.loads(msgspec.json.encode(batch))
    stored['items'][0].update(fields)
    return stored


def find_ids(log, message):
    """Return the request ids of all log lines with this message."""
    lines = [json.loads(line) for line in log.splitlines() if message in line]
    return [line['request_id'] for line in lines]


async def check_stored_batch(deployment, log_path, odd):
    """Check that a stored batch with one odd sample does no harm."""
    async with deployment.run():
        deployment.store.put('batches', 'odd', odd)
        await deployment.submit(
            'vm-1', 'b1', platform_deployment.make_batch(groups=4)
        )
        results = await deployment.wait_for_results('vm-1', 'b1', 8)
        others = await deployment.wait_for_results('vm-1', 'odd', 3)
        await anyio.sleep(1.5)
        page = await deployment.read_results('vm-1', 'odd')
        end = await deployment.send_request('vm-1', 'DELETE', '/lots/odd')
        ended_page = await deployment.read_results('vm-1', 'odd')
        code = deployment.processes['vm-1'].poll()
    assert code is None
    assert {result['state'] for result in [*results, *others]} == {'completed'}
    odd_id = odd['items'][0]['item_id']
    assert page.status_code == 200
    assert odd_id not in [item['id'] for item in page.json()['results']]
    assert (end.status_code, ended_page.status_code) == (200, 200)
    log = log_path.read_text()
    assert find_ids(log, 'sample cannot be sent') == [odd_id]
    assert find_ids(log, 'sample attempt ended').count(odd_id) == 1


@pytest.mark.anyio
@pytest.mark.parametrize('fields', STORED_ITEMS.values(), ids=STORED_ITEMS)
async def test_a_stored_sample_that_cannot_be_sent_fails_alone(
    tmp_path, fields
):
    # It must not end the process that runs batches, nor hold up other steps.
    deployment = test_platform_processes.ProcessDeployment(tmp_path)
    try:
        await check_stored_batch(
            deployment,
            tmp_path / 'vm-1.log',
            make_stored_batch('odd', **fields),
        )
    finally:
        deployment.close()


@pytest.mark.anyio
@pytest.mark.parametrize('field', ['request_id', 'path', 'host'])
async def test_a_stored_sample_whose_scorer_cannot_be_called_fails_alone(
    tmp_path, field
):
    deployment = test_platform_processes.ProcessDeployment(tmp_path)
    odd = make_stored_batch('odd')
    scorer = odd['items'][0]['scorer']
    scorer[field] = f'{scorer[field]}\u0219'
    try:
        await check_stored_batch(deployment, tmp_path / 'vm-1.log', odd)
    finally:
        deployment.close()


@pytest.mark.anyio
@pytest.mark.parametrize('hint', [None, 1e300, -5.0])
async def test_a_stored_batch_with_an_odd_hint_is_run(tmp_path, hint):
    deployment = test_platform_processes.ProcessDeployment(tmp_path)
    try:
        async with deployment.run():
            deployment.store.put(
                'batches',
                'odd',
                make_stored_batch('odd', expected_tokens=hint),
            )
            results = await deployment.wait_for_results('vm-1', 'odd', 4)
            end = await deployment.send_request('vm-1', 'DELETE', '/lots/odd')
            code = deployment.processes['vm-1'].poll()
    finally:
        deployment.close()
    assert code is None
    assert {result['state'] for result in results} == {'completed'}
    assert end.status_code == 200
