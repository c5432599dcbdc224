"""An entry's whole stack in front of scripted servers on raw sockets."""

import contextlib
import random

import anyio
import anyio.abc
import anyio.streams.buffered
import httpx
import msgspec

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import membership
from swiftjunction import requests
from swiftjunction import routing
from swiftjunction import standins
from swiftjunction import telemetry
from swiftjunction import web
from swiftjunction import weights
from tests import conftest

PATHS = {
    'team/fit': configuration.PathSettings(model='fit', freshness_versions=1),
    'team/ledger': configuration.PathSettings(service='ledger'),
}
VERSION = 3


class Exchange:
    """One connection to a scripted server, after a request was read."""

    def __init__(self, stream, head, body):
        self.stream = stream
        self.head = head
        self.body = body

    def header(self, name):
        for line in self.head.split('\r\n')[1:]:
            key, _, value = line.partition(':')
            if key.lower() == name:
                return value.strip()
        return ''

    async def send(self, data):
        await self.stream.send(data)

    async def answer(self, body, headers='', status='200 OK', length=None):
        size = len(body) if length is None else length
        await self.send(
            f'HTTP/1.1 {status}\r\ncontent-length: {size}\r\n'
            f'{headers}\r\n'.encode()
            + body
        )

    async def echo(self, headers=''):
        own = f'x-request-id: {self.header("x-request-id")}\r\n'
        await self.answer(self.body, own + headers)


class ScriptedServer:
    """Reads requests from raw connections and does what its script says.

    Attributes
    ----------
    read : list of str
        The id of each request that was read whole.
    """

    def __init__(self, script, early=False):
        self.read = []
        self.address = '127.0.0.1:9'
        self._script = script
        self._early = early

    async def run(self, *, task_status):
        if self._script is None:
            task_status.started()
            return
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f'127.0.0.1:{port}'
        task_status.started()
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, stream):
        buffered = anyio.streams.buffered.BufferedByteReceiveStream(stream)
        with contextlib.suppress(
            anyio.BrokenResourceError,
            anyio.IncompleteRead,
            anyio.EndOfStream,
            anyio.ClosedResourceError,
        ):
            async with stream:
                if self._early:
                    await self._script(Exchange(stream, '', b''))
                    return
                while True:
                    await self._serve_one(stream, buffered)

    async def _serve_one(self, stream, buffered):
        head = await buffered.receive_until(b'\r\n\r\n', 1 << 20)
        exchange = Exchange(stream, head.decode('latin-1'), b'')
        size = int(exchange.header('content-length') or 0)
        if size:
            exchange.body = await buffered.receive_exactly(size)
        if exchange.head.startswith(('GET /health', 'DELETE')):
            await exchange.answer(b'{}')
            return
        if exchange.head.startswith('GET /v1/completions'):
            await exchange.answer(b'{}', status='404 Unknown')
            return
        self.read.append(exchange.header('x-request-id'))
        await self._script(exchange)


class Stack:
    """What an entry is made of, without its process."""

    def __init__(self, services=(), engines=()):
        self.table = membership.RecordTable()
        self.store = conftest.MemoryStore()
        self._servers = {'ledger': services, 'fit': engines}
        self._peers = web.PeerClients()
        self.directory = backends.Directory(self.table)
        board = weights.VersionTracker(self.table)
        router = routing.Router(self.directory, '', random.Random(1))
        budget = requests.RetryBudget()
        suspects = requests.SuspectTracker(self.table, 'entry')
        live = requests.EntryApp(
            configuration.Tree(self.table),
            requests.AdmissionController(1000),
            requests.CompletionGenerator(
                router,
                backends.EngineClient(self._peers),
                board,
                budget,
                suspects,
            ),
            requests.Forwarder(
                router,
                backends.ServiceClient(self._peers),
                requests.ClaimStore(self.store, 'entry'),
                budget,
                suspects,
            ),
            requests.EntrySelector(
                membership.ProcessList(self.table), 5.0, random.Random(1)
            ),
            telemetry.Metrics(),
        )
        self.app = requests.build_app(live, [])

    @contextlib.asynccontextmanager
    async def run(self, configured=True):
        """Yield a client of the entry while all servers run."""
        async with anyio.create_task_group() as tasks:
            for service, servers in self._servers.items():
                for number, server in enumerate(servers):
                    await tasks.start(server.run)
                    self._report(service, number, server)
            if configured:
                self._configure()
            transport = httpx.ASGITransport(self.app)
            client = httpx.AsyncClient(
                transport=transport, base_url='http://entry', timeout=20
            )
            async with client:
                yield client
            await self._peers.close()
            tasks.cancel_scope.cancel()

    def _report(self, service, number, server):
        name = f'{service}-{number}'
        version = VERSION if service == 'fit' else 0
        report = backends.ServerReport(
            name, server.address, service, 'dc', weight_version=version
        )
        self.table.put(f'server/{name}', msgspec.msgpack.encode(report))

    def _configure(self):
        subtree = configuration.Subtree('team', paths=PATHS)
        self.table.put('config/team', msgspec.json.encode(subtree))
        history = weights.VersionHistory('fit')
        while history.newest < VERSION:
            history.add(1.0)
        self.table.put('weights/fit', msgspec.json.encode(history))


def frame(exchange, offset=0, tokens=None, last=True, **changes):
    """Return one chunk of the right answer to an engine's request."""
    asked = msgspec.json.decode(exchange.body)
    prompt, most = asked['prompt'], asked['max_tokens']
    total = standins.count_tokens(prompt, 0, most)
    end = total if tokens is None else offset + tokens
    whole = standins.make_completion_text(prompt, 0, most).split(' ')
    text = ''.join(f'{token} ' for token in whole[offset:end])
    chunk = {
        'id': exchange.header('x-request-id'),
        'choices': [{'text': text, 'finish_reason': 'stop' if last else None}],
        'offset': offset,
        'tokens': end - offset,
        'weight_version': VERSION,
    } | changes
    return b'data: ' + msgspec.json.encode(chunk) + b'\n\n'


async def generate(exchange):
    """Answer as a good engine does, from the token that was asked for."""
    asked = msgspec.json.decode(exchange.body)
    await start_stream(exchange)
    await exchange.send(frame(exchange, asked['generated_tokens']))
    await exchange.send(b'data: [DONE]\n\n')
    await exchange.stream.aclose()


async def start_stream(exchange, kind='text/event-stream'):
    """Send the head of an engine's answer."""
    await exchange.send(
        f'HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\n'
        'connection: close\r\n\r\n'.encode()
    )
