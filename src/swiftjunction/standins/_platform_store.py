"""The platform's metadata store, in memory, with switchable faults."""

import bisect
import collections.abc
import typing

import anyio
import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction.standins import _faults
from swiftjunction import web

Request = starlette.requests.Request
Response = starlette.responses.Response
Json = dict[str, typing.Any]

PAGE_ITEMS = 500
# Far longer than any caller waits.
SILENCE_SECONDS = 60.0
MS_PER_SECOND = 1000.0


class _Event(typing.NamedTuple):
    revision: int
    kind: str
    entry: Json
    deleted: bool


class PlatformStoreStandin:
    """Objects by kind and name; conditions, watches, pages, a history.

    Attributes
    ----------
    faults : FaultSwitches
        ``busy`` and ``many`` refuse so many calls with 503 and 429,
        ``lost`` carries out so many writes and never answers them,
        ``dropped`` neither carries them out nor answers,
        ``slow`` delays each answer by so many seconds,
        ``down`` refuses all calls while it is on.
    page_items : int
        Of a list.
    calls : int
        That have come, refused ones too.
    """

    def __init__(self) -> None:
        self.faults = _faults.FaultSwitches(
            'crashed', 'busy', 'many', 'lost', 'dropped', 'slow', 'down'
        )
        self.page_items = PAGE_ITEMS
        self.calls = 0
        self._kinds: dict[str, dict[str, Json]] = {}
        self._revision = 1
        self._events: list[_Event] = []
        self._compacted_revision = 0
        self._changed = anyio.Event()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as the operator, a trainer or a server does."""
        held = self._kinds.setdefault(kind, {}).get(name)
        self._write(kind, name, {'spec': spec}, held)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, whatever its revision."""
        entry = self._kinds[kind].pop(name)
        self._note(kind, entry, deleted=True)

    def get(self, kind: str, name: str) -> Json | None:
        """Return an object, if there is one."""
        return self._kinds.get(kind, {}).get(name)

    def list_names(self, kind: str) -> list[str]:
        """Return the names of all objects of a kind."""
        return sorted(self._kinds.get(kind, {}))

    def compact_history(self) -> None:
        """Drop the history, so that watches have to list anew."""
        self._events.clear()
        self._compacted_revision = self._revision
        self._wake()

    def build_app(self) -> starlette.applications.Starlette:
        """Return the HTTP application."""
        route = starlette.routing.Route
        methods = ['GET', 'POST', 'PUT', 'DELETE']
        return starlette.applications.Starlette(
            routes=[
                route('/objects/{kind}', self._serve, methods=methods),
                route('/objects/{kind}/{name}', self._serve, methods=methods),
                route(
                    '/objects/{kind}/{name}/status',
                    self._serve_status,
                    methods=['PUT'],
                ),
            ]
        )

    async def _serve(self, request: Request) -> Response:
        return await self._answer(request, self._handle)

    async def _serve_status(self, request: Request) -> Response:
        return await self._answer(request, self._put_status)

    async def _answer(
        self,
        request: Request,
        handle: collections.abc.Callable[
            [Request, Json], collections.abc.Awaitable[Response]
        ],
    ) -> Response:
        self.calls += 1
        if self.faults.get('down') or self.faults.consume('busy'):
            return Response(status_code=503)
        if self.faults.consume('many'):
            return Response(status_code=429)
        await anyio.sleep(self.faults.get('slow'))
        is_write = request.method != 'GET'
        if is_write and self.faults.consume('dropped'):
            await anyio.sleep(SILENCE_SECONDS)
        body = await request.body()
        response = await handle(
            request, msgspec.json.decode(body) if body else {}
        )
        if is_write and self.faults.consume('lost'):
            await anyio.sleep(SILENCE_SECONDS)
        return response

    async def _handle(self, request: Request, body: Json) -> Response:
        kind = request.path_params['kind']
        name = request.path_params.get('name', '')
        match request.method:
            case 'GET' if name:
                return _respond(self.get(kind, name))
            case 'GET' if 'watch' in request.query_params:
                return await self._watch(kind, request.query_params)
            case 'GET':
                return self._list(kind, request.query_params.get('after', ''))
            case 'POST':
                return self._create(kind, body)
            case 'PUT':
                return self._replace(kind, name, body, ('spec',))
        return self._delete(kind, name, request.query_params)

    async def _put_status(self, request: Request, body: Json) -> Response:
        params = request.path_params
        return self._replace(params['kind'], params['name'], body, ('status',))

    def _list(self, kind: str, after: str) -> Response:
        held = self._kinds.get(kind, {})
        names = sorted(held)
        start = bisect.bisect_right(names, after) if after else 0
        page = names[start : start + self.page_items]
        return web.respond_json(
            {
                'items': [held[name] for name in page],
                'more_pages': start + len(page) < len(names),
                'store_revision': self._revision,
            }
        )

    async def _watch(
        self, kind: str, query: collections.abc.Mapping[str, str]
    ) -> Response:
        since = int(query['watch'])
        wait_seconds = int(query.get('wait_ms', '0')) / MS_PER_SECOND
        with anyio.move_on_after(wait_seconds):
            while since >= self._compacted_revision and not self._find(
                kind, since
            ):
                await self._changed.wait()
        if since < self._compacted_revision:
            return Response(status_code=410)
        return web.respond_json(
            {
                'events': [
                    {'object': event.entry, 'deleted': event.deleted}
                    for event in self._find(kind, since)
                ],
                'store_revision': self._revision,
            }
        )

    def _find(self, kind: str, since: int) -> list[_Event]:
        return [
            event
            for event in self._events
            if event.kind == kind and event.revision > since
        ]

    def _create(self, kind: str, body: Json) -> Response:
        name = body['metadata']['name']
        held = self._kinds.setdefault(kind, {}).get(name)
        if held is not None:
            return web.respond_json(held, status=409)
        return _respond(self._write(kind, name, body, None))

    def _replace(
        self, kind: str, name: str, body: Json, parts: tuple[str, ...]
    ) -> Response:
        held = self.get(kind, name)
        if held is None:
            return Response(status_code=404)
        wanted = body['metadata'].get('revision')
        if wanted is not None and wanted != held['metadata']['revision']:
            return web.respond_json(held, status=409)
        changes = {part: body.get(part) for part in parts}
        if all(held.get(part) == value for part, value in changes.items()):
            return _respond(held)
        return _respond(self._write(kind, name, {**held, **changes}, held))

    def _delete(
        self, kind: str, name: str, query: collections.abc.Mapping[str, str]
    ) -> Response:
        held = self.get(kind, name)
        if held is None:
            return Response(status_code=404)
        wanted = query.get('revision')
        if wanted is not None and int(wanted) != held['metadata']['revision']:
            return web.respond_json(held, status=409)
        self.remove(kind, name)
        return _respond(held)

    def _write(
        self, kind: str, name: str, body: Json, held: Json | None
    ) -> Json:
        self._revision += 1
        made = self._revision
        if held is not None:
            made = held['metadata']['create_revision']
        entry = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'create_revision': made,
                'finalizers': [],
                'deleting': False,
            },
            'spec': body.get('spec'),
            'status': body.get('status'),
        }
        self._kinds[kind][name] = entry
        self._events.append(_Event(self._revision, kind, entry, False))
        self._wake()
        return entry

    def _note(self, kind: str, entry: Json, deleted: bool) -> None:
        self._revision += 1
        self._events.append(_Event(self._revision, kind, entry, deleted))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _respond(entry: Json | None) -> Response:
    if entry is None:
        return Response(status_code=404)
    return web.respond_json(entry)
