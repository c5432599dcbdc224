"""Odd input: entries of other writers, and bytes that nobody should send."""

import base64
import json
import random

import anyio
import httpx
import msgspec

from soak import checks
from soak import keys
from soak import testbed

NESTED_LEVELS = 6000
MAX_PAUSE_SECONDS = 1.0
# How long an odd entry stays.
MAX_ENTRY_SECONDS = 3.0
EXCHANGE_TIMEOUT_SECONDS = 2.0
MAX_RANDOM_BYTES = 60
# Prefixes of the objects that VMs follow or read.
KINDS = (
    'servers',
    'versions',
    'retirements',
    'members',
    'crashes',
    'origins',
    'batches',
    'usage',
    'config',
)
NESTED = msgspec.Raw(b'[' * NESTED_LEVELS + b']' * NESTED_LEVELS)
ODD_VALUES = (
    NESTED,
    None,
    '',
    '\u0668\u0660',
    'a\nb',
    'Ia\u0219i',
    -1,
    msgspec.Raw(b'1' + b'0' * 40),
    msgspec.Raw(b'1e400'),
    -0.5,
    [],
    {'name': NESTED},
)
ODD_ADDRESSES = (
    '127.0.0.1:70000',
    '127.0.0.1:\u0668\u0660',
    '127.0.0.1:',
    'host.example:80',
    '[::1:80',
    '\x00:80',
)


