"""Backend servers that stop at any byte of an answer and close."""

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.platform.servers import _workers
from swiftjunction import web
from tests import scripted_relay
from tests import scripted_server

pytestmark = pytest.mark.anyio

BODY = b'{"size": "M"}'
LENGTH = b'Content-Length: %d\r\n' % len(BODY)
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
TEXT = b'Content-Type: application/json\r\n'
head = scripted_server.make_head
chunks = scripted_server.make_chunks
ANSWERS = {
    'length': head(TEXT, LENGTH) + BODY,
    'chunks': head(TEXT, scripted_server.CHUNKED) + chunks(BODY),
    'interim': INTERIM + head(TEXT, LENGTH) + BODY,
    'stream': head() + chunks(scripted_server.make_events(0, 1)),
}
CONCURRENCY = 50


async def call(answer, resets):
    """Return what a plain request gets, or its error."""
    server = scripted_server.ScriptedServer('s', answer, resets)
    peers = web.PeerClients()
    client = _workers.WorkerClient(peers)
    request = backends.ServiceCall(
        scripted_server.REQUEST_ID, 'POST', '/p', '', b'', [], 3.0
    )
    async with server.run():
        try:
            return await client.call(server.backend, request)
        except errors.BackendError as error:
            return error
        finally:
            await peers.close()


async def play(answer, resets, is_stream):
    """Return the error of a request, and what its caller has."""
    if is_stream:
        scene = scripted_relay.Scene(answer, resets=resets)
        await scene.read(resumable=False)
        return scene.error, scene.body
    response = await call(answer, resets)
    if isinstance(response, backends.ServiceResponse):
        return None, response.body
    return response, b''


@pytest.mark.parametrize('resets', [False, True], ids=['closed', 'reset'])
@pytest.mark.parametrize('name', ANSWERS)
async def test_an_answer_that_ends_early_is_never_complete(name, resets):
    answer = ANSWERS[name]
    limiter = anyio.CapacityLimiter(CONCURRENCY)
    complete = []
    refused = []

    async def cut(size):
        async with limiter:
            error, _ = await play(answer[:size], resets, name == 'stream')
            if error is None:
                complete.append(size)
            elif isinstance(error, (errors.BackendRefused, errors.NotRun)):
                refused.append(size)

    async with anyio.create_task_group() as tasks:
        for size in range(len(answer)):
            tasks.start_soon(cut, size)
    assert complete == []
    # The server has read the request, and may have run it.
    assert refused == []
    error, body = await play(answer, resets, name == 'stream')
    assert error is None
    assert body in answer or name == 'stream'


async def test_a_body_without_length_is_complete_only_if_it_is_not_reset():
    answer = head(TEXT) + BODY
    error, body = await play(answer, False, False)
    assert (error, body) == (None, BODY)
    error, _ = await play(answer, True, False)
    assert isinstance(error, errors.AnswerBroken)
