"""A stand-in for the platform's store, in memory.

It follows "The platform's metadata store" in PROTOCOL.md: conditional writes,
one counter of revisions, lists, and watches that wait.
"""

import asyncio
import json
import time

import http11

LATENCY_SECONDS = 0.004
_DECODER = json.JSONDecoder()


def split_fields(text):
    """Return the raw text of each field of a JSON object."""
    fields = {}
    at = text.index('{') + 1
    while True:
        while text[at] in ' \t\r\n,':
            at += 1
        if text[at] == '}':
            return fields
        name, at = _DECODER.raw_decode(text, at)
        at = text.index(':', at) + 1
        while text[at] in ' \t\r\n':
            at += 1
        _, end = _DECODER.raw_decode(text, at)
        fields[name] = text[at:end]
        at = end


class Store(http11.Server):
    """The store.

    Attributes
    ----------
    down : bool
        While set, nothing listens at its address, and nothing is done.
    after_write : callable
        Called with method, kind and name once a write is done, before its
        answer; the answer is not sent if the store is down by then.
    """

    def __init__(self, record):
        super().__init__()
        self.down = False
        self.after_write = lambda method, kind, name: None
        self.record = record
        self.objects = {}
        self.events = []
        self.revision = 10
        self._changed = asyncio.Event()

    def go_down(self):
        """Reset all connections; new ones meet a port with no listener."""
        self.down = True
        self.stop_listening()
        for writer in list(self.writers):
            http11.reset(writer)

    async def come_back(self):
        """Serve again, with all that was written."""
        self.down = False
        host, _, port = self.address.rpartition(':')
        await self.start(host, int(port))

    def put(self, kind, name, spec):
        """Write an object as an operator or a worker does."""
        self._write(kind, name, spec=json.dumps(spec))

    def _write(self, kind, name, **parts):
        self.revision += 1
        found = self.objects.setdefault(kind, {}).get(name)
        stored = dict(found or {'spec': 'null', 'status': 'null'})
        stored.setdefault('created', self.revision)
        stored.update(parts, name=name, revision=self.revision)
        self.objects[kind][name] = stored
        self._notify(kind, stored, False)
        return stored

    def _notify(self, kind, stored, deleted):
        self.events.append((self.revision, kind, stored, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    @staticmethod
    def _format(stored):
        metadata = {
            'name': stored['name'],
            'revision': stored['revision'],
            'create_revision': stored['created'],
            'finalizers': [],
            'deleting': False,
        }
        return (
            f'{{"metadata":{json.dumps(metadata)},"spec":{stored["spec"]},'
            f'"status":{stored["status"]}}}'
        )

    async def handle(self, request, writer):
        await asyncio.sleep(LATENCY_SECONDS)
        if self.down:
            http11.reset(writer)
            return
        parts = request.path.strip('/').split('/')
        kind, name = parts[1], parts[2] if len(parts) > 2 else ''
        status, body = await self._dispatch(request, kind, name, parts)
        if request.method != 'GET' and status < 300:
            name = name or json.loads(body)['metadata']['name']
            self.after_write(request.method, kind, name)
        if self.down:
            return
        writer.write(
            http11.make_response(
                status,
                body.encode(),
                [('Content-Type', 'application/json')],
            )
        )
        await writer.drain()

    async def _dispatch(self, request, kind, name, parts):
        objects = self.objects.setdefault(kind, {})
        if request.method == 'GET' and name:
            stored = objects.get(name)
            return (200, self._format(stored)) if stored else (404, '')
        if request.method == 'GET' and 'watch' in request.query:
            return await self._watch(kind, request.query)
        if request.method == 'GET':
            return self._list(objects, request.query.get('after', ''))
        if request.method == 'DELETE':
            return self._delete(kind, objects, name, request.query)
        fields = split_fields(request.body.decode())
        metadata = json.loads(fields['metadata'])
        if request.method == 'POST':
            name = metadata['name']
            if name in objects:
                return 409, self._format(objects[name])
            stored = self._write(kind, name, spec=fields.get('spec', 'null'))
            return 200, self._format(stored)
        stored = objects.get(name)
        if stored is None:
            return 404, ''
        if metadata.get('revision', stored['revision']) != stored['revision']:
            return 409, self._format(stored)
        field = 'status' if len(parts) > 3 else 'spec'
        value = fields.get(field, 'null')
        if stored[field] != value:
            stored = self._write(kind, name, **{field: value})
        return 200, self._format(stored)

    def _delete(self, kind, objects, name, query):
        stored = objects.get(name)
        if stored is None:
            return 404, ''
        if int(query.get('revision', stored['revision'])) != (
            stored['revision']
        ):
            return 409, self._format(stored)
        del objects[name]
        self.revision += 1
        self._notify(kind, {**stored, 'revision': self.revision}, True)
        return 200, self._format(stored)

    def _list(self, objects, after):
        names = [name for name in sorted(objects) if name > after]
        items, size = [], 0
        for name in names[:500]:
            item = self._format(objects[name])
            size += len(item)
            if items and size > 1_000_000:
                break
            items.append(item)
        more = 'true' if len(items) < len(names) else 'false'
        return 200, (
            f'{{"items":[{",".join(items)}],"more_pages":{more},'
            f'"store_revision":{self.revision}}}'
        )

    async def _watch(self, kind, query):
        since = int(query['watch'])
        ends_at = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        while True:
            events = [e for e in self.events if e[0] > since and e[1] == kind]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass
        texts = [
            f'{{"object":{self._format(stored)},'
            f'"deleted":{"true" if deleted else "false"}}}'
            for _, _, stored, deleted in events
        ]
        return 200, (
            f'{{"events":[{",".join(texts)}],'
            f'"store_revision":{self.revision}}}'
        )
