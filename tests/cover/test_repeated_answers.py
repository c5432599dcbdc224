"""Servers that send an answer twice, late, where its id is sent again.

Guards against taking the copy of an older answer for that of a later request
with the same id: a sample had the score of an older text.
"""

import contextlib
import random

import anyio
import anyio.abc
import anyio.streams.buffered
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction.platform.servers import _workers
from swiftjunction import requests
from swiftjunction import routes
from swiftjunction import web
from swiftjunction.web import _transport
from tests.cover import test_requests_forwarding

pytestmark = pytest.mark.anyio

SCORE_REQUEST = batches.ScoreRequest('i', 'h', '/p/score', b'text')
SAMPLE = batches.Sample('i', '/p/x', [], b'prompt')
SUCCESS = b'200 OK'
FAILURE = b'500 Internal Server Error'


class RepeatingServer:
    """Repeats the answer before on a connection that is in use again.

    The copy comes when the next request has been read, just before its own
    answer.

    Attributes
    ----------
    connections : int
        The number of connections that were opened.
    runs : list of str
        The id of each request, in order.
    repeats : bool
        Whether it sends copies at all.

    Parameters
    ----------
    statuses : sequence of bytes
        Status of each answer, in order; the last one is used again.
    form : callable
        Returns the headers and the body of the answer to a run, counted from
        one.
    """

    def __init__(self, form, *statuses):
        self._form = form
        self._statuses = list(statuses) or [SUCCESS]
        self.connections = 0
        self.runs = []
        self.repeats = True
        self.backend = None

    @contextlib.asynccontextmanager
    async def run(self):
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.backend = backends.BackendServer(
            backends.ServerReport(
                'server', f'127.0.0.1:{port}', 's', 'dc', state='live'
            )
        )
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, self._serve)
            yield self
            tasks.cancel_scope.cancel()

    async def _serve(self, stream):
        self.connections += 1
        buffered = anyio.streams.buffered.BufferedByteReceiveStream(stream)
        previous = b''
        with contextlib.suppress(
            anyio.BrokenResourceError, anyio.EndOfStream, anyio.IncompleteRead
        ):
            async with stream:
                while True:
                    head = await buffered.receive_until(b'\r\n\r\n', 1 << 16)
                    fields = read_fields(head)
                    size = int(fields.get('content-length', 0))
                    await buffered.receive_exactly(size)
                    answer = self._answer(fields['swiftjunction-attempt-id'])
                    await stream.send(previous + answer)
                    previous = answer if self.repeats else b''

    def _answer(self, request_id):
        self.runs.append(request_id)
        number = len(self.runs)
        status = self._statuses[min(number, len(self._statuses)) - 1]
        headers, body = self._form(number)
        return (
            b'HTTP/1.1 %s\r\nSwiftjunction-Attempt-Id: %s\r\n'
            b'Swiftjunction-Response-Signature: receipt-%d\r\n'
            b'%sContent-Length: %d\r\n\r\n%s'
            % (
                status,
                request_id.encode(),
                number,
                headers,
                len(body),
                body,
            )
        )


def read_fields(head):
    """Return the headers of a request by their names in lower case."""
    lines = head.decode('latin-1').split('\r\n')[1:]
    pairs = (line.partition(': ') for line in lines)
    return {name.lower(): value for name, _, value in pairs}


def make_plain_body(number):
    return b'', b'answer %d' % number


def make_stream_body(number):
    event = b'id: 0\ndata: answer %d\n\n' % number
    return b'Content-Type: text/event-stream\r\n', event


def make_call(request_id='i', max_attempts=2):
    return requests.ForwardedCall(
        path='p',
        settings=configuration.PathSettings(service='s'),
        service_call=backends.ServiceCall(
            request_id, 'POST', '/x', '', b'body', [], 2.0
        ),
        deadline=anyio.current_time() + 5.0,
        idempotent=True,
        max_attempts=max_attempts,
        attempt_seconds=2.0,
    )


class Client:
    """The parts of a VM that send requests to one server."""

    def __init__(self, server):
        self.server = server
        self.worker_client = _workers.WorkerClient(web.PeerClients())
        router = test_requests_forwarding.FirstRouter([])
        router.servers = [server.backend]
        budget = requests.RetryBudget()
        suspects = requests.SuspectTracker(
            requests.RecordCrashRegistry(membership.RecordTable()), 'vm'
        )
        self.forwarder = requests.Forwarder(
            router, self.worker_client, None, budget, suspects
        )
        self.relay = requests.StreamRelay(
            router, self.worker_client, self.worker_client, budget, suspects
        )

    async def call(self, request_id='i'):
        response = await self.forwarder.forward(make_call(request_id))
        return response.body

    async def open_stream(self):
        stream = await self.relay.open(make_call(), resumable=True)
        events = [stream.first, *[event async for event in stream.rest]]
        return events[0].data.encode()

    async def generate(self):
        events = self.worker_client.generate(
            self.server.backend, 'h', SAMPLE, -1, lambda: None
        )
        return [event.data async for event in events][0].encode()


FORMS = {
    'call': (make_plain_body, Client.call),
    'stream': (make_stream_body, Client.open_stream),
    'sample': (make_stream_body, Client.generate),
}


@pytest.mark.parametrize('kind', FORMS)
async def test_an_id_sent_again_gets_the_answer_to_its_own_request(kind):
    form, ask = FORMS[kind]
    async with RepeatingServer(form).run() as server:
        client = Client(server)
        answers = [await ask(client) for _ in range(4)]
    assert answers == [b'answer %d' % number for number in range(1, 5)]


async def test_a_late_copy_of_a_failure_of_a_sample_is_no_second_failure():
    server = RepeatingServer(make_stream_body, FAILURE, SUCCESS)
    async with server.run():
        client = Client(server)
        with pytest.raises(errors.SampleFailed):
            await client.generate()
        assert await client.generate() == b'answer 2'


def make_scorer(forwarder, max_attempts=2):
    route = routes.Route(
        'r',
        'h',
        '/p/',
        routes.RouteKind.IDEMPOTENT,
        (routes.ServiceShare('s'),),
        max_attempts=max_attempts,
    )
    active_routes = routes.ActiveRoutes()
    active_routes.update(
        routes.RouteTable(1, [route], routes.ConnectionLimits())
    )
    return batches.RoutedScorer(active_routes, forwarder, random.Random(1))


async def test_the_score_of_a_text_is_that_of_a_call_made_after_it():
    async with RepeatingServer(make_plain_body).run() as server:
        scorer = make_scorer(Client(server).forwarder)
        scores = [
            await scorer.score(SCORE_REQUEST, lambda: None) for _ in range(3)
        ]
    assert scores == ['receipt-1', 'receipt-2', 'receipt-3']


async def test_a_late_copy_of_a_failure_of_a_scorer_is_no_second_failure():
    server = RepeatingServer(make_plain_body, FAILURE, SUCCESS)
    async with server.run():
        scorer = make_scorer(Client(server).forwarder)
        score = await scorer.score(SCORE_REQUEST, lambda: None)
    assert score == 'receipt-2'
    assert len(server.runs) == 2


async def test_other_ids_share_a_connection_up_to_a_bound():
    count = _transport.MAX_IDS_PER_CONNECTION + 1
    server = RepeatingServer(make_plain_body)
    server.repeats = False
    async with server.run():
        client = Client(server)
        for number in range(count):
            await client.call(f'id-{number}')
    assert server.connections == 2
