"""The workload of a run: callers, a trainer and an operator."""

import base64
import collections.abc
import json
import random

import anyio
import httpx

from soak import checks
from soak import keys
from soak import streams
from soak import testbed
from swiftjunction import standins

CALL_PAUSE_SECONDS = 0.05
# Every VM must find an accepted batch after this time.
BATCH_VISIBLE_SECONDS = 1.0
STEP_TIMEOUT_SECONDS = 8.0
# A trainer ends this fraction of its batches early.
EARLY_END_FRACTION = 0.25
MAX_EARLY_END_SECONDS = 0.5
GROUP_COUNT = 4
GROUP_SIZE = 3
MEAN_CONFIG_INTERVAL_SECONDS = 2.5
POLL_INTERVAL_SECONDS = 0.25
MAX_CRASHER_SECONDS = 4.0
# After this many no VM may send the request to a server.
MAX_CRASHES = 3
NOT_FOUND_STATUSES = frozenset({404, 410})


class Workload:
    """Clients that send requests to the VMs and check the responses.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment that receives the requests.
    invariants : Invariants
        Records the checks.
    rng : random.Random
        Source of randomness for requests and VMs.
    ring : KeyRing
        The keys of requests.

    Attributes
    ----------
    outcomes : list of Outcome
        Requests of the callers and their outcomes.
    readers : list of BatchReader
        Readers of all submitted batches.
    completed_steps : int
        Number of steps whose results were all read.
    stream_caller : StreamCaller
        A caller that resumes its streams.
    """

    def __init__(
        self,
        deployment: testbed.SoakDeployment,
        invariants: checks.Invariants,
        rng: random.Random,
        ring: keys.KeyRing,
    ) -> None:
        self._ring = ring
        self._deployment = deployment
        self._invariants = invariants
        self._rng = rng
        self._next_id = 0
        self.outcomes: list[checks.Outcome] = []
        self.stream_caller = streams.StreamCaller(
            deployment, invariants, rng, ring
        )
        self.readers: list[checks.BatchReader] = []
        self.completed_steps = 0

    async def run_caller(self, keep_alive: bool) -> None:
        """Send requests one after the other until cancelled.

        Parameters
        ----------
        keep_alive : bool
            Whether a connection is used for up to 40 requests, or until the
            VM closes it. If not, each request has its own connection.
        """
        while True:
            async with httpx.AsyncClient(trust_env=False, timeout=3) as client:
                vm = self._rng.choice(self._deployment.vms)
                for _ in range(40 if keep_alive else 1):
                    if not await self._send_call(client, vm):
                        break
                    await anyio.sleep(CALL_PAUSE_SECONDS)
            await anyio.sleep(CALL_PAUSE_SECONDS)

    async def _send_call(
        self, client: httpx.AsyncClient, vm: testbed.SoakVm
    ) -> bool:
        kind = self._rng.choice(['plain', 'plain', 'once', 'streams'])
        outcome = checks.Outcome(self._make_id('r'), kind, vm.name)
        outcome.started_at = anyio.current_time()
        outcome.epoch = vm.epoch
        self.outcomes.append(outcome)
        content = outcome.request_id.encode()
        try:
            response = await client.post(
                f'http://{vm.front_address}/{kind}/{outcome.request_id}',
                content=content,
                headers={
                    **testbed.make_headers(outcome.request_id),
                    **self._ring.draw_headers(outcome.request_id),
                },
            )
        except httpx.HTTPError:
            return False
        finally:
            outcome.ended_at = anyio.current_time()
        outcome.status = response.status_code
        outcome.run = response.headers.get('x-standin-run', '')
        outcome.is_leaving = 'server-leaving' in response.headers
        outcome.limit = float(response.headers.get('server-limit', 'inf'))
        if response.status_code == 200:
            self._check_response(outcome, response)
        return True

    def _check_response(
        self, outcome: checks.Outcome, response: httpx.Response
    ) -> None:
        request_id = outcome.request_id
        if outcome.kind == 'streams':
            data = standins.list_event_data(response.text.splitlines())
            software = standins.find_software(data[:1])
            expected = standins.make_platform_stream(request_id, *software)
            body = standins.remove_additions(response.content)
        else:
            expected, body = request_id.encode(), response.content
        signature = response.headers.get('swiftjunction-response-signature')
        self._invariants.check(
            'a response is complete and belongs to its request',
            (body, signature) == (expected, f'signed.{request_id}'),
            (outcome.vm, request_id, body, signature),
        )

    def _make_id(self, prefix: str) -> str:
        self._next_id += 1
        return f'{prefix}{self._next_id}'

    async def run_crasher(self) -> None:
        """Repeatedly send a request that crashes the server that runs it."""
        while True:
            await anyio.sleep(self._rng.uniform(0.5, MAX_CRASHER_SECONDS))
            await self._send_crashing(self._rng.choice(self._deployment.vms))

    async def _send_crashing(self, vm: testbed.SoakVm) -> int:
        """Return the status; 0 if there was no response."""
        url = f'http://{vm.front_address}/plain/crash'
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=3) as client:
                response = await client.post(
                    url,
                    content=standins.POISON_MARKER,
                    headers={
                        **testbed.make_headers(self._make_id('x')),
                        **self._ring.make_headers(),
                    },
                )
        except httpx.HTTPError:
            return 0
        return response.status_code

    async def check_crashing_request(self) -> None:
        """Check that all VMs refuse the request once it crashed enough."""
        runs = self._deployment.count_poison_runs()
        if runs < MAX_CRASHES:
            return
        for vm in self._deployment.vms:
            status = await self._send_crashing(vm)
            self._invariants.check(
                'a request that crashed servers is refused by all VMs',
                self._deployment.count_poison_runs() == runs,
                (vm.name, status, runs),
            )

    async def run_trainer(self) -> None:
        """Repeatedly run a step and then set a new target version."""
        version = 1
        while True:
            body = self._make_batch(max(version - 1, 1))
            reader = checks.BatchReader(
                self._invariants, self._deployment, self._make_id('b'), body
            )
            await self._submit_batch(reader.batch_id, body)
            self.readers.append(reader)
            accepted_at = anyio.current_time()
            with anyio.move_on_after(self._draw_step_seconds()):
                while not reader.is_complete:
                    await self._read_batch(reader, accepted_at)
                    await anyio.sleep(POLL_INTERVAL_SECONDS)
            if reader.is_complete:
                self.completed_steps += 1
            await self._end_batch(reader.batch_id)
            reader.ended_at = anyio.current_time()
            version += 1
            self._deployment.set_target_version(version)

    def _draw_step_seconds(self) -> float:
        if self._rng.random() < EARLY_END_FRACTION:
            return self._rng.uniform(0.0, MAX_EARLY_END_SECONDS)
        return STEP_TIMEOUT_SECONDS

    def _make_batch(self, min_version: int) -> dict:
        prefix = self._make_id('s')
        return {
            'step': 0,
            'model': testbed.MODEL,
            'min_version': min_version,
            'target_groups': GROUP_COUNT,
            'items': [
                self._make_item(f'{prefix}g{group}', number)
                for group in range(GROUP_COUNT)
                for number in range(GROUP_SIZE)
            ],
        }

    def _make_item(self, group: str, number: int) -> dict:
        name = f'{group}.{number}'
        return {
            'id': name,
            'path': f'/samples/{name}',
            'headers': {'Swiftjunction-Model': testbed.MODEL},
            'body': base64.b64encode(b'prompt').decode(),
            'tokens': 100,
            'group': group,
            'scorer': {
                'id': f'score-{name}',
                'host': testbed.HOST,
                'path': '/plain/score',
                'body': base64.b64encode(b'text').decode(),
            },
        }

    async def _submit_batch(self, batch_id: str, body: dict) -> None:
        while True:
            response = await self.send_request(
                'POST',
                '/samples/new',
                content=json.dumps(body).encode(),
                headers={'swiftjunction-attempt-id': batch_id},
            )
            if response is not None and response.status_code == 202:
                return
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def _read_batch(
        self, reader: checks.BatchReader, accepted_at: float
    ) -> None:
        position = self._rng.choice([0, len(reader.results)])
        started_at = anyio.current_time()
        response = await self.send_request(
            'GET',
            f'/lots/{reader.batch_id}?after={position}',
            headers={'swiftjunction-wait-ms': '500'},
        )
        if response is None:
            return
        if started_at - accepted_at > BATCH_VISIBLE_SECONDS:
            self._invariants.check(
                'an accepted batch is found',
                response.status_code not in NOT_FOUND_STATUSES,
                (reader.batch_id, response.status_code),
            )
        if response.status_code == 200:
            reader.record_page(position, response.json())

    async def _end_batch(self, batch_id: str) -> None:
        while True:
            response = await self.send_request('DELETE', f'/lots/{batch_id}')
            if response is not None and response.status_code == 200:
                return
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def reread_batches(self) -> None:
        """Read all batches again, from the first result."""
        for reader in self.readers:
            position = 0
            while position < len(reader.results):
                response = await self.send_request(
                    'GET', f'/lots/{reader.batch_id}?after={position}'
                )
                if response is None or response.status_code >= 500:
                    await anyio.sleep(POLL_INTERVAL_SECONDS)
                    continue
                page = response.json() if response.is_success else {}
                self._invariants.check(
                    'results that were read remain available',
                    bool(page.get('results')),
                    (reader.batch_id, position, response.status_code),
                )
                if not page.get('results'):
                    break
                reader.record_page(position, page)
                position += len(page['results'])

    async def send_request(
        self, method: str, path: str, **options: object
    ) -> httpx.Response | None:
        """Send a request to a random VM; None if there is no response."""
        vm = self._rng.choice(self._deployment.vms)
        headers = {
            'host': testbed.HOST,
            **self._ring.make_headers(),
            **options.pop('headers', {}),
        }
        url = f'http://{vm.front_address}{path}'
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=4) as client:
                return await client.request(
                    method, url, headers=headers, **options
                )
        except httpx.HTTPError:
            return None

    async def run_operator(self) -> None:
        """Change the configuration at random times, and monitor each VM."""
        async with anyio.create_task_group() as tasks:
            for vm in self._deployment.vms:
                tasks.start_soon(self._monitor_config, vm)
            while True:
                await anyio.sleep(
                    self._rng.uniform(0.3, 2 * MEAN_CONFIG_INTERVAL_SECONDS)
                )
                self._deployment.write_config(
                    self._deployment.config_version + 1
                )

    async def check_config_propagation(self) -> None:
        """Write a new configuration, and check that all VMs apply it."""
        version = self._deployment.config_version + 1
        self._deployment.write_config(version)
        await anyio.sleep(testbed.CONFIG_PROPAGATION_SECONDS)
        for vm in self._deployment.vms:
            status = await self._probe_route(vm, version)
            self._invariants.check(
                'a configuration is applied in time',
                status not in NOT_FOUND_STATUSES,
                (vm.name, version, status),
            )

    async def _monitor_config(self, vm: testbed.SoakVm) -> None:
        previous = (0, 0)
        async for start_count, version in self._iter_applied_versions(vm):
            if start_count == previous[0]:
                self._invariants.check(
                    'a configuration never reverts',
                    version >= previous[1],
                    (vm.name, version, previous),
                )
            previous = (start_count, version)

    async def _iter_applied_versions(
        self, vm: testbed.SoakVm
    ) -> collections.abc.AsyncGenerator[tuple[int, int], None]:
        """Yield a VM's number of starts and its newest applied version."""
        while True:
            await anyio.sleep(POLL_INTERVAL_SECONDS)
            newest = self._deployment.config_version
            is_due = self._deployment.is_config_due()
            start_count = vm.start_count
            for version in range(newest, max(newest - 3, 0), -1):
                status = await self._probe_route(vm, version)
                if version == newest and is_due and status:
                    self._invariants.check(
                        'a configuration is applied in time',
                        status not in NOT_FOUND_STATUSES,
                        (vm.name, version, status),
                    )
                if status == 200 and start_count == vm.start_count:
                    yield start_count, version
                    break

    async def _probe_route(self, vm: testbed.SoakVm, version: int) -> int:
        """Call the route of a version; return its status, 0 if none."""
        request_id = self._make_id('p')
        url = f'http://{vm.front_address}/v{version}/{request_id}'
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=2) as client:
                response = await client.post(
                    url,
                    headers={
                        **testbed.make_headers(request_id),
                        **self._ring.make_headers(),
                    },
                )
        except httpx.HTTPError:
            return 0
        return response.status_code
