"""Stand-ins for the workers: a plain service and a model server.

They follow "Workers" and "Requests" in PROTOCOL.md. Each record of a run has
its time, id and what was answered.
"""

import asyncio
import json
import time

import http11

LOAD_SECONDS = 0.9


class Worker(http11.Server):
    """What all workers do: check the instance, and give receipts."""

    def __init__(self, record, name, service):
        super().__init__()
        self.record = record
        self.name = name
        self.service = service
        self.runs = 0

    def entry(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'zone-a',
            'version': 'v1',
            'capacity': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': 1,
            'born': 1_700_000_000_000,
        }

    def sign(self, request_id):
        """Return the headers of an answer to a request that ran."""
        self.runs += 1
        return [
            ('Swiftjunction-Attempt-Id', request_id),
            (
                'Swiftjunction-Response-Signature',
                f'{self.name}.{request_id}.{self.runs}',
            ),
        ]

    async def handle(self, request, writer):
        expected = request.headers.get('swiftjunction-expect-instance')
        request_id = request.headers.get('swiftjunction-attempt-id', '')
        if expected not in (None, self.name):
            writer.write(
                http11.make_response(
                    421,
                    headers=[
                        ('Swiftjunction-Attempt-Id', request_id),
                        ('Swiftjunction-Instance-Id', self.name),
                    ],
                )
            )
            return
        await self.answer(request, request_id, writer)


class PlainWorker(Worker):
    """Answers each request with its body.

    Parameters
    ----------
    is_copied : callable
        Takes the id of a request and the number of its run here. If true, a
        second copy of its answer follows later: just before the next answer
        on the same connection.
    """

    def __init__(self, record, name, is_copied=lambda request_id, run: False):
        super().__init__(record, name, 'plain')
        self.is_copied = is_copied
        self.run_counts = {}
        # When each receipt's request arrived, by receipt.
        self.arrived_at = {}

    async def answer(self, request, request_id, writer):
        now = time.time()
        copy = request.connection.pop('copy', None)
        if copy is not None:
            self.record(
                f'{self.name} sends a second copy of the answer before, as '
                f'request {request_id} waits for its answer'
            )
            writer.write(copy)
        await asyncio.sleep(0.02)
        run = self.run_counts[request_id] = (
            self.run_counts.get(request_id, 0) + 1
        )
        headers = self.sign(request_id)
        receipt = headers[1][1]
        self.arrived_at[receipt] = now
        self.record(f'{self.name} ran {request_id}, receipt {receipt}')
        response = http11.make_response(200, request.body, headers)
        if self.is_copied(request_id, run):
            request.connection['copy'] = response
        writer.write(response)
        await writer.drain()


class Engine(Worker):
    """Streams events, and loads versions.

    Parameters
    ----------
    plan : callable
        Takes the id of an item; returns its number of events, and the seconds
        between two.
    """

    def __init__(self, record, name, model, plan=lambda item_id: (8, 0.02)):
        super().__init__(record, name, 'engines')
        self.model = model
        self.plan = plan
        self.version = 1
        self.orders = 0
        self.fence = 0
        self.busy_until = 0.0
        self.loading = None
        # Time and version at which each event was made last, by item.
        self.made = {}
        self.started = []

    def entry(self):
        return {
            **super().entry(),
            'models': [
                {'name': self.model, 'version': self.version, 'adapters': []}
            ],
        }

    def is_busy(self):
        return time.monotonic() < self.busy_until

    async def answer(self, request, request_id, writer):
        if request.path == '/report':
            self._answer_json(
                writer,
                200,
                {
                    'stage': 'both',
                    'models': self.entry()['models'],
                    'busy': self.is_busy(),
                    'sequence': self.orders,
                    'queued': 0,
                    'running': 0,
                    'kv_used': 0,
                    'kv_total': 70000,
                    'handles': 0,
                    'born': 1_700_000_000_000,
                },
            )
        elif request.path == '/order':
            self._answer_json(writer, self._take_order(request), {})
        elif request.method == 'POST':
            await self._generate(request, request_id, writer)
        else:
            self._answer_json(writer, 200, {})

    @staticmethod
    def _answer_json(writer, status, content):
        writer.write(
            http11.make_response(
                status,
                json.dumps(content).encode(),
                [('Content-Type', 'application/json')],
            )
        )

    def _take_order(self, request):
        order = json.loads(request.body)
        if order['fencing_token'] < self.fence:
            return 412
        self.fence = order['fencing_token']
        if self.version == order['version']:
            return 200
        if self.is_busy() or order.get('expected', self.orders) != self.orders:
            return 409
        self.orders += 1
        self.busy_until = time.monotonic() + LOAD_SECONDS
        self.loading = asyncio.create_task(self._load(order['version']))
        return 202

    async def _load(self, version):
        await asyncio.sleep(LOAD_SECONDS)
        self.version = version
        self.record(f'{self.name} has version {version}')

    async def _generate(self, request, request_id, writer):
        if self.is_busy():
            writer.write(
                http11.make_response(
                    503,
                    headers=[
                        ('Swiftjunction-Attempt-Id', request_id),
                        ('Swiftjunction-Not-Executed', '1'),
                    ],
                )
            )
            return
        after = int(request.headers.get('last-event-id', '-1'))
        known = self.version
        self.started.append(request_id)
        self.record(
            f'{self.name} runs item {request_id} after event {after} at '
            f'version {known}'
        )
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            f'Swiftjunction-Weight-Versions: {known}',
            *(f'{name}: {value}' for name, value in self.sign(request_id)),
        ]
        writer.write('\r\n'.join([*lines, '', '']).encode())
        count, seconds = self.plan(request_id)
        for number in range(after + 1, count):
            await asyncio.sleep(seconds)
            event = f'id: {number}\ndata: {request_id}-{number}\n\n'
            if self.version != known:
                known = self.version
                event = f'swiftjunction-weight-versions:{known}\n{event}'
            data = event.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(data), data))
            if writer.transport.is_closing():
                self.record(f'{self.name}: item {request_id} was cancelled')
                raise ConnectionResetError
            self.made.setdefault(request_id, {})[number] = (
                time.time(),
                known,
            )
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        self.record(f'{self.name} has finished item {request_id}')
