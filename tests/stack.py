"""Request stack of an entry, in front of scripted servers on raw sockets."""

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
    """One HTTP exchange on a connection to a scripted server.

    Attributes
    ----------
    stream : anyio.abc.SocketStream
        The connection.
    head : str
        Request line and headers; empty if no request was read.
    body : bytes
        Body of the request.
    """

    def __init__(self, stream, head, body):
        self.stream = stream
        self.head = head
        self.body = body

    def get_header(self, name):
        """Return a request header by its lower-case name, or an empty text."""
        for line in self.head.split('\r\n')[1:]:
            key, _, value = line.partition(':')
            if key.lower() == name:
                return value.strip()
        return ''

    async def send(self, data):
        await self.stream.send(data)

    async def respond(self, body, headers='', status='200 OK', length=None):
        """Send a response; `length` replaces the size of the body."""
        size = len(body) if length is None else length
        await self.send(
            f'HTTP/1.1 {status}\r\ncontent-length: {size}\r\n'
            f'{headers}\r\n'.encode()
            + body
        )

    async def echo(self, headers=''):
        """Respond with the id and the body of the request."""
        id_header = f'x-request-id: {self.get_header("x-request-id")}\r\n'
        await self.respond(self.body, id_header + headers)


class ScriptedServer:
    """Server on raw sockets that passes each request to a script.

    Parameters
    ----------
    script : callable, optional
        Receives an :class:`Exchange`. None if nothing listens on the address.
    before_request : bool
        Whether to call the script on each new connection, without reading a
        request.

    Attributes
    ----------
    request_ids : list of str
        Id of each request that was read completely.
    address : str
        Host and port.
    """

    def __init__(self, script, before_request=False):
        self.request_ids = []
        self.address = '127.0.0.1:9'
        self._script = script
        self._before_request = before_request

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
                if self._before_request:
                    await self._script(Exchange(stream, '', b''))
                    return
                while True:
                    await self._serve_request(stream, buffered)

    async def _serve_request(self, stream, buffered):
        head = await buffered.receive_until(b'\r\n\r\n', 1 << 20)
        exchange = Exchange(stream, head.decode('latin-1'), b'')
        size = int(exchange.get_header('content-length') or 0)
        if size:
            exchange.body = await buffered.receive_exactly(size)
        if exchange.head.startswith(('GET /health', 'DELETE')):
            await exchange.respond(b'{}')
            return
        if exchange.head.startswith('GET /v1/completions'):
            await exchange.respond(b'{}', status='404 Unknown')
            return
        self.request_ids.append(exchange.get_header('x-request-id'))
        await self._script(exchange)


class EntryStack:
    """The components of an entry, without its process.

    Parameters
    ----------
    services, engines : sequence of ScriptedServer
        Backend servers of the service ``ledger`` and of the model ``fit``.
    """

    def __init__(self, services=(), engines=()):
        self.table = membership.RecordTable()
        self.store = conftest.MemoryStore()
        self._servers = {'ledger': services, 'fit': engines}
        self._peers = web.PeerClients()
        self.directory = backends.Directory(self.table)
        version_tracker = weights.VersionTracker(self.table)
        router = routing.Router(self.directory, '', random.Random(1))
        budget = requests.RetryBudget()
        suspects = requests.SuspectTracker(
            requests.RecordCrashRegistry(self.table), 'entry'
        )
        entry_app = requests.EntryApp(
            configuration.Tree(self.table),
            requests.AdmissionController(1000),
            requests.CompletionGenerator(
                router,
                backends.EngineClient(self._peers),
                version_tracker,
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
        self.app = requests.build_app(entry_app, [])

    @contextlib.asynccontextmanager
    async def run(self, configured=True):
        """Run all servers and yield an HTTP client of the entry."""
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


def make_event(exchange, offset=0, tokens=None, last=True, **changes):
    """Return a server-sent event with part of the expected completion.

    Parameters
    ----------
    exchange : Exchange
        A request for a completion.
    offset : int
        Index of the first token.
    tokens : int, optional
        Number of tokens; all that are left by default.
    last : bool
        Whether the event says that the completion is finished.
    **changes
        Fields that replace those of the correct event.
    """
    request = msgspec.json.decode(exchange.body)
    prompt, max_tokens = request['prompt'], request['max_tokens']
    total = standins.count_tokens(prompt, 0, max_tokens)
    end = total if tokens is None else offset + tokens
    words = standins.make_completion_text(prompt, 0, max_tokens).split(' ')
    text = ''.join(f'{token} ' for token in words[offset:end])
    chunk = {
        'id': exchange.get_header('x-request-id'),
        'choices': [{'text': text, 'finish_reason': 'stop' if last else None}],
        'offset': offset,
        'tokens': end - offset,
        'weight_version': VERSION,
    } | changes
    return b'data: ' + msgspec.json.encode(chunk) + b'\n\n'


async def send_completion(exchange):
    """Respond like a correct engine, from the requested token on."""
    request = msgspec.json.decode(exchange.body)
    await send_stream_headers(exchange)
    await exchange.send(make_event(exchange, request['generated_tokens']))
    await exchange.send(b'data: [DONE]\n\n')
    await exchange.stream.aclose()


async def send_stream_headers(exchange, content_type='text/event-stream'):
    """Send the status line and the headers of an engine's response."""
    await exchange.send(
        f'HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\n'
        'connection: close\r\n\r\n'.encode()
    )
