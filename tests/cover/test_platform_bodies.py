"""The limits on the bodies of requests."""

import contextlib
import hashlib
import http
import re

import anyio
import anyio.abc
import pytest

from swiftjunction import errors
from swiftjunction import requests
from swiftjunction.requests import _bodies
from swiftjunction import web
from tests.cover import test_platform_processes
from tests import crowds
from tests import platform_deployment

MIB = 1024 * 1024
# The memory limit of a process on the platform.
MAX_PROCESS_BYTES = 300 * MIB
UPLOAD_COUNT = 24
RESPONSE = (
    'HTTP/1.1 200 OK\r\n'
    'swiftjunction-attempt-id: {id}\r\n'
    'swiftjunction-response-signature: signed.{id}\r\n'
    'content-length: 0\r\n\r\n'
)


class SinkServer:
    """Reads requests, and answers each without a body.

    Attributes
    ----------
    bodies : dict
        The size and the hash of the body of each request, by its id.
    """

    def __init__(self, pause_seconds=0.0):
        self.bodies = {}
        self._pause_seconds = pause_seconds

    @contextlib.asynccontextmanager
    async def run(self, deployment):
        """Take the place of all servers of the plain service."""
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve)
            for name, server in deployment.plain.items():
                deployment.addresses[name] = f'127.0.0.1:{port}'
                deployment.register_server(
                    name, server, capacity=100, born=2, sequence=2
                )
            await anyio.sleep(1)
            yield
            tasks.cancel_scope.cancel()

    async def _serve(self, stream):
        data = b''
        async with stream:
            with contextlib.suppress(
                anyio.EndOfStream, anyio.BrokenResourceError
            ):
                while True:
                    data = await self._exchange(stream, data)

    async def _exchange(self, stream, data):
        while b'\r\n\r\n' not in data:
            data += await stream.receive()
        head, _, data = data.partition(b'\r\n\r\n')
        text = head.decode('latin-1').lower()
        (size,) = re.findall(r'content-length: (\d+)', text)
        (request_id,) = re.findall(r'attempt-id: (\S+)', text)
        digest = hashlib.sha256(data)
        received = len(data)
        while received < int(size):
            data = await stream.receive()
            digest.update(data)
            received += len(data)
        await anyio.sleep(self._pause_seconds)
        self.bodies[request_id] = (received, digest.hexdigest())
        await stream.send(RESPONSE.format(id=request_id).encode())
        return b''


def make_config(max_body_bytes, version=1):
    config = platform_deployment.make_config(version, timeout_ms=20_000)
    config['limits']['max_body_bytes'] = max_body_bytes
    return config


def send(deployment, request_id, content, path='/plain/a'):
    return deployment.send_request(
        'vm-1',
        'POST',
        path,
        headers={
            'swiftjunction-attempt-id': request_id,
            'swiftjunction-deadline-ms': '15000',
        },
        content=content,
    )


async def iterate(content):
    for start in range(0, len(content), 65536):
        yield content[start : start + 65536]


