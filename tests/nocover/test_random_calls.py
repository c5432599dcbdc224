"""Thousands of seeded random calls of plain services with failing servers.

Compares the outcomes that callers got with the requests that the servers ran.
Run with ``pytest -s`` to see the printed counts.
"""

import collections
import random

import anyio
import pytest

from swiftjunction.backends import _health
from tests import stack

pytestmark = pytest.mark.anyio

CALLS = 10_000
CONCURRENCY = 24
SERVERS = 5
TIMEOUT_SECONDS = '0.25'
UP_SECONDS = (0.3, 2.0)
DOWN_SECONDS = (0.02, 0.2)


class CrashingServer(stack.ScriptedServer):
    """Server that stops and restarts at the same address, at random times.

    Counts how often it runs each request id and idempotency key.
    """

    def __init__(self, rng, runs):
        super().__init__(self._respond)
        self._rng = rng
        self._runs = runs

    async def run(self, *, task_status):
        port = 0
        while True:
            listener = await anyio.create_tcp_listener(
                local_host='127.0.0.1', local_port=port
            )
            if not port:
                extra = listener.extra
                port = extra(anyio.abc.SocketAttribute.local_port)
                self.address = f'127.0.0.1:{port}'
                task_status.started()
            with anyio.move_on_after(self._rng.uniform(*UP_SECONDS)):
                async with listener:
                    await listener.serve(self._serve)
            await anyio.sleep(self._rng.uniform(*DOWN_SECONDS))

    async def _respond(self, exchange):
        action_weights = {
            self._echo: 70,
            self._close_before_run: 4,
            self._close_after_run: 5,
            self._send_partial_body: 5,
            self._refuse: 6,
            self._run_after_deadline: 3,
            self._respond_to_another_request: 3,
            self._respond_twice: 4,
        }
        weights = list(action_weights.values())
        [action] = self._rng.choices(list(action_weights), weights)
        await action(exchange)

    def _record_run(self, exchange):
        self._runs[exchange.get_header('x-request-id')] += 1
        key = exchange.get_header('idempotency-key')
        if key:
            self._runs[key] += 1

    async def _echo(self, exchange):
        self._record_run(exchange)
        await exchange.echo()

    async def _close_before_run(self, exchange):
        await exchange.stream.aclose()

    async def _close_after_run(self, exchange):
        self._record_run(exchange)
        await exchange.stream.aclose()

    async def _send_partial_body(self, exchange):
        self._record_run(exchange)
        await exchange.respond(exchange.body[:2], length=len(exchange.body))
        await exchange.stream.aclose()

    async def _refuse(self, exchange):
        await exchange.respond(
            b'', 'x-request-outcome: not-run\r\n', '503 Busy'
        )

    async def _run_after_deadline(self, exchange):
        await anyio.sleep(0.3)
        self._record_run(exchange)
        await exchange.echo()

    async def _respond_to_another_request(self, exchange):
        self._record_run(exchange)
        await exchange.respond(b'', 'x-request-id: another\r\n')

    async def _respond_twice(self, exchange):
        self._record_run(exchange)
        await exchange.echo()
        await exchange.echo()


class CallResults:
    """Outcomes that callers got, and requests that servers ran.

    Attributes
    ----------
    runs : collections.Counter
        Runs by request id and by idempotency key.
    outcomes : collections.Counter
        Calls by kind and outcome.
    not_run, actions : list of str
        Ids of requests with the outcome ``not-run``, and of other actions.
    keys : set of str
        Idempotency keys that were sent.
    wrong_answers : int
        Responses with the body of another request.
    """

    def __init__(self):
        self.runs = collections.Counter()
        self.outcomes = collections.Counter()
        self.not_run = []
        self.actions = []
        self.keys = set()
        self.wrong_answers = 0


async def send_call(client, results, rng, number):
    """Send one call; one with an idempotency key is retried up to twice."""
    kind = rng.choice(['idempotent', 'action', 'keyed'])
    headers = {
        'x-timeout-seconds': TIMEOUT_SECONDS,
        'x-idempotent': str(kind == 'idempotent').lower(),
    }
    body = f'body {number}'.encode()
    key = f'key-{number}'
    if kind == 'keyed':
        headers['idempotency-key'] = key
        results.keys.add(key)
    for attempt in range(3 if kind == 'keyed' else 1):
        request_id = f'call-{number}-{attempt}'
        response = await client.post(
            '/services/team/ledger/pay',
            content=body,
            headers=headers | {'x-request-id': request_id},
        )
        outcome = response.headers['x-request-outcome']
        results.outcomes[f'{kind} {outcome}'] += 1
        if outcome == 'not-run':
            results.not_run.append(request_id)
        elif kind == 'action':
            results.actions.append(request_id)
        if outcome == 'complete':
            results.wrong_answers += response.content != body
            return


@pytest.mark.parametrize('seed', [1, 2])
async def test_no_action_runs_twice_and_no_request_after_the_outcome_not_run(
    monkeypatch, seed
):
    monkeypatch.setattr(_health, 'EJECTION_SECONDS', 0.02)
    rng = random.Random(seed)
    results = CallResults()
    servers = [
        CrashingServer(random.Random(f'{seed} {n}'), results.runs)
        for n in range(SERVERS)
    ]
    entry = stack.EntryStack(servers)
    numbers = iter(range(CALLS))

    async def send_calls(client):
        for number in numbers:
            if rng.random() < 0.02:
                entry.store.faults += [rng.choice(['refuse', 'lose'])]
            await send_call(client, results, rng, number)

    async with entry.run() as client:
        async with anyio.create_task_group() as tasks:
            for _ in range(CONCURRENCY):
                tasks.start_soon(send_calls, client)
        # Servers may still run requests that have timed out.
        await anyio.sleep(0.5)
    print(f'\nseed {seed}: {dict(sorted(results.outcomes.items()))}')
    print(f'{len(results.not_run)} times not run, {len(results.keys)} keys')
    assert sum(results.outcomes.values()) >= CALLS
    assert [name for name in results.not_run if results.runs[name]] == []
    assert [name for name in results.actions if results.runs[name] > 1] == []
    assert [key for key in results.keys if results.runs[key] > 1] == []
    assert results.wrong_answers == 0