class OddInput:
    """Sends odd input to the store and to VMs until cancelled.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment that receives the input.
    invariants : Invariants
        Records the checks of processes that end.
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
        """Send one kind of input after the other."""
        actions = (
            self._leave_entry,
            self._submit_batch,
            self._send_request,
            self._send_to_peer_port,
            self._break_resumptions,
        )
        while True:
            await self._rng.choice(actions)()
            await anyio.sleep(self._rng.uniform(0.0, MAX_PAUSE_SECONDS))

    async def watch_processes(self) -> None:
        """Check that no process ends but those that the run ends."""
        while True:
            for vm in self._deployment.vms:
                code = vm.process.poll() if vm.process is not None else None
                self._invariants.check(
                    'no process ends by itself',
                    code is None or vm.ends_expected,
                    (vm.name, code),
                )
                if code is not None and not vm.ends_expected:
                    vm.start()
            await anyio.sleep(0.1)

    def _make_name(self) -> str:
        self._count += 1
        return f'odd-{self._count}'

    def _draw_text(self) -> str:
        return ''.join(
            chr(self._rng.choice((self._rng.randrange(1, 256), 0x219, 10)))
            for _ in range(self._rng.randrange(1, 12))
        )

    async def _leave_entry(self) -> None:
        kind, name = self._rng.choice(KINDS), self._make_name()
        self._deployment.store.put(kind, name, self._make_entry(name))
        await anyio.sleep(self._rng.uniform(0.1, MAX_ENTRY_SECONDS))
        # A VM may have deleted it.
        if self._deployment.store.get(kind, name) is not None:
            self._deployment.store.remove(kind, name)

    def _make_entry(self, name: str) -> object:
        """Return the entry of a server with a few odd fields."""
        entry: dict[str, object] = {
            'name': name,
            'service': self._rng.choice(
                (testbed.PLAIN_SERVICE, testbed.ENGINE_SERVICE)
            ),
            'address': '127.0.0.1:1',
            'zone': 'dc-0',
            'version': 'v1',
            'capacity': 8,
            'state': 'ready',
            'born': 1,
            'models': [{'name': testbed.MODEL, 'version': 1, 'adapters': []}],
            'samples': [],
            'histories': {},
        }
        for field in self._rng.sample(sorted(entry), 2):
            values = ODD_ADDRESSES if field == 'address' else ODD_VALUES
            entry[field] = self._rng.choice(values)
        return self._rng.choice((entry, entry, entry, NESTED, 'odd', None))

    async def _submit_batch(self) -> None:
        batch_id = self._make_name()
        item = {
            'id': self._make_name(),
            'path': '/samples/odd',
            'headers': {'Swiftjunction-Model': testbed.MODEL},
            'body': base64.b64encode(b'prompt').decode(),
            'tokens': 100,
            'group': batch_id,
            'scorer': {
                'id': self._make_name(),
                'host': testbed.HOST,
                'path': '/plain/score',
                'body': base64.b64encode(b'text').decode(),
            },
        }
        change = self._rng.choice(('id', 'path', 'headers', 'scorer', 'hint'))
        text = self._draw_text()
        if change == 'headers':
            item['headers'] = {**item['headers'], text: self._draw_text()}
        elif change == 'hint':
            hint = self._rng.choice(('inf', 'nan', '-1', '1e999', '9' * 40))
            item['headers'] = {
                **item['headers'],
                'Swiftjunction-Length-Hint': hint,
            }
        elif change == 'scorer':
            item['scorer'] = {**item['scorer'], 'id': text, 'path': text}
        else:
            item[change] = text
        body = {
            'step': 0,
            'model': testbed.MODEL,
            'min_version': 1,
            'target_groups': 1,
            'items': [item],
        }
        await self._call(
            'POST',
            '/samples/new',
            batch_id,
            content=json.dumps(body).encode(),
        )
        await self._call('GET', f'/lots/{batch_id}?after=0', batch_id)
        await self._call('DELETE', f'/lots/{batch_id}', batch_id)

    async def _call(
        self, method: str, path: str, request_id: str, content: bytes = b''
    ) -> None:
        vm = self._rng.choice(self._deployment.vms)
        async with httpx.AsyncClient(
            trust_env=False, timeout=EXCHANGE_TIMEOUT_SECONDS
        ) as client:
            try:
                await client.request(
                    method,
                    f'http://{vm.front_address}{path}',
                    content=content,
                    headers={
                        **testbed.make_headers(request_id),
                        **self._ring.make_headers(),
                    },
                )
            except httpx.HTTPError:
                return

    async def _send_request(self) -> None:
        """Send a request whose path and headers have arbitrary bytes."""
        path = b'/plain/' + self._draw_bytes().replace(b'\n', b'')
        await self._exchange(
            self._rng.choice(self._deployment.vms).front_address,
            b'POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n'
            b'Swiftjunction-Attempt-Id: %s\r\n'
            b'Content-Length: 2\r\n\r\nab'
            % (
                path,
                testbed.HOST.encode(),
                self._draw_bytes(),
                self._draw_bytes(),
                self._draw_bytes(),
            ),
        )

    async def _send_to_peer_port(self) -> None:
        """Send arbitrary or deeply nested bytes to the port for peers."""
        vm = self._rng.choice(self._deployment.vms)
        nested = b'\x91' * NESTED_LEVELS
        body = self._rng.choice((nested, self._draw_bytes()))
        path = self._rng.choice(
            (b'/peer/store', b'/peer/objects', b'/peer/batches/read')
        )
        await self._exchange(
            f'{vm.ip}:{testbed.PEER_PORT}',
            b'POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s'
            % (path, len(body), body),
        )
        async with await anyio.create_udp_socket(
            local_host='127.0.0.1'
        ) as udp:
            await udp.sendto(body, vm.ip, testbed.PEER_PORT)

    async def _exchange(self, address: str, data: bytes) -> None:
        host, _, port = address.rpartition(':')
        with anyio.move_on_after(EXCHANGE_TIMEOUT_SECONDS):
            try:
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(data)
                    await stream.receive()
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                return

    def _draw_bytes(self) -> bytes:
        return self._rng.randbytes(self._rng.randrange(1, MAX_RANDOM_BYTES))

    async def _break_resumptions(self) -> None:
        """Cut streams of one engine, while the others answer with errors."""
        names = sorted(self._deployment.engines)
        cut = self._rng.choice(names)
        for name in names:
            engine = self._deployment.engines[name]
            if name == cut:
                engine.faults.set('cut', 2.0)
            else:
                engine.faults.set(self._rng.choice(('fail', 'shed')), 2.0)
