import anyio
import httpx
import pytest

from swiftjunction import demo
from swiftjunction import standins
from swiftjunction import weights

pytestmark = pytest.mark.anyio

OPTIONS = demo.FleetOptions(vms=2, engines=3, services=2, scorers=0)
LONG_PROMPT = next(
    prompt
    for prompt in (f'long {n}' for n in range(1000))
    if standins.count_tokens(prompt, 0, 10**6) > 250
)
BODY = {
    'model': 'demo/advice',
    'prompt': LONG_PROMPT,
    'max_tokens': 250,
    'stream': True,
}


async def configure_fleet(fleet):
    await fleet.configure()
    await weights.Publisher(fleet.create_store_client()).publish('fit')
    await fleet.wait_ready()


def sum_engine_loads(fleet):
    return sum(engine.load for engine in fleet.engines.values())


async def wait_until(condition):
    with anyio.fail_after(10):
        while not condition():
            await anyio.sleep(0.02)


async def test_a_stream_in_flight_completes_during_a_graceful_shutdown():
    async with demo.Fleet(OPTIONS).run() as fleet:
        await configure_fleet(fleet)
        entry = fleet.entries['entry-0']
        for engine in fleet.engines.values():
            engine.faults.set('slow_factor', 5)
        text = ''
        url = f'http://{entry.listener.address}/v1/completions'
        async with httpx.AsyncClient() as client:
            async with client.stream('POST', url, json=BODY) as response:
                async for line in response.aiter_lines():
                    entry.stop()
                    if line.startswith('data: {'):
                        chunk = httpx.Response(200, content=line[6:]).json()
                        text += chunk['choices'][0]['text']
            assert line == '' or line == 'data: [DONE]'
            with pytest.raises(httpx.ConnectError):
                await client.get(url)
        assert text == standins.make_completion_text(LONG_PROMPT, 0, 250)


async def test_a_draining_entry_serves_callers_that_still_have_its_address():
    async with demo.Fleet(OPTIONS).run() as fleet:
        await configure_fleet(fleet)
        address = fleet.entries['entry-0'].listener.address
        fleet.entries['entry-0'].stop()
        await wait_until(
            lambda: (
                not any(
                    process.address == address
                    for process in fleet.entries['entry-1'].processes.select(
                        'entry'
                    )
                )
            )
        )
        async with httpx.AsyncClient() as client:
            response = await client.get(
                f'http://{address}/services/demo/ledger/x'
            )
        assert response.status_code == 200


@pytest.mark.parametrize('stream', [True, False])
async def test_a_caller_that_disconnects_cancels_its_generation(stream):
    async with demo.Fleet(OPTIONS).run() as fleet:
        await configure_fleet(fleet)
        for engine in fleet.engines.values():
            engine.faults.set('slow_factor', 30)
        url = f'http://{fleet.list_entry_addresses()[0]}/v1/completions'

        async def send_request():
            async with httpx.AsyncClient() as client:
                body = BODY | {'stream': stream}
                async with client.stream('POST', url, json=body) as response:
                    await response.aread()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_request)
            await wait_until(lambda: sum_engine_loads(fleet) > 0)
            tasks.cancel_scope.cancel()
        await wait_until(lambda: sum_engine_loads(fleet) == 0)


async def test_a_leaving_server_gets_no_requests_while_the_vm_list_lags():
    async with demo.Fleet(OPTIONS).run() as fleet:
        await configure_fleet(fleet)
        fleet.vms.faults.set('lag_seconds', 30)
        server = fleet.services['server-0']
        server.faults.set('leaving', 1)
        async with httpx.AsyncClient() as client:
            for number in range(20):
                url = fleet.list_entry_addresses()[number % 2]
                response = await client.get(
                    f'http://{url}/services/demo/ledger/{number}'
                )
                assert response.json().get('server') == 'server-1', (
                    response.text
                )
        # Each entry may send one request before it receives the new state.
        assert sum(server.refusals.values()) <= 2
        assert not server.runs


async def test_a_caller_that_does_not_read_delays_no_other_caller():
    async with demo.Fleet(OPTIONS).run() as fleet:
        await configure_fleet(fleet)
        address = fleet.list_entry_addresses()[0]
        host, port = address.split(':')
        payload = httpx.Request(
            'POST', f'http://{address}/v1/completions', json=BODY
        ).content
        async with await anyio.connect_tcp(host, int(port)) as slow:
            await slow.send(
                b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
                b'content-length: %d\r\n\r\n' % len(payload) + payload
            )
            async with httpx.AsyncClient() as client:
                for number in range(5):
                    body = BODY | {
                        'prompt': f'other {number}',
                        'max_tokens': 8,
                        'stream': False,
                    }
                    response = await client.post(
                        f'http://{address}/v1/completions', json=body
                    )
                    assert response.status_code == 200
