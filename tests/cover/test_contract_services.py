"""The contract with plain servers: every way in which a call may end."""

import anyio
import pytest

from tests import stack

pytestmark = pytest.mark.anyio

HUGE_HEADER = f'x-huge: {"x" * 300_000}\r\n'
REFUSAL = 'x-request-outcome: not-run\r\n'


async def close(exchange):
    await exchange.stream.aclose()


async def close_within_the_status(exchange):
    await exchange.send(b'HTTP/1.1 20')
    await close(exchange)


async def close_within_the_body(exchange):
    await exchange.answer(b'half', length=10)
    await close(exchange)


async def close_after_the_answer(exchange):
    await exchange.echo()
    await close(exchange)


async def refuse(exchange):
    await exchange.answer(b'busy', REFUSAL, '503 Busy')


async def answer_after_the_deadline(exchange):
    await anyio.sleep(0.3)
    await exchange.echo()


async def answer_twice(exchange):
    await exchange.echo()
    await exchange.echo()


async def answer_another_request(exchange):
    await exchange.answer(exchange.body, 'x-request-id: another\r\n')


async def close_one_half(exchange):
    await exchange.stream.send_eof()
    await anyio.sleep(0.1)


async def send_a_huge_header(exchange):
    await exchange.echo(HUGE_HEADER)


async def send_a_huge_body(exchange):
    await exchange.answer(b'x' * (17 * 1024 * 1024))


async def send_no_http(exchange):
    await exchange.send(b'\x00\xff not HTTP at all\r\n\r\n')


async def echo(exchange):
    await exchange.echo()


async def lie_about_load(exchange):
    await exchange.echo('x-load: -1e400\r\n')


# What the server does, and what the caller of an action is told. "not-run"
# stands only where no byte can have reached it, or where it said so.
CASES = [
    (None, 'not-run'),
    (close, 'unknown'),
    (close_within_the_status, 'unknown'),
    (close_within_the_body, 'unknown'),
    (close_after_the_answer, 'complete'),
    (refuse, 'not-run'),
    (answer_after_the_deadline, 'unknown'),
    (answer_twice, 'complete'),
    (answer_another_request, 'unknown'),
    (close_one_half, 'unknown'),
    (send_a_huge_header, 'unknown'),
    (send_a_huge_body, 'unknown'),
    (send_no_http, 'unknown'),
    (echo, 'complete'),
    (lie_about_load, 'complete'),
]
NAMES = [getattr(script, '__name__', 'nobody listens') for script, _ in CASES]


async def call(client, body, **headers):
    return await client.post(
        '/services/team/ledger/pay',
        content=body,
        headers={'x-timeout-seconds': '0.2'} | headers,
    )


@pytest.mark.parametrize(('script', 'outcome'), CASES, ids=NAMES)
async def test_an_action_ends_as_it_did_and_runs_at_most_once(script, outcome):
    bad = stack.ScriptedServer(script)
    good = stack.ScriptedServer(echo)
    entry = stack.Stack([bad])
    async with entry.run() as client:
        response = await call(client, b'x1', **{'x-idempotent': 'false'})
    assert response.headers['x-request-outcome'] == outcome
    assert len(bad.read) <= 1
    assert not good.read
    if outcome != 'complete':
        assert response.json()['error']['step']


@pytest.mark.parametrize(('script', 'outcome'), CASES, ids=NAMES)
async def test_an_idempotent_call_is_answered_by_another_server(
    script, outcome
):
    entry = stack.Stack(
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


async def test_a_server_that_closes_before_it_reads_makes_it_unknown():
    entry = stack.Stack([stack.ScriptedServer(close, early=True)])
    async with entry.run() as client:
        response = await call(client, b'x1', **{'x-idempotent': 'false'})
    assert response.headers['x-request-outcome'] == 'unknown'


async def test_a_second_answer_is_never_taken_for_the_next_request():
    entry = stack.Stack([stack.ScriptedServer(answer_twice)])
    async with entry.run() as client:
        for number in range(6):
            body = f'body {number}'.encode()
            response = await call(client, body)
            if response.headers['x-request-outcome'] == 'complete':
                assert response.content == body


@pytest.mark.parametrize('path', ['a%20b', 'a%3Fb%23c', '%C3%A9', 'a%25zz'])
async def test_what_a_path_holds_stays_in_the_path(path):
    lines = []

    async def note(exchange):
        lines.append(exchange.head.split('\r\n')[0])
        await exchange.echo()

    entry = stack.Stack([stack.ScriptedServer(note)])
    async with entry.run() as client:
        response = await client.get(f'/services/team/ledger/{path}')
    assert response.headers['x-request-outcome'] == 'complete'
    assert lines[0].lower() == f'GET /{path} HTTP/1.1'.lower()


async def test_a_header_in_latin_1_is_passed_on():
    seen = []

    async def note(exchange):
        seen.append(exchange.header('x-name'))
        await exchange.echo()

    entry = stack.Stack([stack.ScriptedServer(note)])
    async with entry.run() as client:
        response = await client.get(
            '/services/team/ledger/x', headers={'x-name': b'Andr\xe9'}
        )
    assert response.headers['x-request-outcome'] == 'complete'
    assert seen == ['Andr\xe9']
