"""A stand-in for the metadata store of the platform."""

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
# Exceeds the timeout of every client.
UNANSWERED_SECONDS = 60.0
MS_PER_SECOND = 1000.0


class _Event(typing.NamedTuple):
    revision: int
    kind: str
    stored_object: Json
    deleted: bool


class PlatformStoreStandin:
    """Objects in memory, with conditional writes, paged lists and watches.

    Attributes
    ----------
    faults : FaultSwitches
        ``crashed``: seconds for which connections are refused.
        ``busy``: number of calls that fail with 503.
        ``many``: number of calls that fail with 429.
        ``lost``: number of writes that take effect without a response.
        ``dropped``: number of writes that hang before they take effect.
        ``slow``: delay of each call in seconds.
        ``down``: if not 0, all calls fail with 503.
    page_items : int
        Maximum number of objects on a page of a list.
    calls : int
        Number of calls, including those that failed.
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
        """Create or replace an object at any revision; reset its status."""
        current = self._kinds.setdefault(kind, {}).get(name)
        self._write(kind, name, {'spec': spec}, current)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object at any revision."""
        stored_object = self._kinds[kind].pop(name)
        self._record_event(kind, stored_object, deleted=True)

    def get(self, kind: str, name: str) -> Json | None:
        """Return an object, if there is one."""
        return self._kinds.get(kind, {}).get(name)

    def list_names(self, kind: str) -> list[str]:
        """Return the names of all objects of a kind."""
        return sorted(self._kinds.get(kind, {}))

    def compact_history(self) -> None:
        """Discard the history, so that watchers must list again."""
        self._events.clear()
        self._compacted_revision = self._revision
        self._notify_watchers()

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
        return await self._serve_with_faults(request, self._dispatch)

    async def _serve_status(self, request: Request) -> Response:
        return await self._serve_with_faults(request, self._replace_status)

    async def _serve_with_faults(
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
            await anyio.sleep(UNANSWERED_SECONDS)
        body = await request.body()
        response = await handle(
            request, msgspec.json.decode(body) if body else {}
        )
        if is_write and self.faults.consume('lost'):
            await anyio.sleep(UNANSWERED_SECONDS)
        return response

    async def _dispatch(self, request: Request, body: Json) -> Response:
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

    async def _replace_status(self, request: Request, body: Json) -> Response:
        params = request.path_params
        return self._replace(params['kind'], params['name'], body, ('status',))

    def _list(self, kind: str, after: str) -> Response:
        current = self._kinds.get(kind, {})
        names = sorted(current)
        start = bisect.bisect_right(names, after) if after else 0
        page_names = names[start : start + self.page_items]
        return web.respond_json(
            {
                'items': [current[name] for name in page_names],
                'more_pages': start + len(page_names) < len(names),
                'store_revision': self._revision,
            }
        )

    async def _watch(
        self, kind: str, query: collections.abc.Mapping[str, str]
    ) -> Response:
        after_revision = int(query['watch'])
        wait_seconds = int(query.get('wait_ms', '0')) / MS_PER_SECOND
        with anyio.move_on_after(wait_seconds):
            while (
                after_revision >= self._compacted_revision
                and not self._select_events(kind, after_revision)
            ):
                await self._changed.wait()
        if after_revision < self._compacted_revision:
            return Response(status_code=410)
        return web.respond_json(
            {
                'events': [
                    {'object': event.stored_object, 'deleted': event.deleted}
                    for event in self._select_events(kind, after_revision)
                ],
                'store_revision': self._revision,
            }
        )

    def _select_events(self, kind: str, after_revision: int) -> list[_Event]:
        return [
            event
            for event in self._events
            if event.kind == kind and event.revision > after_revision
        ]

    def _create(self, kind: str, body: Json) -> Response:
        name = body['metadata']['name']
        current = self._kinds.setdefault(kind, {}).get(name)
        if current is not None:
            return web.respond_json(current, status=409)
        return _respond(self._write(kind, name, body, None))

    def _replace(
        self, kind: str, name: str, body: Json, fields: tuple[str, ...]
    ) -> Response:
        current = self.get(kind, name)
        if current is None:
            return Response(status_code=404)
        expected_revision = body['metadata'].get('revision')
        if (
            expected_revision is not None
            and expected_revision != current['metadata']['revision']
        ):
            return web.respond_json(current, status=409)
        changes = {field: body.get(field) for field in fields}
        if all(
            current.get(field) == value for field, value in changes.items()
        ):
            return _respond(current)
        return _respond(
            self._write(kind, name, {**current, **changes}, current)
        )

    def _delete(
        self, kind: str, name: str, query: collections.abc.Mapping[str, str]
    ) -> Response:
        current = self.get(kind, name)
        if current is None:
            return Response(status_code=404)
        expected_revision = query.get('revision')
        if (
            expected_revision is not None
            and int(expected_revision) != current['metadata']['revision']
        ):
            return web.respond_json(current, status=409)
        self.remove(kind, name)
        return _respond(current)

    def _write(
        self, kind: str, name: str, body: Json, current: Json | None
    ) -> Json:
        self._revision += 1
        create_revision = self._revision
        if current is not None:
            create_revision = current['metadata']['create_revision']
        stored_object = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'create_revision': create_revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': body.get('spec'),
            'status': body.get('status'),
        }
        self._kinds[kind][name] = stored_object
        self._events.append(_Event(self._revision, kind, stored_object, False))
        self._notify_watchers()
        return stored_object

    def _record_event(
        self, kind: str, stored_object: Json, deleted: bool
    ) -> None:
        self._revision += 1
        self._events.append(
            _Event(self._revision, kind, stored_object, deleted)
        )
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _respond(stored_object: Json | None) -> Response:
    if stored_object is None:
        return Response(status_code=404)
    return web.respond_json(stored_object)
