"""A stand-in for the object API of the platform."""

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
MAX_EVENTS = 10_000


class ObjectStoreStandin:
    """Objects in memory, with versions, conditional writes and watches.

    Faults
    ------
    crashed : seconds for which connections are refused.
    outage : if not 0, every call fails with 503.
    slow_seconds : delay of each call in seconds.
    lose_answers : number of writes, deletes excluded, that take effect but
        fail with 500.
    refuse_writes : number of writes or deletes that fail with 503 and have no
        effect.
    stale_reads : number of the latest changes that reads and lists do not
        see.

    Attributes
    ----------
    revision : int
        Number of changes so far.
    calls : Counter
        Number of calls by kind: ``read``, ``list``, ``write``, ``erase`` and
        ``watch``.
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
            collections.deque(maxlen=MAX_EVENTS)
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

    async def _begin_call(
        self, kind: str
    ) -> starlette.responses.Response | None:
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
        error_response = await self._begin_call('read')
        if error_response is not None:
            return error_response
        current = self._select_visible().get(request.path_params['key'])
        if current is None:
            return web.respond_json({'error': 'missing'}, status=404)
        return starlette.responses.Response(
            current[1], headers={'etag': f'"{current[0]}"'}
        )

    async def _list(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        error_response = await self._begin_call('list')
        if error_response is not None:
            return error_response
        prefix = request.query_params.get('prefix', '')
        return web.respond_json(
            {
                'revision': self.revision,
                'changed': [
                    _format_object(key, version, value)
                    for key, (version, value) in self._select_visible().items()
                    if key.startswith(prefix)
                ],
            }
        )

    async def _write(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        value = await request.body()
        error_response = await self._begin_call('write')
        if error_response is not None:
            return error_response
        key = request.path_params['key']
        if len(value) > MAX_VALUE_BYTES:
            return web.respond_json({'error': 'too large'}, status=413)
        if not self._meets_precondition(request, key):
            return web.respond_json({'error': 'conflict'}, status=412)
        self.revision += 1
        self._objects[key] = (self.revision, value)
        self._record_event(key, value)
        if self.faults.consume('lose_answers'):
            return web.respond_json({'error': 'lost'}, status=500)
        return starlette.responses.Response(
            headers={'etag': f'"{self.revision}"'}
        )

    async def _erase(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        error_response = await self._begin_call('erase')
        if error_response is not None:
            return error_response
        key = request.path_params['key']
        if key not in self._objects:
            return web.respond_json({'error': 'missing'}, status=404)
        if not self._meets_precondition(request, key):
            return web.respond_json({'error': 'conflict'}, status=412)
        self.revision += 1
        del self._objects[key]
        self._record_event(key, None)
        return starlette.responses.Response()

    async def _watch(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        error_response = await self._begin_call('watch')
        if error_response is not None:
            return error_response
        prefix = request.query_params.get('prefix', '')
        after = int(request.query_params.get('after', '0'))
        wait_seconds = float(request.query_params.get('wait_seconds', '10'))
        if self._events and after < self._events[0][0] - 1:
            return await self._list(request)
        with anyio.move_on_after(wait_seconds):
            while not self._select_events(prefix, after):
                await self._changed.wait()
        if self.faults.get('outage'):
            return web.respond_json({'error': 'outage'}, status=503)
        events = self._select_events(prefix, after)
        newest = {key: (version, value) for version, key, value in events}
        return web.respond_json(
            {
                'revision': self.revision,
                'changed': [
                    _format_object(key, version, value)
                    for key, (version, value) in newest.items()
                    if value is not None
                ],
                'deleted': [
                    key for key, (_, value) in newest.items() if value is None
                ],
            }
        )

    def _select_events(
        self, prefix: str, after: int
    ) -> list[tuple[int, str, bytes | None]]:
        return [
            event
            for event in self._events
            if event[0] > after and event[1].startswith(prefix)
        ]

    def _meets_precondition(
        self, request: starlette.requests.Request, key: str
    ) -> bool:
        if request.headers.get('if-none-match') == '*':
            return key not in self._objects
        expected_version = request.headers.get('if-match', '').strip('"')
        current = self._objects.get(key)
        return current is not None and str(current[0]) == expected_version

    def _record_event(self, key: str, value: bytes | None) -> None:
        self._events.append((self.revision, key, value))
        self._changed.set()
        self._changed = anyio.Event()

    def _select_visible(self) -> dict[str, tuple[int, bytes]]:
        """Return the objects without the changes that ``stale_reads`` hides.

        A deleted object is included if the history has a visible write of it,
        even if its deletion is visible too.
        """
        hidden_changes = int(self.faults.get('stale_reads'))
        if not hidden_changes:
            return self._objects
        newest_visible = self.revision - hidden_changes
        visible = {
            key: current
            for key, current in self._objects.items()
            if current[0] <= newest_visible
        }
        for version, key, value in self._events:
            if version <= newest_visible and value is not None:
                visible.setdefault(key, (version, value))
                if visible[key][0] < version:
                    visible[key] = (version, value)
        return visible


def _format_object(key: str, version: int, value: bytes) -> dict[str, object]:
    return {
        'key': key,
        'version': version,
        'value': base64.b64encode(value).decode(),
    }
