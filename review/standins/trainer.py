"""A stand-in for a trainer: submits batches, reads results, ends batches."""

import asyncio
import base64
import json
import time

import deployment
import web

ROUTE_PREFIX = '/roll/'
SCORE_PATH = '/score/20'
ENGINES = 'llm'
SCORERS = 'scores'
MODEL = 'm0'
DUE_SECONDS = 7.5
READ_SECONDS = 0.5
HEADERS = {
    'Swiftjunction-Model': MODEL,
    'Swiftjunction-Token-Usage': '540,400',
    'Swiftjunction-Prompt-Prefix': '9c2e41:300,5d07b8:240',
}


def make_routes():
    """Return a route for batches, and one for the calls that score them."""
    return [
        {
            'name': 'r-roll',
            'host': deployment.HOST,
            'path_prefix': ROUTE_PREFIX,
            'kind': 'rollout',
            'slo_ms': 400,
            'due_ms': int(DUE_SECONDS * 1000),
            'max_age_s': 40,
            'priority': 1,
            'service': ENGINES,
            'max_attempts': 3,
        },
        {
            'name': 'r-score',
            'host': deployment.HOST,
            'path_prefix': '/score/',
            'kind': 'safe',
            'timeout_ms': 2000,
            'slo_ms': 400,
            'priority': 2,
            'service': SCORERS,
            'max_attempts': 4,
        },
    ]


def make_services():
    return {
        ENGINES: {'engine': {'capacity': 8, 'models': [{'name': MODEL}]}},
        SCORERS: {},
    }


def make_item(batch_id, group, index, headers=()):
    item_id = f'{batch_id}-{group}-{index}'
    return {
        'id': item_id,
        'path': f'{ROUTE_PREFIX}{group}/{index}',
        'headers': {**HEADERS, **dict(headers)},
        'body': base64.b64encode(b'prompt').decode(),
        'tokens': 940,
        'group': f'{batch_id}-{group}',
        'scorer': {
            'id': f'score-{item_id}',
            'host': deployment.HOST,
            'path': SCORE_PATH,
            'body': base64.b64encode(b'reference').decode(),
        },
    }


class Batch:
    """One submission, and what its trainer has read of it."""

    def __init__(self, play, batch_id, step, items):
        self.play = play
        self.id = batch_id
        self.step = step
        self.items = items
        self.submitted_at = None
        self.accepted = False
        self.results = []
        self.statuses = []

    async def submit(self, vms):
        """Submit it, at one machine after the other until it is accepted."""
        body = json.dumps(
            {
                'step': self.step,
                'model': MODEL,
                'min_version': 1,
                'target_groups': len({i['group'] for i in self.items}),
                'items': self.items,
            }
        ).encode()
        self.submitted_at = time.monotonic()
        for vm in vms:
            answer = await self._call(
                vm, 'POST', f'{ROUTE_PREFIX}{self.id}', body
            )
            self.play.note(
                f'{self.id}: submitted at {vm.name}: {answer.describe()}'
            )
            if answer.status == 202:
                self.accepted = True
                return

    async def read(self, vm, after=None):
        """Read results from a position on, by default the next ones."""
        after = len(self.results) if after is None else after
        answer = await self._call(vm, 'GET', f'/lots/{self.id}?after={after}')
        self.statuses.append(answer.status)
        if answer.status == 200:
            page = answer.json()['results']
            self.results = self.results[:after] + page
        return answer

    async def read_until(self, vms, end):
        """Read about twice a second, until all is listed or time is up."""
        number = 0
        while time.monotonic() < end and len(self.results) < len(self.items):
            await self.read(vms[number % len(vms)])
            number += 1
            await asyncio.sleep(READ_SECONDS)
        self.play.note(
            f'{self.id}: {len(self.results)} of {len(self.items)} results '
            f'read; statuses {sorted(set(self.statuses))}'
        )

    async def end(self, vm):
        answer = await self._call(vm, 'DELETE', f'/lots/{self.id}')
        self.play.note(f'{self.id}: ended at {vm.name}: {answer.describe()}')
        return answer

    async def _call(self, vm, method, target, body=b''):
        return await web.call(
            vm.get_address('front'),
            method,
            target,
            [
                ('Host', deployment.HOST),
                ('Swiftjunction-Attempt-Id', self.id),
                ('Content-Type', 'application/json'),
            ],
            body,
            timeout=3.0,
        )
