"""A relay of streams before servers that answer with given bytes."""

import contextlib

import anyio

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction.platform.servers import _workers
from swiftjunction import requests
from swiftjunction import web
from tests import scripted_server


class OrderedRouter:
    """Chooses the first server that is not excluded."""

    def __init__(self, servers):
        self.servers = servers

    async def acquire(self, request, policy):
        for server in self.servers:
            if server.name not in request.excluded:
                return server
        raise errors.NotRun('no server', step='route')


class Scene:
    """A relay before servers that are asked one after the other.

    Attributes
    ----------
    body : bytes
        What the caller has.
    error : RequestError or None
        Why the stream ended early.
    """

    def __init__(self, *answers, resets=False):
        self.servers = [
            scripted_server.ScriptedServer(f's{number}', answer, resets)
            for number, answer in enumerate(answers)
        ]
        self.origins = requests.LocalOrigins()
        self.body = b''
        self.error = None
        self.stream = None

    @contextlib.asynccontextmanager
    async def run(self):
        async with contextlib.AsyncExitStack() as stack:
            for server in self.servers:
                await stack.enter_async_context(server.run())
            peers = web.PeerClients()
            stack.push_async_callback(peers.close)
            client = _workers.WorkerClient(peers)
            yield requests.StreamRelay(
                OrderedRouter([server.backend for server in self.servers]),
                client,
                client,
                requests.RetryBudget(),
                requests.SuspectTracker(
                    requests.RecordCrashRegistry(membership.RecordTable()),
                    'vm',
                ),
                resumer=requests.StreamResumer(self.origins),
            )

    async def read(self, **options):
        async with self.run() as relay:
            await self.read_from(relay, **options)

    async def read_from(
        self,
        relay,
        resumable=True,
        max_attempts=4,
        resume=None,
        deadline_seconds=5.0,
    ):
        call = requests.ForwardedCall(
            path='/p',
            settings=configuration.PathSettings(service='s'),
            service_call=backends.ServiceCall(
                scripted_server.REQUEST_ID, 'POST', '/p', '', b'', [], 0.0
            ),
            deadline=anyio.current_time() + deadline_seconds,
            idempotent=False,
            max_attempts=max_attempts,
        )
        with anyio.fail_after(10):
            try:
                self.stream = await relay.open(call, resumable, resume)
            except errors.RequestError as error:
                self.error = error
                return
            async with contextlib.aclosing(self.stream.rest) as rest:
                await self._read(rest)

    async def _read(self, rest):
        if self.stream.first is not None:
            self.body += self.stream.first.frame
        try:
            async for event in rest:
                self.body += event.frame
        except errors.RequestError as error:
            self.error = error

    def get_receipt(self):
        headers = dict(self.stream.headers)
        return headers['swiftjunction-response-signature']

    def has_failures(self, number):
        """Return whether failures of a server were counted."""
        health = self.servers[number].backend.health
        return health.failures > 0
