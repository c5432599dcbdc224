"""The contract with plain services: all ways in which a call can end."""

import anyio
import pytest

from tests import stack

pytestmark = pytest.mark.anyio

HUGE_HEADER = f'x-huge: {"x" * 300_000}\r\n'
REFUSAL = 'x-request-outcome: not-run\r\n'


async def close(exchange):
    await exchange.stream.aclose()


async def close_within_status_line(exchange):
    await exchange.send(b'HTTP/1.1 20')
    await close(exchange)


async def close_within_body(exchange):
    await exchange.respond(b'half', length=10)
    await close(exchange)


async def close_after_response(exchange):
    await exchange.echo()
    await close(exchange)


async def refuse(exchange):
    await exchange.respond(b'busy', REFUSAL, '503 Busy')


async def respond_after_deadline(exchange):
    await anyio.sleep(0.3)
    await exchange.echo()


async def respond_twice(exchange):
    await exchange.echo()
    await exchange.echo()


async def respond_to_another_request(exchange):
    await exchange.respond(exchange.body, 'x-request-id: another\r\n')


async def half_close(exchange):
    await exchange.stream.send_eof()
    await anyio.sleep(0.1)


async def send_huge_header(exchange):
    await exchange.echo(HUGE_HEADER)


async def send_huge_body(exchange):
    await exchange.respond(b'x' * (17 * 1024 * 1024))


async def send_invalid_http(exchange):
    await exchange.send(b'\x00\xff not HTTP at all\r\n\r\n')


async def echo(exchange):
    await exchange.echo()


async def report_infinite_load(exchange):
    await exchange.echo('x-load: -1e400\r\n')


# The behaviour of the server, and the outcome that the caller of an action
# gets. "not-run" is only allowed if no byte of the request can have reached
# the server, or if the server said so.
CASES = [
    (None, 'not-run'),
    (close, 'unknown'),
    (close_within_status_line, 'unknown'),
    (close_within_body, 'unknown'),
    (close_after_response, 'complete'),
    (refuse, 'not-run'),
    (respond_after_deadline, 'unknown'),
    (respond_twice, 'complete'),
    (respond_to_another_request, 'unknown'),
    (half_close, 'unknown'),
    (send_huge_header, 'unknown'),
    (send_huge_body, 'unknown'),
    (send_invalid_http, 'unknown'),
    (echo, 'complete'),
    (report_infinite_load, 'complete'),
]
NAMES = [getattr(script, '__name__', 'no listener') for script, _ in CASES]


async def call(client, body, **headers):
    return await client.post(
        '/services/team/ledger/pay',
        content=body,
        headers={'x-timeout-seconds': '0.2'} | headers,
    )


@pytest.mark.parametrize(('script', 'outcome'), CASES, ids=NAMES)
async def test_an_action_has_the_right_outcome_and_runs_at_most_once(
    script, outcome
):
    bad = stack.ScriptedServer(script)
    good = stack.ScriptedServer(echo)
    entry = stack.EntryStack([bad])
    async with entry.run() as client:
        response = await call(client, b'x1', **{'x-idempotent': 'false'})
    assert response.headers['x-request-outcome'] == outcome
    assert len(bad.request_ids) <= 1
    assert not good.request_ids
    if outcome != 'complete':
        assert response.json()['error']['step']


@pytest.mark.parametrize(('script', 'outcome'), CASES, ids=NAMES)
async def test_another_server_answers_an_idempotent_call(script, outcome):
    entry = stack.EntryStack(
        [stack.ScriptedServer(script), stack.ScriptedServer(echo)]
    )
    async with entry.run() as client:
        client.headers['x-timeout-seconds'] = '5'
        for number in range(4):
            body = f'body {number}'.encode()
            response = await client.post(
                '/services/team/ledger/pay',
                content=body,
                headers={'x-idempotent': 'true'},
            )
            assert response.headers['x-request-outcome'] == 'complete'
            assert response.content == body


async def test_the_outcome_is_unknown_if_a_server_closes_before_it_reads():
    entry = stack.EntryStack(
        [stack.ScriptedServer(close, before_request=True)]
    )
    async with entry.run() as client:
        response = await call(client, b'x1', **{'x-idempotent': 'false'})
    assert response.headers['x-request-outcome'] == 'unknown'


async def test_a_second_response_is_never_matched_to_the_next_request():
    entry = stack.EntryStack([stack.ScriptedServer(respond_twice)])
    async with entry.run() as client:
        for number in range(6):
            body = f'body {number}'.encode()
            response = await call(client, body)
            if response.headers['x-request-outcome'] == 'complete':
                assert response.content == body


@pytest.mark.parametrize('path', ['a%20b', 'a%3Fb%23c', '%C3%A9', 'a%25zz'])
async def test_encoded_characters_of_a_path_stay_in_the_path(path):
    request_lines = []

    async def record(exchange):
        request_lines.append(exchange.head.split('\r\n')[0])
        await exchange.echo()

    entry = stack.EntryStack([stack.ScriptedServer(record)])
    async with entry.run() as client:
        response = await client.get(f'/services/team/ledger/{path}')
    assert response.headers['x-request-outcome'] == 'complete'
    assert request_lines[0].lower() == f'GET /{path} HTTP/1.1'.lower()


async def test_a_latin_1_header_is_forwarded():
    names = []

    async def record(exchange):
        names.append(exchange.get_header('x-name'))
        await exchange.echo()

    entry = stack.EntryStack([stack.ScriptedServer(record)])
    async with entry.run() as client:
        response = await client.get(
            '/services/team/ledger/x', headers={'x-name': b'Andr\xe9'}
        )
    assert response.headers['x-request-outcome'] == 'complete'
    assert names == ['Andr\xe9']
