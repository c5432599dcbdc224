"""Clients that misbehave: they send ahead, do not read, or do not go on."""

import collections.abc
import contextlib
import pathlib
import random

import anyio
import anyio.abc
import httpx

from soak import checks
from soak import keys
from soak import testbed

MEMORY_MB = 160
SETTINGS = (f'limits.memory_mb={MEMORY_MB}', 'limits.max_fds=600')
BYTES_PER_MB = 1024 * 1024
BYTES_PER_KB = 1024
CROWD_COUNT = 2
MAX_HOLD_SECONDS = 3.0
MAX_PAUSE_SECONDS = 1.0
SMALL_REQUESTS = 60
LARGE_REQUESTS = 6
LARGE_BODY_BYTES = 200_000
# Connections of a crowd that sends requests ahead, and of one that does not.
FEW_CONNECTIONS = 3
MANY_CONNECTIONS = 30
HTTP_2_PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' + bytes(9)
ANSWER_TIMEOUT_SECONDS = 12.0
POLL_INTERVAL_SECONDS = 0.2
CLOSED_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Crowds:
    """Crowds of clients that misbehave, beside ordinary ones.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment whose VMs they connect to.
    invariants : Invariants
        Records the checks of memory and answers.
    rng : random.Random
        Source of randomness.
    ring : KeyRing
        The keys of requests.
    """

    __slots__ = ('_count', '_deployment', '_invariants', '_ring', '_rng')

    def __init__(
        self,
        deployment: testbed.SoakDeployment,
        invariants: checks.Invariants,
        rng: random.Random,
        ring: keys.KeyRing,
    ) -> None:
        self._deployment = deployment
        self._invariants = invariants
        self._rng = rng
        self._ring = ring
        self._count = 0

    async def run(self) -> None:
        """Run crowds until cancelled."""
        async with anyio.create_task_group() as tasks:
            for _ in range(CROWD_COUNT):
                tasks.start_soon(self._run_crowds)
            tasks.start_soon(self._watch_memory)

    async def check_answers(self) -> None:
        """Check that an ordinary caller gets an answer from each VM."""
        async with anyio.create_task_group() as tasks:
            for vm in self._deployment.vms:
                tasks.start_soon(self._check_answer, vm)

    async def _run_crowds(self) -> None:
        """Run one crowd after the other."""
        kinds = (
            self._make_ahead,
            self._make_large_ahead,
            self._make_incomplete_body,
            self._make_incomplete_head,
            self._make_http_2,
            self._make_nothing,
        )
        while True:
            vm = self._rng.choice(self._deployment.vms)
            connections, make_bytes = self._rng.choice(kinds)()
            with anyio.move_on_after(self._rng.uniform(0.1, MAX_HOLD_SECONDS)):
                async with anyio.create_task_group() as tasks:
                    for _ in range(connections):
                        tasks.start_soon(
                            self._connect, vm.front_address, make_bytes()
                        )
            await anyio.sleep(self._rng.uniform(0.0, MAX_PAUSE_SECONDS))

    async def _connect(self, address: str, data: bytes) -> None:
        """Send bytes and read nothing until cancelled, then leave at once."""
        host, _, port = address.rpartition(':')
        with contextlib.suppress(*CLOSED_ERRORS):
            stream = await anyio.connect_tcp(host, int(port))
            try:
                if data:
                    await stream.send(data)
                await anyio.sleep_forever()
            finally:
                await anyio.aclose_forcefully(stream)

    def _make_ahead(self) -> tuple[int, collections.abc.Callable]:
        return FEW_CONNECTIONS, lambda: b''.join(
            self._make_request(b'') for _ in range(SMALL_REQUESTS)
        )

    def _make_large_ahead(self) -> tuple[int, collections.abc.Callable]:
        body = bytes(LARGE_BODY_BYTES)
        return FEW_CONNECTIONS, lambda: b''.join(
            self._make_request(body) for _ in range(LARGE_REQUESTS)
        )

    def _make_incomplete_body(self) -> tuple[int, collections.abc.Callable]:
        body = bytes(LARGE_BODY_BYTES)
        return MANY_CONNECTIONS, lambda: self._make_request(body)[:-1]

    def _make_incomplete_head(self) -> tuple[int, collections.abc.Callable]:
        return MANY_CONNECTIONS, lambda: self._make_request(b'')[:-2]

    def _make_http_2(self) -> tuple[int, collections.abc.Callable]:
        return FEW_CONNECTIONS, lambda: HTTP_2_PREFACE

    def _make_nothing(self) -> tuple[int, collections.abc.Callable]:
        return 4 * MANY_CONNECTIONS, bytes

    def _make_request(self, body: bytes) -> bytes:
        headers = {
            **testbed.make_headers(self._make_id()),
            **self._ring.make_headers(),
            'content-length': str(len(body)),
        }
        lines = [f'{name}: {value}' for name, value in headers.items()]
        head = '\r\n'.join(['POST /plain/crowd HTTP/1.1', *lines, '', ''])
        return head.encode() + body

    def _make_id(self) -> str:
        self._count += 1
        return f'crowd-{self._count}'

    async def _watch_memory(self) -> None:
        while True:
            for vm in self._deployment.vms:
                self._check_memory(vm)
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    def _check_memory(self, vm: testbed.SoakVm) -> None:
        if vm.process is None or vm.process.poll() is not None:
            return
        status = pathlib.Path(f'/proc/{vm.process.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmHWM:'):
                peak_bytes = int(line.split()[1]) * BYTES_PER_KB
                self._invariants.check(
                    'a VM stays within its memory',
                    peak_bytes <= MEMORY_MB * BYTES_PER_MB,
                    (vm.name, peak_bytes),
                )

    async def _check_answer(self, vm: testbed.SoakVm) -> None:
        status = 0
        with anyio.move_on_after(ANSWER_TIMEOUT_SECONDS):
            while status != 200:
                status = await self._send(vm)
                await anyio.sleep(POLL_INTERVAL_SECONDS)
        self._invariants.check(
            'a caller gets an answer beside clients that misbehave',
            status == 200,
            (vm.name, status),
        )

    async def _send(self, vm: testbed.SoakVm) -> int:
        """Return the status; 0 if there was no response."""
        request_id = self._make_id()
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=3) as client:
                response = await client.post(
                    f'http://{vm.front_address}/plain/{request_id}',
                    headers={
                        **testbed.make_headers(request_id),
                        **self._ring.make_headers(),
                    },
                )
        except httpx.HTTPError:
            return 0
        return response.status_code
