"""Stand-ins for workers, as PROTOCOL.md has them.

They register in the store, refuse what is meant for another instance, and
drop a request when its channel closes.
"""

import asyncio
import contextlib
import time

import web

HEARTBEAT_SECONDS = 1.2
NOT_EXECUTED = ('Swiftjunction-Not-Executed', '1')


class Worker:
    """Registers in the store, and reports its state there."""

    def __init__(self, store, ip, name, service, zone, capacity=8):
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.server = web.Server(ip, self.handle)
        # Times at which requests arrived, with their ids, and what became of
        # each run.
        self.arrivals = []
        self.runs = []
        self._beat = None

    @property
    def address(self):
        return self.server.address

    def describe(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'capacity': self.capacity,
            'state': self.state,
            'cold_left_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    async def start(self):
        await self.server.start()
        self._beat = asyncio.ensure_future(self._run_beat())
        return self

    async def _run_beat(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def report(self):
        """Write the worker's entry, as it does every heartbeat."""
        self.sequence += 1
        self.store.put('servers', self.name, self.describe())

    async def stop(self):
        self._beat.cancel()
        await self.server.stop()

    async def handle(self, request):
        expected = request.headers.get(
            'swiftjunction-expect-instance', self.name
        )
        if expected != self.name:
            await request.connection.respond(
                421, headers=[('Swiftjunction-Instance-Id', self.name)]
            )
            return
        if request.path == '/healthz':
            await request.connection.respond(
                200 if self.state == 'ready' else 503,
                headers=[('Swiftjunction-Instance-Id', self.name)],
            )
            return
        await self.serve(request)

    def make_leaving_headers(self):
        """Return what all answers of a worker that leaves have."""
        if self.state == 'draining':
            return [('Server-Leaving', '1')]
        return []

    async def serve(self, request):
        raise NotImplementedError

    @contextlib.contextmanager
    def record_run(self, request_id):
        """Record a run, and whether its channel closed before its end."""
        run = {
            'id': request_id,
            'began': time.monotonic(),
            'ended': None,
            'outcome': 'dropped, as the channel closed',
        }
        self.runs.append(run)
        self.running += 1
        try:
            yield run
        finally:
            self.running -= 1
            run['ended'] = time.monotonic()


class PlainWorker(Worker):
    """Works for as long as the last part of the path says, in ms."""

    async def serve(self, request):
        request_id = request.headers.get('swiftjunction-attempt-id', '')
        self.arrivals.append((time.monotonic(), request_id))
        if not request_id:
            await request.connection.respond(400, headers=[NOT_EXECUTED])
            return
        if self.running >= self.capacity:
            await request.connection.respond(
                503, headers=[NOT_EXECUTED, *self.make_leaving_headers()]
            )
            return
        work_seconds = int(request.path.rsplit('/', 1)[1]) / 1000
        with self.record_run(request_id) as run:
            await asyncio.sleep(work_seconds)
            run['outcome'] = 'answered'
            await request.connection.respond(
                200,
                b'answer to ' + request_id.encode(),
                [
                    ('Swiftjunction-Attempt-Id', request_id),
                    (
                        'Swiftjunction-Response-Signature',
                        f'signed.{request_id}',
                    ),
                    *self.make_leaving_headers(),
                ],
            )


class EngineWorker(Worker):
    """Streams events, and takes orders to load weights."""

    def __init__(self, *args, model, events=10, event_seconds=0.02, **more):
        super().__init__(*args, **more)
        self.model = model
        self.version = 1
        self.orders = 0
        self.fence = 0
        self.events = events
        self.event_seconds = event_seconds

    def describe(self):
        return {
            **super().describe(),
            'stage': 'both',
            'models': [
                {'name': self.model, 'version': self.version, 'adapters': []}
            ],
        }

    async def serve(self, request):
        if request.path == '/report':
            await request.connection.respond(
                200,
                {
                    'stage': 'both',
                    'models': [
                        {
                            'name': self.model,
                            'version': self.version,
                            'adapters': [],
                        }
                    ],
                    'busy': False,
                    'sequence': self.orders,
                    'queued': 0,
                    'running': self.running,
                    'kv_used': 0,
                    'kv_total': 90000,
                    'handles': 0,
                },
            )
            return
        if request.path == '/order':
            await request.connection.respond(self._take_order(request.json()))
            return
        await self._generate(request)

    def _take_order(self, order):
        if order['fencing_token'] < self.fence:
            return 412
        self.fence = order['fencing_token']
        if order['version'] == self.version:
            return 200
        if order.get('expected', self.orders) != self.orders:
            return 409
        self.orders += 1
        self.version = order['version']
        return 202

    async def _generate(self, request):
        request_id = request.headers.get('swiftjunction-attempt-id', '')
        self.arrivals.append((time.monotonic(), request_id))
        if self.running >= self.capacity:
            await request.connection.respond(503, headers=[NOT_EXECUTED])
            return
        after = int(request.headers.get('last-event-id', '-1'))
        head = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            f'Swiftjunction-Attempt-Id: {request_id}',
            f'Swiftjunction-Response-Signature: signed.{request_id}',
            f'Swiftjunction-Weight-Versions: {self.version}',
        ]
        with self.record_run(request_id) as run:
            await asyncio.sleep(self.event_seconds)
            await request.connection.send(
                ('\r\n'.join(head) + '\r\n\r\n').encode('latin-1')
            )
            for number in range(after + 1, self.events):
                event = f'id: {number}\ndata: {make_data(request_id, number)}'
                await request.connection.send(_chunk(f'{event}\n\n'.encode()))
                await asyncio.sleep(self.event_seconds)
            run['outcome'] = 'answered'
            await request.connection.send(b'0\r\n\r\n')


def make_data(request_id, number):
    return f'{request_id}.{number}'


def make_text(request_id, events):
    """Return the whole text of an item."""
    return '\n'.join(make_data(request_id, n) for n in range(events))


def _chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)
