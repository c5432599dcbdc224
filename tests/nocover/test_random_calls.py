"""Thousands of calls of plain servers that fail in every way, seeded.

What callers were told is compared with what the servers ran. The counts are
printed; run with ``pytest -s`` to see them.
"""

import collections
import random

import anyio
import pytest

from swiftjunction.backends import _server
from tests import stack

pytestmark = pytest.mark.anyio

CALLS = 10_000
CALLERS = 24
SERVERS = 5
TIMEOUT_SECONDS = '0.25'
UP_SECONDS = (0.3, 2.0)
DOWN_SECONDS = (0.02, 0.2)


class CrashingServer(stack.ScriptedServer):
    """Ends and comes back at the same address; its runs are counted."""

    def __init__(self, rng, runs):
        super().__init__(self._act)
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

    async def _act(self, exchange):
        kinds = {
            self._echo: 70,
            self._close_unrun: 4,
            self._close_after_run: 5,
            self._send_half: 5,
            self._refuse: 6,
            self._run_late: 3,
            self._answer_another: 3,
            self._answer_twice: 4,
        }
        weights = list(kinds.values())
        [action] = self._rng.choices(list(kinds), weights)
        await action(exchange)

    def _note_run(self, exchange):
        self._runs[exchange.get_header('x-request-id')] += 1
        key = exchange.get_header('idempotency-key')
        if key:
            self._runs[key] += 1

    async def _echo(self, exchange):
        self._note_run(exchange)
        await exchange.echo()

    async def _close_unrun(self, exchange):
        await exchange.stream.aclose()

    async def _close_after_run(self, exchange):
        self._note_run(exchange)
        await exchange.stream.aclose()

    async def _send_half(self, exchange):
        self._note_run(exchange)
        await exchange.respond(exchange.body[:2], length=len(exchange.body))
        await exchange.stream.aclose()

    async def _refuse(self, exchange):
        await exchange.respond(
            b'', 'x-request-outcome: not-run\r\n', '503 Busy'
        )

    async def _run_late(self, exchange):
        await anyio.sleep(0.3)
        self._note_run(exchange)
        await exchange.echo()

    async def _answer_another(self, exchange):
        self._note_run(exchange)
        await exchange.respond(b'', 'x-request-id: another\r\n')

    async def _answer_twice(self, exchange):
        self._note_run(exchange)
        await exchange.echo()
        await exchange.echo()


class Tally:
    """What the callers were told."""

    def __init__(self):
        self.runs = collections.Counter()
        self.outcomes = collections.Counter()
        self.not_run = []
        self.actions = []
        self.keys = set()
        self.wrong_answers = 0


async def call(client, tally, rng, number):
    """Send one call; keyed ones are sent again while they did not end."""
    kind = rng.choice(['idempotent', 'action', 'keyed'])
    headers = {
        'x-timeout-seconds': TIMEOUT_SECONDS,
        'x-idempotent': str(kind == 'idempotent').lower(),
    }
    body = f'body {number}'.encode()
    key = f'key-{number}'
    if kind == 'keyed':
        headers['idempotency-key'] = key
        tally.keys.add(key)
    for attempt in range(3 if kind == 'keyed' else 1):
        request_id = f'call-{number}-{attempt}'
        response = await client.post(
            '/services/team/ledger/pay',
            content=body,
            headers=headers | {'x-request-id': request_id},
        )
        outcome = response.headers['x-request-outcome']
        tally.outcomes[f'{kind} {outcome}'] += 1
        if outcome == 'not-run':
            tally.not_run.append(request_id)
        elif kind == 'action':
            tally.actions.append(request_id)
        if outcome == 'complete':
            tally.wrong_answers += response.content != body
            return


@pytest.mark.parametrize('seed', [1, 2])
async def test_ten_thousand_calls_give_no_wrong_not_run_and_no_second_run(
    monkeypatch, seed
):
    monkeypatch.setattr(_server, 'EJECTION_SECONDS', 0.02)
    rng = random.Random(seed)
    tally = Tally()
    servers = [
        CrashingServer(random.Random(f'{seed} {n}'), tally.runs)
        for n in range(SERVERS)
    ]
    entry = stack.EntryStack(servers)
    numbers = iter(range(CALLS))

    async def send_calls(client):
        for number in numbers:
            if rng.random() < 0.02:
                entry.store.faults += [rng.choice(['refuse', 'lose'])]
            await call(client, tally, rng, number)

    async with entry.run() as client:
        async with anyio.create_task_group() as tasks:
            for _ in range(CALLERS):
                tasks.start_soon(send_calls, client)
        # What was given up on may still run late.
        await anyio.sleep(0.5)
    print(f'\nseed {seed}: {dict(sorted(tally.outcomes.items()))}')
    print(f'{len(tally.not_run)} times not run, {len(tally.keys)} keys')
    assert sum(tally.outcomes.values()) >= CALLS
    assert [name for name in tally.not_run if tally.runs[name]] == []
    assert [name for name in tally.actions if tally.runs[name] > 1] == []
    assert [key for key in tally.keys if tally.runs[key] > 1] == []
    assert tally.wrong_answers == 0
