"""The request targets that backend servers get."""

import contextlib
import http
import random
import re

import anyio
import anyio.abc
import pytest

from tests.cover import test_platform_keys
from tests import platform_deployment

SERVER = 'raw'
RESPONSE = (
    'HTTP/1.1 200 OK\r\n'
    'swiftjunction-attempt-id: {id}\r\n'
    'swiftjunction-response-signature: signed.{id}\r\n'
    'content-length: 0\r\n\r\n'
)
TARGETS = [
    '/plain/./20',
    '/plain/17/../18',
    '/plain/../once/20',
    '/plain/..',
    '/plain//20///',
    '/plain/%2e%2E/20',
    '/plain/..%2f17/../20',
    '/plain/a%2Fb%2fc',
    '/plain/%41%7e~%e2%82%ac',
    '/plain/"<>`{}|\\^',
    '/plain/?',
    '/plain/a?',
    '/plain/a??b',
    '/plain/a?x=../%2f&&y=+%20',
    "/plain/a;b=1,2:@!$&'()*+=",
]
REFUSED_TARGETS = [
    '/plain/\xe9',
    '/plain/\x7f',
    '/plain/a b',
    '/plain/a#b',
    '/plain/a?b#',
    '/plain/' + 'x' * 32768,
]
# Parts that are often changed, and all characters that targets may have.
PARTS = ['.', '..', '/', '//', '/../', '%2e', '%2F', '%2f', '%zz', '?']
CHARACTERS = [chr(code) for code in range(0x21, 0x7F) if chr(code) != '#']
RANDOM_COUNT = 200
PUBLIC_PREFIX = '/open/'


def draw_targets(prefixes):
    """Yield random targets that begin with one of the prefixes."""
    rng = random.Random(4)
    for _ in range(RANDOM_COUNT):
        parts = rng.choices(PARTS + CHARACTERS, k=rng.randrange(12))
        yield rng.choice(prefixes) + ''.join(parts)


class RawServer:
    """Notes the first line of each request.

    Attributes
    ----------
    lines : dict
        The method and target of each request, by its id.
    """

    software = 'v1'

    def __init__(self):
        self.lines = {}

    async def run(self, listener):
        await listener.serve(self._serve)

    async def _serve(self, stream):
        data = b''
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                while True:
                    while b'\r\n\r\n' not in data:
                        data += await stream.receive()
                    head, _, data = data.partition(b'\r\n\r\n')
                    await stream.send(self._respond(head.decode('latin-1')))

    def _respond(self, head):
        (request_id,) = re.findall(r'(?i)attempt-id: (\S+)', head)
        line = head.partition('\r\n')[0]
        self.lines[request_id] = line.removesuffix(' HTTP/1.1')
        return RESPONSE.format(id=request_id).encode()


async def send(deployment, request_id, target):
    """Send a request with a target as it is; return the status."""
    lines = [
        f'GET {target} HTTP/1.1',
        f'host: {platform_deployment.HOST}',
        f'swiftjunction-attempt-id: {request_id}',
        'connection: close\r\n\r\n',
    ]
    port = deployment.ports['vm-1']['front']
    async with await anyio.connect_tcp(deployment.vm_ip, port) as stream:
        await stream.send('\r\n'.join(lines).encode('latin-1'))
        with anyio.fail_after(5):
            return int((await stream.receive()).split()[1])


@contextlib.asynccontextmanager
async def run_deployment(folder, config=None, ready_path='/plain/'):
    """Run a deployment whose plain service is a raw server."""
    deployment = platform_deployment.PlatformDeployment(folder, config=config)
    deployment.plain = {}
    server = RawServer()
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    deployment.addresses[SERVER] = f'127.0.0.1:{port}'
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run, listener)
        async with deployment.run():
            deployment.register_server(SERVER, server)
            with anyio.fail_after(5):
                while (
                    await send(deployment, 'r', ready_path)
                    != http.HTTPStatus.OK
                ):
                    await anyio.sleep(0.05)
            yield deployment, server
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_target_reaches_the_server_as_it_was_sent(tmp_path):
    async with run_deployment(tmp_path) as (deployment, server):
        for number, target in enumerate(TARGETS):
            status = await send(deployment, f'r-{number}', target)
            assert (status, target) == (200, target)
    seen = [server.lines[f'r-{n}'] for n in range(len(TARGETS))]
    assert seen == [f'GET {target}' for target in TARGETS]


@pytest.mark.anyio
async def test_a_target_that_no_request_line_may_have_is_refused(tmp_path):
    config = platform_deployment.make_config()
    # More than the longest target, which would be refused with its head.
    config['limits']['max_header_bytes'] = 65_536
    async with run_deployment(tmp_path, config) as (deployment, server):
        statuses = [
            await send(deployment, 'odd', target) for target in REFUSED_TARGETS
        ]
    assert statuses == [400] * len(REFUSED_TARGETS)
    assert 'odd' not in server.lines


@pytest.mark.anyio
async def test_random_targets_reach_the_server_as_they_were_sent(tmp_path):
    async with run_deployment(tmp_path) as (deployment, server):
        for number, target in enumerate(draw_targets(['/plain/'])):
            status = await send(deployment, f'r-{number}', target)
            assert (status, target) == (200, target)
            assert server.lines[f'r-{number}'] == f'GET {target}'


@pytest.mark.anyio
async def test_no_target_gets_past_the_prefix_of_a_public_route(tmp_path):
    config = test_platform_keys.make_config()
    prefixes = ['/', '/plain/', PUBLIC_PREFIX, '/open/../plain/', '//open/']
    async with run_deployment(tmp_path, config, PUBLIC_PREFIX) as (
        deployment,
        server,
    ):
        for number, target in enumerate(draw_targets(prefixes)):
            status = await send(deployment, f'r-{number}', target)
            is_public = target.startswith(PUBLIC_PREFIX)
            assert (status == 200, target) == (is_public, target)
            line = server.lines.get(f'r-{number}')
            assert line == (f'GET {target}' if is_public else None)


@pytest.mark.anyio
async def test_items_and_their_scoring_requests_keep_their_paths(tmp_path):
    deployment = platform_deployment.PlatformDeployment(tmp_path)
    batch = platform_deployment.make_batch(1, 1)
    (item,) = batch['items']
    item['path'] = '/samples/a/../b/./%2e%2F?q={x}'
    item['scorer']['path'] = '/plain/./a/../score?y="z"'
    async with deployment.run():
        await deployment.submit('vm-1', 'b1', batch)
        await deployment.wait_for_results('vm-1', 'b1', 1)
    seen = [
        t for engine in deployment.engines.values() for t in engine.targets
    ]
    scored = [run[1] for s in deployment.plain.values() for run in s.runs]
    assert seen == [item['path']]
    assert scored == [item['scorer']['path']]
