"""The HTTP interface for callers: validation, errors and headers."""

import httpx
import hypothesis
import hypothesis.strategies as st
import pytest

from swiftjunction import client
from swiftjunction import errors
from tests import stack

pytestmark = pytest.mark.anyio


async def echo(exchange):
    await exchange.echo()


def build_stack():
    return stack.EntryStack(
        [stack.ScriptedServer(echo)],
        [stack.ScriptedServer(stack.send_completion)],
    )


@pytest.mark.parametrize(
    ('body', 'headers'),
    [
        (b'', {}),
        (b'{', {}),
        (b'\xff\xfe', {}),
        (b'[]', {}),
        (b'{"model": 1, "prompt": ""}', {}),
        (b'{"model": "team/fit"}', {}),
        (b'{"model": "", "prompt": ""}', {}),
        (b'{"model": "none/at-all", "prompt": ""}', {}),
        (b'{"model": "team/fit", "prompt": "", "max_tokens": 0}', {}),
        (b'{"model": "team/fit", "prompt": "", "max_tokens": 1e9}', {}),
        (b'[' * 100_000, {}),
        (b' ' * (5 * 1024 * 1024), {}),
        (b'{"model": "team/fit", "prompt": ""}', {'x-timeout-seconds': 'x'}),
        (b'{"model": "team/fit", "prompt": ""}', {'x-timeout-seconds': 'nan'}),
        (b'{"model": "team/fit", "prompt": ""}', {'x-timeout-seconds': '-1'}),
    ],
)
async def test_an_invalid_request_is_rejected_and_does_not_run(body, headers):
    entry = build_stack()
    async with entry.run() as caller:
        response = await caller.post(
            '/v1/completions', content=body, headers=headers
        )
    assert response.status_code == 400
    assert response.headers['x-request-outcome'] == 'not-run'
    assert response.json()['error']['type'] == 'RequestInvalid'


@hypothesis.given(
    body=st.binary(max_size=100),
    name=st.sampled_from(
        ['x-request-id', 'x-timeout-seconds', 'x-idempotent', 'x-other']
    ),
    value=st.binary(max_size=30).filter(
        lambda v: not set(v) & set(b'\r\n\0') and v == v.strip()
    ),
    url=st.sampled_from(
        ['/v1/completions', '/services/team/ledger/x', '/services/x']
    ),
)
@hypothesis.settings(max_examples=60)
async def test_arbitrary_bytes_get_a_typed_response(body, name, value, url):
    entry = build_stack()
    async with entry.run() as caller:
        response = await caller.post(url, content=body, headers={name: value})
    outcome = response.headers['x-request-outcome']
    assert outcome in ('complete', 'not-run', 'unknown', 'stale')
    assert response.headers['x-request-id']


@pytest.mark.parametrize('request_id', ['a/../b', 'a?b', '\xe9', 'x' * 999])
async def test_a_request_id_that_is_not_safe_in_a_url_is_replaced(request_id):
    engine = stack.ScriptedServer(stack.send_completion)
    entry = stack.EntryStack(engines=[engine])
    async with entry.run() as caller:
        response = await caller.post(
            '/v1/completions',
            json={'model': 'team/fit', 'prompt': 'p'},
            headers={'x-request-id': request_id.encode('latin-1')},
        )
    assert response.status_code == 200
    assert request_id not in engine.request_ids[0]


@pytest.mark.parametrize('url', ['/v1/completions', '/services/team/ledger'])
async def test_an_entry_without_settings_sends_retry_after(url):
    entry = build_stack()
    async with entry.run(configured=False) as caller:
        response = await caller.post(
            url, json={'model': 'team/fit', 'prompt': 'p'}
        )
    assert response.status_code == 503
    assert response.headers['x-request-outcome'] == 'not-run'
    assert int(response.headers['retry-after']) >= 1


@pytest.mark.parametrize(
    ('method', 'url', 'status'),
    [
        ('GET', '/services/team/ledger/a%0d%0aX-Y:%20z', 404),
        ('GET', '/nothing/here', 404),
        ('DELETE', '/v1/completions', 405),
    ],
)
async def test_a_request_without_a_route_gets_a_typed_error(
    method, url, status
):
    entry = build_stack()
    async with entry.run() as caller:
        response = await caller.request(method, url)
    assert response.status_code == status
    assert response.headers['x-request-outcome'] == 'not-run'


async def test_paths_below_a_configured_path_are_counted_under_it():
    entry = build_stack()
    async with entry.run() as caller:
        for number in range(5):
            response = await caller.post(
                '/v1/completions',
                json={'model': f'team/fit/{number}', 'prompt': 'p'},
            )
            assert response.json()['model'] == 'team/fit'


async def test_a_refused_retry_does_not_hide_an_attempt_that_may_have_run():
    """The first attempt fails while reading; the others cannot connect."""
    attempts = []

    def respond(request):
        if request.url.path == '/v1/addresses':
            raise httpx.ConnectError('down')
        attempts.append(request)
        if len(attempts) == 1:
            raise httpx.ReadError('broken off')
        raise httpx.ConnectError('down')

    async with client.CallerClient(['127.0.0.1:9']) as caller:
        caller._clients._clients['127.0.0.1:9'] = httpx.AsyncClient(
            transport=httpx.MockTransport(respond), base_url='http://test'
        )
        with pytest.raises(errors.OutcomeUnknown):
            await caller.request('GET', '/services/team/ledger')
    assert len(attempts) > 1