@pytest.mark.anyio
@pytest.mark.parametrize('is_chunked', [False, True])
async def test_a_body_up_to_the_configured_limit_is_served(
    tmp_path, is_chunked
):
    deployment = platform_deployment.PlatformDeployment(
        tmp_path, config=make_config(6 * MIB)
    )
    content = bytes(range(256)) * (6 * MIB // 256)
    server = SinkServer()
    async with deployment.run(), server.run(deployment):
        response = await send(
            deployment, 'r1', iterate(content) if is_chunked else content
        )
    assert response.status_code == http.HTTPStatus.OK
    expected = (len(content), hashlib.sha256(content).hexdigest())
    assert server.bodies == {'r1': expected}


@pytest.mark.anyio
@pytest.mark.parametrize('is_chunked', [False, True])
@pytest.mark.parametrize('path', ['/plain/a', '/samples/new'])
async def test_a_body_above_the_configured_limit_is_413(
    tmp_path, is_chunked, path
):
    deployment = platform_deployment.PlatformDeployment(
        tmp_path, config=make_config(2 * MIB)
    )
    content = b'x' * (2 * MIB + 1)
    async with deployment.run():
        response = await send(
            deployment, 'r1', iterate(content) if is_chunked else content, path
        )
        following = await send(deployment, 'r2', b'x')
    assert response.status_code == http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    assert following.status_code == http.HTTPStatus.OK
    runs = [run for s in deployment.plain.values() for run in s.runs]
    assert runs == [('r2', '/plain/a')]


@pytest.mark.anyio
async def test_a_new_limit_is_in_force(tmp_path):
    deployment = platform_deployment.PlatformDeployment(
        tmp_path, config=make_config(MIB)
    )
    async with deployment.run():
        before = await send(deployment, 'r1', b'x' * 2 * MIB)
        deployment.store.put('config', 'main', make_config(3 * MIB, 2))
        with anyio.fail_after(5):
            while deployment.programs['vm-1']._active_routes.version != 2:
                await anyio.sleep(0.05)
        after = await send(deployment, 'r2', b'x' * 2 * MIB)
    assert [before.status_code, after.status_code] == [413, 200]


class Upload:
    """A request whose body comes as the test passes it on."""

    def __init__(self, headers=()):
        self.headers = dict(headers)
        self._sender, self._receiver = anyio.create_memory_object_stream(99)

    def pass_on(self, size):
        self._sender.send_nowait(b'x' * size)

    def end(self):
        self._sender.close()

    def stream(self):
        return aiter(self._receiver)


async def read(reader, upload, stack, seconds=1.0, max_bytes=1 << 40):
    deadline = anyio.current_time() + seconds
    return await reader.read(upload, max_bytes, deadline, stack)


@pytest.fixture
def small_reader(monkeypatch):
    """Return a reader of 80 bytes in total, 64 of them for large bodies."""
    monkeypatch.setattr(_bodies, 'LARGE_BODY_BYTES', 10)
    return requests.BodyReader(web.MemoryBudget(80))


@pytest.mark.anyio
async def test_bodies_that_are_too_large_in_total_are_refused(small_reader):
    reader = small_reader

    async def upload(size, stack):
        upload = Upload()
        upload.pass_on(size)
        upload.end()
        return len(await read(reader, upload, stack))

    with contextlib.ExitStack() as held:
        assert await upload(60, held) == 60
        with contextlib.ExitStack() as refused:
            with pytest.raises(errors.NotRun):
                await upload(11, refused)
        with contextlib.ExitStack() as small:
            assert await upload(10, small) == 10
            assert await upload(10, small) == 10
            with pytest.raises(errors.NotRun):
                await upload(1, small)
    with contextlib.ExitStack() as following:
        assert await upload(64, following) == 64
        with pytest.raises(errors.BodyTooLarge):
            await upload(65, following)


@pytest.mark.anyio
async def test_a_body_that_does_not_come_holds_nothing_for_ever(small_reader):
    reader = small_reader
    upload = Upload()
    upload.pass_on(60)
    with contextlib.ExitStack() as stack:
        with pytest.raises(errors.NotRun):
            await read(reader, upload, stack, seconds=0.05)
    following = Upload()
    following.pass_on(60)
    following.end()
    with contextlib.ExitStack() as stack:
        assert len(await read(reader, following, stack)) == 60


@pytest.mark.anyio
async def test_an_announced_length_is_refused_before_it_is_read(monkeypatch):
    monkeypatch.setattr(_bodies, 'MAX_DISCARD_SECONDS', 0.01)
    upload = Upload({'content-length': '101'})
    with contextlib.ExitStack() as stack:
        with pytest.raises(errors.BodyTooLarge):
            await read(
                requests.BodyReader(web.MemoryBudget(1000)),
                upload,
                stack,
                max_bytes=100,
            )


@pytest.mark.anyio
async def test_many_large_bodies_at_once_stay_within_the_memory(tmp_path):
    deployment = test_platform_processes.ProcessDeployment(tmp_path)
    deployment._config = make_config(16 * MIB)
    statuses = []

    async def upload(number):
        response = await send(deployment, f'r{number}', b'x' * 12 * MIB)
        statuses.append(response.status_code)

    try:
        async with deployment.run(), SinkServer(1.0).run(deployment):
            async with anyio.create_task_group() as uploads:
                for number in range(UPLOAD_COUNT):
                    uploads.start_soon(upload, number)
            peak_bytes = crowds.read_peak_bytes(
                deployment.processes['vm-1'].pid
            )
            code = await deployment.stop_vm('vm-1')
    finally:
        deployment.close()
    assert code == 0
    assert len(statuses) == UPLOAD_COUNT
    assert set(statuses) == {200, 503}
    assert peak_bytes < MAX_PROCESS_BYTES
