"""Callers, a trainer and the operator of a run."""

import base64
import collections.abc
import json
import random

import anyio
import httpx

from soak import checks
from soak import world
from swiftjunction import standins

CALL_PAUSE_SECONDS = 0.05
DEADLINE_MS = 2000
# A batch that was accepted must be found everywhere after this time.
SETTLE_SECONDS = 1.0
STEP_SECONDS = 8.0
GROUPS = 4
GROUP_SIZE = 3
CONFIG_SECONDS = 2.5
READ_PAUSE_SECONDS = 0.25
NOT_FOUND = frozenset({404, 410})


class Load:
    """All that asks something of the VMs.

    Parameters
    ----------
    deployment : World
        The VMs and servers.
    promises : Promises
        What is checked.
    rng : random.Random
        Draws requests and VMs.
    """

    def __init__(
        self,
        deployment: world.World,
        promises: checks.Promises,
        rng: random.Random,
    ) -> None:
        self._world = deployment
        self._promises = promises
        self._rng = rng
        self._next_id = 0
        self.outcomes: list[checks.Outcome] = []
        self.readers: list[checks.BatchReader] = []
        self.steps = 0

    async def call(self, kept: bool) -> None:
        """Send requests one after the other, until cancelled.

        Parameters
        ----------
        kept : bool
            Whether connections are kept until their VM closes them.
        """
        while True:
            async with httpx.AsyncClient(trust_env=False, timeout=3) as client:
                vm = self._rng.choice(self._world.vms)
                for _ in range(40 if kept else 1):
                    if not await self._call_once(client, vm):
                        break
                    await anyio.sleep(CALL_PAUSE_SECONDS)
            await anyio.sleep(CALL_PAUSE_SECONDS)

    async def _call_once(
        self, client: httpx.AsyncClient, vm: world.Vm
    ) -> bool:
        kind = self._rng.choice(['plain', 'plain', 'once', 'streams'])
        outcome = checks.Outcome(self._name('r'), kind, vm.name)
        outcome.began_at = anyio.current_time()
        self.outcomes.append(outcome)
        content = outcome.request_id.encode()
        try:
            answer = await client.post(
                f'http://{vm.front}/{kind}/{outcome.request_id}',
                content=content,
                headers=self._make_headers(outcome.request_id),
            )
        except httpx.HTTPError:
            return False
        finally:
            outcome.ended_at = anyio.current_time()
        outcome.status = answer.status_code
        if answer.status_code == 200:
            self._check_answer(outcome, answer)
        return True

    def _make_headers(self, request_id: str) -> dict[str, str]:
        return {
            'host': world.HOST,
            'swiftjunction-attempt-id': request_id,
            'swiftjunction-deadline-ms': str(DEADLINE_MS),
            'swiftjunction-model': world.MODEL,
        }

    def _check_answer(
        self, outcome: checks.Outcome, answer: httpx.Response
    ) -> None:
        request_id = outcome.request_id
        if outcome.kind == 'streams':
            wanted = standins.make_platform_text(request_id)
            lines = answer.text.splitlines()
            text = '\n'.join(
                line.removeprefix('data: ')
                for line in lines
                if line.startswith('data: ')
            )
        else:
            wanted, text = request_id, answer.text
        signature = answer.headers.get('swiftjunction-response-signature')
        self._promises.check(
            "an answer is whole and its own request's",
            (text, signature) == (wanted, f'signed.{request_id}'),
            (outcome.vm, request_id, text, signature),
        )

    def _name(self, prefix: str) -> str:
        self._next_id += 1
        return f'{prefix}{self._next_id}'

    async def train(self) -> None:
        """Submit a step, read it, end it and name a version, and so on."""
        version = 1
        while True:
            body = self._make_step(max(version - 1, 1))
            reader = checks.BatchReader(
                self._promises, self._world, self._name('b'), body
            )
            await self._submit(reader.batch_id, body)
            self.readers.append(reader)
            accepted_at = anyio.current_time()
            with anyio.move_on_after(STEP_SECONDS):
                while not reader.is_complete:
                    await self._read(reader, accepted_at)
                    await anyio.sleep(READ_PAUSE_SECONDS)
            if reader.is_complete:
                self.steps += 1
            await self._end(reader.batch_id)
            version += 1
            self._world.name_version(version)

    def _make_step(self, min_version: int) -> dict:
        step = self._name('s')
        return {
            'step': 0,
            'model': world.MODEL,
            'min_version': min_version,
            'target_groups': GROUPS,
            'items': [
                self._make_item(f'{step}g{group}', number)
                for group in range(GROUPS)
                for number in range(GROUP_SIZE)
            ],
        }

    def _make_item(self, group: str, number: int) -> dict:
        name = f'{group}.{number}'
        return {
            'id': name,
            'path': f'/samples/{name}',
            'headers': {'Swiftjunction-Model': world.MODEL},
            'body': base64.b64encode(b'prompt').decode(),
            'tokens': 100,
            'group': group,
            'scorer': {
                'id': f'score-{name}',
                'host': world.HOST,
                'path': '/plain/score',
                'body': base64.b64encode(b'text').decode(),
            },
        }

    async def _submit(self, batch_id: str, body: dict) -> None:
        while True:
            answer = await self.ask(
                'POST',
                '/samples/new',
                content=json.dumps(body).encode(),
                headers={'swiftjunction-attempt-id': batch_id},
            )
            if answer is not None and answer.status_code == 202:
                return
            await anyio.sleep(READ_PAUSE_SECONDS)

    async def _read(
        self, reader: checks.BatchReader, accepted_at: float
    ) -> None:
        position = self._rng.choice([0, len(reader.results)])
        began = anyio.current_time()
        answer = await self.ask(
            'GET',
            f'/lots/{reader.batch_id}?after={position}',
            headers={'swiftjunction-wait-ms': '500'},
        )
        if answer is None:
            return
        if began - accepted_at > SETTLE_SECONDS:
            self._promises.check(
                'an accepted batch is found',
                answer.status_code not in NOT_FOUND,
                (reader.batch_id, answer.status_code),
            )
        if answer.status_code == 200:
            reader.note_page(position, answer.json())

    async def _end(self, batch_id: str) -> None:
        while True:
            answer = await self.ask('DELETE', f'/lots/{batch_id}')
            if answer is not None and answer.status_code == 200:
                return
            await anyio.sleep(READ_PAUSE_SECONDS)

    async def read_again(self) -> None:
        """Read every batch from its start once more."""
        for reader in self.readers:
            position = 0
            while position < len(reader.results):
                answer = await self.ask(
                    'GET', f'/lots/{reader.batch_id}?after={position}'
                )
                if answer is None or answer.status_code >= 500:
                    await anyio.sleep(READ_PAUSE_SECONDS)
                    continue
                found = answer.json() if answer.is_success else {}
                self._promises.check(
                    'what was read is found again',
                    bool(found.get('results')),
                    (reader.batch_id, position, answer.status_code),
                )
                if not found.get('results'):
                    break
                reader.note_page(position, found)
                position += len(found['results'])

    async def ask(
        self, method: str, path: str, **options: object
    ) -> httpx.Response | None:
        """Send one request to any VM; None where there is no answer."""
        vm = self._rng.choice(self._world.vms)
        headers = {'host': world.HOST, **options.pop('headers', {})}
        url = f'http://{vm.front}{path}'
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=4) as client:
                return await client.request(
                    method, url, headers=headers, **options
                )
        except httpx.HTTPError:
            return None

    async def operate(self) -> None:
        """Change the configuration now and then, and probe each VM for it."""
        async with anyio.create_task_group() as tasks:
            for vm in self._world.vms:
                tasks.start_soon(self._probe, vm)
            while True:
                await anyio.sleep(self._rng.uniform(0.3, 2 * CONFIG_SECONDS))
                self._world.write_config(self._world.config_version + 1)

    async def check_configuration(self) -> None:
        """Change the configuration; each VM has it in time."""
        version = self._world.config_version + 1
        self._world.write_config(version)
        await anyio.sleep(world.CONFIG_BOUND_SECONDS)
        for vm in self._world.vms:
            status = await self._probe_route(vm, version)
            self._promises.check(
                'a configuration is in force in time',
                status not in NOT_FOUND,
                (vm.name, version, status),
            )

    async def _probe(self, vm: world.Vm) -> None:
        seen = (0, 0)
        async for life, version in self._list_in_force(vm):
            if life == seen[0]:
                self._promises.check(
                    'a configuration never reverts',
                    version >= seen[1],
                    (vm.name, version, seen),
                )
            seen = (life, version)

    async def _list_in_force(
        self, vm: world.Vm
    ) -> collections.abc.AsyncGenerator[tuple[int, int], None]:
        """Yield the version that a VM showed, and in which of its lives."""
        while True:
            await anyio.sleep(READ_PAUSE_SECONDS)
            newest = self._world.config_version
            is_due = self._world.is_config_due()
            life = vm.lives
            for version in range(newest, max(newest - 3, 0), -1):
                status = await self._probe_route(vm, version)
                if version == newest and is_due and status:
                    self._promises.check(
                        'a configuration is in force in time',
                        status not in NOT_FOUND,
                        (vm.name, version, status),
                    )
                if status == 200 and life == vm.lives:
                    yield life, version
                    break

    async def _probe_route(self, vm: world.Vm, version: int) -> int:
        """Return the status of a version's own route; 0 for no answer."""
        request_id = self._name('p')
        url = f'http://{vm.front}/v{version}/{request_id}'
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=2) as client:
                answer = await client.post(
                    url, headers=self._make_headers(request_id)
                )
        except httpx.HTTPError:
            return 0
        return answer.status_code
