"""The contract with engines: all ways in which a stream can end."""

import anyio
import pytest

from swiftjunction import standins
from tests import stack

pytestmark = pytest.mark.anyio

PROMPT = 'does it fit?'
MAX_TOKENS = 12


async def close(exchange):
    await exchange.stream.aclose()


async def close_after_headers(exchange):
    await stack.send_stream_headers(exchange)
    await close(exchange)


async def close_within_stream(exchange):
    await stack.send_stream_headers(exchange)
    await exchange.send(stack.make_event(exchange, 0, 2, last=False))
    await close(exchange)


async def close_after_last_token(exchange):
    await stack.send_stream_headers(exchange)
    await exchange.send(stack.make_event(exchange))
    await close(exchange)


async def refuse(exchange):
    await exchange.respond(b'', 'x-request-outcome: not-run\r\n', '503 Busy')


async def fail(exchange):
    await exchange.respond(b'oops', '', '500 Error')


async def answer_in_html(exchange):
    await stack.send_stream_headers(exchange, 'text/html')
    await exchange.send(b'<p>' + stack.make_event(exchange))
    await close(exchange)


async def send_bad_json(exchange):
    await stack.send_stream_headers(exchange)
    await exchange.send(b'data: {"choices": [\n\n')
    await close(exchange)


async def answer_another_request(exchange):
    await stack.send_stream_headers(exchange)
    await exchange.send(stack.make_event(exchange, id='another'))
    await close(exchange)


async def skip_tokens(exchange):
    await stack.send_stream_headers(exchange)
    await exchange.send(stack.make_event(exchange, 2))
    await close(exchange)


async def repeat_tokens(exchange):
    await stack.send_stream_headers(exchange)
    await exchange.send(stack.make_event(exchange, 0, 2, last=False))
    await exchange.send(stack.make_event(exchange, 0, 2, last=False))
    await exchange.send(stack.make_event(exchange, 2))
    await close(exchange)


async def send_no_version(exchange):
    await stack.send_stream_headers(exchange)
    await exchange.send(stack.make_event(exchange, weight_version=0))
    await close(exchange)


async def send_old_version(exchange):
    await stack.send_stream_headers(exchange)
    await exchange.send(stack.make_event(exchange, weight_version=1))
    await close(exchange)


async def send_nothing(exchange):
    await stack.send_stream_headers(exchange)
    await anyio.sleep(0.4)
    await close(exchange)


# The behaviour of the engine, and the outcome that the caller of a
# non-idempotent generation gets if there is no other engine.
CASES = [
    (None, 'not-run'),
    (refuse, 'not-run'),
    (close, 'unknown'),
    (close_after_headers, 'unknown'),
    (close_within_stream, 'unknown'),
    (close_after_last_token, 'complete'),
    (fail, 'unknown'),
    (answer_in_html, 'unknown'),
    (send_bad_json, 'unknown'),
    (answer_another_request, 'unknown'),
    (skip_tokens, 'unknown'),
    (repeat_tokens, 'complete'),
    (send_no_version, 'stale'),
    (send_old_version, 'stale'),
    (send_nothing, 'unknown'),
]
NAMES = [getattr(script, '__name__', 'no listener') for script, _ in CASES]


async def post_completion(client, idempotent, seconds, stream=False):
    return await client.post(
        '/v1/completions',
        json={
            'model': 'team/fit',
            'prompt': PROMPT,
            'max_tokens': MAX_TOKENS,
            'stream': stream,
        },
        headers={
            'x-timeout-seconds': str(seconds),
            'x-idempotent': str(idempotent).lower(),
        },
    )


@pytest.mark.parametrize(('script', 'outcome'), CASES, ids=NAMES)
async def test_the_outcome_of_a_non_idempotent_generation(script, outcome):
    bad = stack.ScriptedServer(script)
    entry = stack.EntryStack(engines=[bad])
    async with entry.run() as client:
        response = await post_completion(client, False, 0.3)
    assert response.headers['x-request-outcome'] == outcome
    if script is not refuse:
        assert len(bad.request_ids) <= 1


@pytest.mark.parametrize(('script', 'outcome'), CASES, ids=NAMES)
@pytest.mark.parametrize('stream', [False, True])
async def test_another_engine_completes_the_answer(script, outcome, stream):
    entry = stack.EntryStack(
        engines=[
            stack.ScriptedServer(script),
            stack.ScriptedServer(stack.send_completion),
            stack.ScriptedServer(stack.send_completion),
        ]
    )
    expected = standins.make_completion_text(PROMPT, 0, MAX_TOKENS)
    async with entry.run() as client:
        for _ in range(3):
            response = await post_completion(client, True, 5, stream)
            assert response.status_code == 200
            if stream:
                assert response.text.rstrip().endswith('[DONE]')
            else:
                assert response.json()['choices'][0]['text'] == expected


async def test_requests_with_the_same_id_are_separate_generations():
    engine = stack.ScriptedServer(stack.send_completion)
    entry = stack.EntryStack(engines=[engine])
    async with entry.run() as client:
        client.headers['x-request-id'] = 'the-same'
        for _ in range(2):
            await post_completion(client, True, 2)
    assert len(set(engine.request_ids)) == 2
    assert all(name.startswith('the-same.') for name in engine.request_ids)
