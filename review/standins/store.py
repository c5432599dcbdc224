"""A stand-in for the platform's metadata store, as PROTOCOL.md has it."""

import asyncio
import urllib.parse

import web

PAGE_ITEMS = 500
MS = 1000.0


class Store:
    """Objects by kind and name, conditional writes, paged lists, watches."""

    def __init__(self, ip):
        self.kinds = {}
        self.revision = 1
        self._events = []
        self._changed = asyncio.Event()
        self.server = web.Server(ip, self._handle)
        # Called with each request; returns a status to refuse it, or None.
        self.refuse = lambda request: None

    @property
    def address(self):
        return self.server.address

    def put(self, kind, name, spec):
        """Create or replace the spec of an object."""
        current = self.kinds.get(kind, {}).get(name)
        status = current['status'] if current else None
        return self._write(kind, name, spec, status)

    def get(self, kind, name):
        return self.kinds.get(kind, {}).get(name)

    def remove(self, kind, name):
        found = self.kinds.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self._record(kind, found, True)

    def _write(self, kind, name, spec, status):
        current = self.get(kind, name)
        self.revision += 1
        found = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'create_revision': (
                    current['metadata']['create_revision']
                    if current
                    else self.revision
                ),
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': status,
        }
        self.kinds.setdefault(kind, {})[name] = found
        self._record(kind, found, False)
        return found

    def _record(self, kind, found, deleted):
        self._events.append((self.revision, kind, found, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request):
        status = self.refuse(request)
        if status is not None:
            await request.connection.respond(status)
            return
        status, body = await self._dispatch(request)
        await request.connection.respond(
            status, body, [('Content-Type', 'application/json')]
        )

    async def _dispatch(self, request):
        parts = request.path.split('/')[2:]
        kind = parts[0]
        name = urllib.parse.unquote(parts[1]) if len(parts) > 1 else ''
        query = request.query
        if request.method == 'GET' and not name:
            if 'watch' in query:
                return await self._watch(kind, query)
            return self._list(
                kind, urllib.parse.unquote(query.get('after', ''))
            )
        found = self.get(kind, name)
        if request.method == 'GET':
            return (200, found) if found else (404, b'')
        if request.method == 'POST':
            content = request.json()
            name = content['metadata']['name']
            found = self.get(kind, name)
            if found is not None:
                return 409, found
            return 200, self._write(kind, name, content.get('spec'), None)
        if found is None:
            return 404, b''
        current = found['metadata']['revision']
        if request.method == 'DELETE':
            if query.get('revision', str(current)) != str(current):
                return 409, found
            self.remove(kind, name)
            return 200, found
        content = request.json()
        if content['metadata'].get('revision', current) != current:
            return 409, found
        spec, status = found['spec'], found['status']
        if len(parts) > 2:
            status = content.get('status')
        else:
            spec = content.get('spec')
        if (spec, status) == (found['spec'], found['status']):
            return 200, found
        return 200, self._write(kind, name, spec, status)

    def _list(self, kind, after):
        current = self.kinds.get(kind, {})
        names = sorted(n for n in current if n > after)
        return 200, {
            'items': [current[n] for n in names[:PAGE_ITEMS]],
            'more_pages': len(names) > PAGE_ITEMS,
            'store_revision': self.revision,
        }

    async def _watch(self, kind, query):
        since = int(query['watch'])
        end = asyncio.get_running_loop().time() + (
            int(query.get('wait_ms', 0)) / MS
        )
        while True:
            events = [
                {'object': found, 'deleted': deleted}
                for revision, event_kind, found, deleted in self._events
                if revision > since and event_kind == kind
            ]
            left = end - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {
                    'events': events,
                    'store_revision': self.revision,
                }
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass
