"""A stand-in for the platform's object API."""

import base64
import collections

import anyio
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction.standins import _faults
from swiftjunction import web

MAX_VALUE_BYTES = 1_000_000
KEPT_EVENTS = 10_000


class ObjectStoreStandin:
    """Objects in memory, with versions, conditions and watches.

    Faults
    ------
    crashed : the process is gone for so many seconds.
    outage : every call is refused with 503.
    slow_seconds : each call takes that much longer.
    lose_answers : so many writes take effect and lose their answer.
    refuse_writes : so many writes are refused with 503.
    stale_reads : reads answer as of so many changes ago.
    """

    def __init__(self) -> None:
        self.faults = _faults.FaultSwitches(
            'crashed',
            'outage',
            'slow_seconds',
            'lose_answers',
            'refuse_writes',
            'stale_reads',
        )
        self.revision = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._events: collections.deque[tuple[int, str, bytes | None]] = (
            collections.deque(maxlen=KEPT_EVENTS)
        )
        self._changed = anyio.Event()

    def build_app(self) -> starlette.applications.Starlette:
        """Return the HTTP application."""
        route = starlette.routing.Route
        return starlette.applications.Starlette(
            routes=[
                route('/objects', self._list),
                route('/objects/{key:path}', self._read, methods=['GET']),
                route('/objects/{key:path}', self._write, methods=['PUT']),
                route('/objects/{key:path}', self._erase, methods=['DELETE']),
                route('/watch', self._watch),
                self.faults.make_route(),
            ]
        )

    async def _enter(self, kind: str) -> starlette.responses.Response | None:
        self.calls[kind] += 1
        if self.faults.get('slow_seconds'):
            await anyio.sleep(self.faults.get('slow_seconds'))
        if self.faults.get('outage'):
            return web.respond_json({'error': 'outage'}, status=503)
        if kind in ('write', 'erase') and self.faults.consume('refuse_writes'):
            return web.respond_json({'error': 'busy'}, status=503)
        return None

    async def _read(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        refusal = await self._enter('read')
        if refusal is not None:
            return refusal
        found = self._view().get(request.path_params['key'])
        if found is None:
            return web.respond_json({'error': 'missing'}, status=404)
        return starlette.responses.Response(
            found[1], headers={'etag': f'"{found[0]}"'}
        )

    async def _list(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        refusal = await self._enter('list')
        if refusal is not None:
            return refusal
        prefix = request.query_params.get('prefix', '')
        return web.respond_json(
            {
                'revision': self.revision,
                'changed': [
                    _shape(key, version, value)
                    for key, (version, value) in self._view().items()
                    if key.startswith(prefix)
                ],
            }
        )

    async def _write(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        value = await request.body()
        refusal = await self._enter('write')
        if refusal is not None:
            return refusal
        key = request.path_params['key']
        if len(value) > MAX_VALUE_BYTES:
            return web.respond_json({'error': 'too large'}, status=413)
        if not self._holds(request, key):
            return web.respond_json({'error': 'conflict'}, status=412)
        self.revision += 1
        self._objects[key] = (self.revision, value)
        self._note(key, value)
        if self.faults.consume('lose_answers'):
            return web.respond_json({'error': 'lost'}, status=500)
        return starlette.responses.Response(
            headers={'etag': f'"{self.revision}"'}
        )

    async def _erase(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        refusal = await self._enter('erase')
        if refusal is not None:
            return refusal
        key = request.path_params['key']
        if key not in self._objects:
            return web.respond_json({'error': 'missing'}, status=404)
        if not self._holds(request, key):
            return web.respond_json({'error': 'conflict'}, status=412)
        self.revision += 1
        del self._objects[key]
        self._note(key, None)
        return starlette.responses.Response()

    async def _watch(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        refusal = await self._enter('watch')
        if refusal is not None:
            return refusal
        prefix = request.query_params.get('prefix', '')
        after = int(request.query_params.get('after', '0'))
        wait_seconds = float(request.query_params.get('wait_seconds', '10'))
        if self._events and after < self._events[0][0] - 1:
            return await self._list(request)
        with anyio.move_on_after(wait_seconds):
            while not self._since(prefix, after):
                await self._changed.wait()
        if self.faults.get('outage'):
            return web.respond_json({'error': 'outage'}, status=503)
        events = self._since(prefix, after)
        newest = {key: (version, value) for version, key, value in events}
        return web.respond_json(
            {
                'revision': self.revision,
                'changed': [
                    _shape(key, version, value)
                    for key, (version, value) in newest.items()
                    if value is not None
                ],
                'deleted': [
                    key for key, (_, value) in newest.items() if value is None
                ],
            }
        )

    def _since(
        self, prefix: str, after: int
    ) -> list[tuple[int, str, bytes | None]]:
        return [
            event
            for event in self._events
            if event[0] > after and event[1].startswith(prefix)
        ]

    def _holds(self, request: starlette.requests.Request, key: str) -> bool:
        if request.headers.get('if-none-match') == '*':
            return key not in self._objects
        wanted = request.headers.get('if-match', '').strip('"')
        found = self._objects.get(key)
        return found is not None and str(found[0]) == wanted

    def _note(self, key: str, value: bytes | None) -> None:
        self._events.append((self.revision, key, value))
        self._changed.set()
        self._changed = anyio.Event()

    def _view(self) -> dict[str, tuple[int, bytes]]:
        """Return the objects, as of some changes ago where that is a fault."""
        behind = int(self.faults.get('stale_reads'))
        if not behind:
            return self._objects
        limit = self.revision - behind
        view = {
            key: found
            for key, found in self._objects.items()
            if found[0] <= limit
        }
        for version, key, value in self._events:
            if version <= limit and value is not None:
                view.setdefault(key, (version, value))
                if view[key][0] < version:
                    view[key] = (version, value)
        return view


def _shape(key: str, version: int, value: bytes) -> dict[str, object]:
    return {
        'key': key,
        'version': version,
        'value': base64.b64encode(value).decode(),
    }
