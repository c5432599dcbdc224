"""Processes before servers whose answers have no end.

Guards against a process that keeps what faulty servers send: it ran out of
memory, and the requests of other callers ended with it.
"""

import contextlib
import gzip
import itertools
import json

import anyio
import anyio.abc
import anyio.streams.buffered
import pytest

from tests.cover import test_crowds_unread
from tests.cover import test_platform_processes
from tests import crowds
from tests import platform_deployment

pytestmark = pytest.mark.anyio

MEMORY_MB = test_crowds_unread.MEMORY_MB
SERVERS = 4
CALLERS = 40
CROWD_SECONDS = 5.0
PAUSE_SECONDS = 0.1
BATCH_ITEMS = 40
ID_HEADERS = (b'swiftjunction-attempt-id', b'x-request-id')
# Stands for the id of the request in the start of an answer.
ID_MARK = b'ID-OF-REQUEST'
SIGNED = (
    b'HTTP/1.1 200 OK\r\nSwiftjunction-Attempt-Id: ID-OF-REQUEST\r\n'
    b'X-Request-Id: ID-OF-REQUEST\r\n'
    b'Swiftjunction-Response-Signature: s\r\n'
    b'Swiftjunction-Weight-Versions: 1\r\n'
)
CHUNKED = SIGNED + b'Transfer-Encoding: chunked\r\n'
STREAM = b'Content-Type: text/event-stream\r\n'
LINE = b'x' * 65536
CHUNK = b'10000\r\n%s\r\n' % LINE
# 64 KB that expand to 64 MB.
PACKED = gzip.compress(bytes(64 * 1024 * 1024))


def number_events():
    """Yield valid events without end, several in each part."""
    for first in itertools.count(0, 64):
        yield b''.join(
            b'id: %d\ndata: %s\n\n' % (number, b'x' * 1000)
            for number in range(first, first + 64)
        )


def chunk(parts):
    return (b'%x\r\n%s\r\n' % (len(part), part) for part in parts)


def repeat(part):
    return lambda: itertools.repeat(part)


# The start of each answer, and a function that returns what follows.
ANSWERS = {
    'status_line': (b'HTTP/1.1 200 ', repeat(LINE)),
    'header_line': (SIGNED + b'x-a: ', repeat(LINE)),
    'header_lines': (SIGNED, repeat(b'x-a: %s\r\n' % (b'x' * 1000))),
    'informational_heads': (
        b'',
        repeat(b'HTTP/1.1 103 Early Hints\r\n\r\n' * 64),
    ),
    'no_http': (b'', repeat(b'\x00\xff' * 32768)),
    'half_a_head': (SIGNED + b'x-a: ' + b'x' * 90_000, lambda: iter(())),
    'no_length': (SIGNED + b'\r\n', repeat(LINE)),
    'length': (SIGNED + b'Content-Length: 99999999999\r\n\r\n', repeat(LINE)),
    'chunks': (CHUNKED + b'\r\n', repeat(CHUNK)),
    'small_chunks': (CHUNKED + b'\r\n', repeat(b'1\r\nx\r\n' * 8192)),
    'chunk_size': (CHUNKED + b'\r\n', repeat(b'0' * 65536)),
    'chunk_extension': (CHUNKED + b'\r\n1;', repeat(LINE)),
    'trailers': (CHUNKED + b'\r\n0\r\n', repeat(b'x: %s\r\n' % LINE[:1000])),
    'packed': (
        CHUNKED + b'Content-Encoding: gzip\r\n\r\n',
        lambda: chunk(itertools.repeat(PACKED)),
    ),
    'packed_stream': (
        CHUNKED + STREAM + b'Content-Encoding: gzip\r\n\r\n',
        lambda: chunk(itertools.repeat(PACKED)),
    ),
    'blank_lines': (
        CHUNKED + STREAM + b'\r\n',
        lambda: chunk(itertools.repeat(b'\n' * 65536)),
    ),
    'small_stream_chunks': (
        CHUNKED + STREAM + b'\r\n',
        repeat(b'1\r\n\n\r\n' * 8192),
    ),
    'event_line': (CHUNKED + STREAM + b'\r\n', repeat(CHUNK)),
    'comments': (
        CHUNKED + STREAM + b'\r\n',
        lambda: chunk(itertools.repeat(b': x\n\n' * 8192)),
    ),
    'events': (CHUNKED + STREAM + b'\r\n', lambda: chunk(number_events())),
    'after_the_end': (SIGNED + b'Content-Length: 2\r\n\r\n{}', repeat(LINE)),
}


class FaultyServer:
    """Answers each request, of any kind, without end.

    Attributes
    ----------
    address : str
        ``ip:port``.
    sent : dict of str to int
        How many answers were begun, by the first part of the path.
    """

    def __init__(self, start, make_parts):
        self._start = start
        self._make_parts = make_parts
        self.address = ''
        self.sent = {}

    async def run(self, *, task_status):
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
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            anyio.IncompleteRead,
        ):
            async with stream:
                head = await buffered.receive_until(b'\r\n\r\n', 1 << 16)
                await self._answer(stream, head)
                # Until the caller closes the connection.
                while True:
                    await stream.receive()

    async def _answer(self, stream, head):
        kind = head.split(b' ')[1].split(b'/')[1].decode()
        self.sent[kind] = self.sent.get(kind, 0) + 1
        request_id = b'none'
        for line in head.split(b'\r\n'):
            name, _, value = line.partition(b': ')
            if name.lower() in ID_HEADERS:
                request_id = value
        await stream.send(self._start.replace(ID_MARK, request_id))
        for part in self._make_parts():
            await stream.send(part)


def make_config():
    """Return a configuration with routes to faulty servers as well."""
    config = platform_deployment.make_config()
    faulty = []
    for route in config['routes']:
        prefix = '/bad' + route['path_prefix']
        service = 'bad-' + route['service']
        faulty.append(
            {
                **route,
                'name': 'bad-' + route['name'],
                'path_prefix': prefix,
                'service': service,
            }
        )
    config['routes'] += faulty
    return config


class Scene:
    """A VM in a process, servers that work and faulty ones."""

    def __init__(self, folder, answer):
        start, make_parts = ANSWERS[answer]
        self.faulty = [
            FaultyServer(start, make_parts) for _ in range(2 * SERVERS)
        ]
        self.deployment = test_platform_processes.ProcessDeployment(
            folder, settings=test_crowds_unread.SETTINGS, config=make_config()
        )

    @contextlib.asynccontextmanager
    async def run(self):
        try:
            async with (
                anyio.create_task_group() as tasks,
                self.deployment.run(),
            ):
                for number, server in enumerate(self.faulty):
                    await tasks.start(server.run)
                    self._register(number, server)
                yield
                tasks.cancel_scope.cancel()
        finally:
            self.deployment.close()

    def _register(self, number, server):
        is_engine = number >= SERVERS
        service = (
            platform_deployment.ENGINES
            if is_engine
            else platform_deployment.SERVICE
        )
        entry = {
            'service': f'bad-{service}',
            'address': server.address,
            'zone': 'dc-1',
            'version': 'v1',
            'capacity': 40,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': 1,
            'born': 1,
        }
        if is_engine:
            entry['models'] = [
                {
                    'name': platform_deployment.MODEL,
                    'version': 1,
                    'adapters': [],
                }
            ]
        self.deployment.store.put('servers', f'faulty-{number}', entry)

    def make_caller(self, path):
        """Return a caller of the VM that sends one request after another."""
        ports = self.deployment.ports['vm-1']
        return make_raw_caller(
            (self.deployment.vm_ip, ports['front']), make_request(path)
        )

    def name_version(self, version):
        """Name a version, so that engines are asked for theirs."""
        model = platform_deployment.MODEL
        self.deployment.store.put(
            'versions', model, {'model': model, 'version': version}
        )

    async def submit(self):
        """Submit a batch to faulty engines, and one to faulty scorers."""
        for batch_id, path, scorer in (
            ('b1', '/bad/samples/x', '/plain/score'),
            ('b2', '/samples/x', '/bad/plain/score'),
        ):
            await self.deployment.send_request(
                'vm-1',
                'POST',
                path,
                content=json.dumps(
                    make_batch(batch_id, path, scorer)
                ).encode(),
                headers={'swiftjunction-attempt-id': batch_id},
            )


def make_raw_caller(address, request):
    """Return a caller that sends the same request again and again.

    It reads each answer until its connection ends.
    """

    async def call():
        while True:
            with contextlib.suppress(OSError, *crowds.CLOSED_ERRORS):
                async with await anyio.connect_tcp(*address) as stream:
                    await stream.send(request)
                    while await stream.receive():
                        pass
            await anyio.sleep(PAUSE_SECONDS)

    return call


def make_request(path):
    """Return a request whose connection closes after its answer."""
    fields = b'Connection: close\r\nSwiftjunction-Model: %s\r\nHost: '
    model = platform_deployment.MODEL.encode()
    return crowds.make_request(path).replace(b'Host: ', fields % model, 1)


def make_batch(batch_id, path, scorer):
    batch = platform_deployment.make_batch(BATCH_ITEMS // 2, prefix=batch_id)
    for item in batch['items']:
        item['path'] = path
        item['scorer']['path'] = scorer
    return batch


# Those that run in CI; any of `ANSWERS` may be added for a longer run.
VM_ANSWERS = (
    'header_lines',
    'half_a_head',
    'no_length',
    'small_chunks',
    'packed',
    'small_stream_chunks',
    'blank_lines',
    'comments',
    'event_line',
    'events',
    'after_the_end',
)


@pytest.mark.parametrize('answer', VM_ANSWERS)
async def test_a_vm_before_servers_without_end_stays_within_its_memory(
    tmp_path, answer
):
    scene = Scene(tmp_path, answer)
    async with scene.run():
        process = scene.deployment.processes['vm-1']
        await scene.submit()
        scene.name_version(2)
        callers = [
            scene.make_caller(path)
            for path in ('/bad/plain/a', '/bad/streams/a')
            for _ in range(CALLERS)
        ]
        async with crowds.run(callers, CROWD_SECONDS):
            lives = process.poll() is None
            is_answered = await test_crowds_unread.send_ordinary_request(
                scene.deployment
            )
            peak_bytes = crowds.read_peak_bytes(process.pid)
        kinds = {kind for server in scene.faulty for kind in server.sent}
    assert lives
    assert is_answered
    assert peak_bytes <= MEMORY_MB * 1024 * 1024
    assert {'bad', 'report'} <= kinds
