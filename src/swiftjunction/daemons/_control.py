"""The HTTP interface of a conductor, for operators and publishers."""

import collections.abc

import msgspec
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction import configuration
from swiftjunction.daemons import _active_revisions
from swiftjunction import errors
from swiftjunction import web
from swiftjunction import weights

DEFAULT_HISTORY_ENTRIES = 20
TEAM_URL = '/v1/configuration/{team}'

Handler = collections.abc.Callable[
    [starlette.requests.Request, str],
    collections.abc.Awaitable[starlette.responses.Response],
]


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A change of one team's settings.

    Attributes
    ----------
    version : int
        The object version that the author has seen; 0 for none.
    paths : dict
        The new settings of each path; null removes the path.
    revision : int
        The revision that the author has seen, where there is a nonce.
    nonce : str
        Names the change: sent again under it, it is applied at most once.
    """

    version: int
    author: str
    paths: dict[str, configuration.PathSettings | None]
    revision: int | None = None
    nonce: str = ''


class ControlApp:
    """Serves operators.

    Parameters
    ----------
    editor : Editor
        Changes subtrees.
    publisher : Publisher
        Publishes weight versions.
    tree : Tree
        The configuration in force here.
    keys : KeyRing
        Who may do what.
    key_editor : KeyEditor
        Issues keys.
    revision_collector : RevisionCollector
        Asks the other daemons what they have in force.
    """

    __slots__ = (
        '_editor',
        '_key_editor',
        '_keys',
        '_publisher',
        '_tree',
        '_revision_collector',
    )

    def __init__(
        self,
        editor: configuration.Editor,
        publisher: weights.Publisher,
        tree: configuration.Tree,
        keys: configuration.KeyRing,
        key_editor: configuration.KeyEditor,
        revision_collector: _active_revisions.RevisionCollector,
    ) -> None:
        self._editor = editor
        self._publisher = publisher
        self._tree = tree
        self._keys = keys
        self._key_editor = key_editor
        self._revision_collector = revision_collector

    def list_routes(self) -> list[starlette.routing.Route]:
        """Return the routes of this interface."""
        return [
            self._route(TEAM_URL, self._show),
            self._route(TEAM_URL, self._change, 'POST'),
            self._route(f'{TEAM_URL}/history', self._list_history),
            self._route(
                f'{TEAM_URL}/history/{{revision:int}}', self._show_revision
            ),
            self._route(f'{TEAM_URL}/where', self._show_where),
            self._route('/v1/keys/{team}/{name}', self._issue_key, 'POST'),
            self._route(
                '/v1/keys/{team}/{name}', self._withdraw_key, 'DELETE'
            ),
            starlette.routing.Route(
                '/v1/weights/{model}/versions',
                self._publish,
                methods=['POST'],
            ),
        ]

    def _route(
        self, url: str, handler: Handler, method: str = 'GET'
    ) -> starlette.routing.Route:
        """Make a route of one team, for holders of that team's keys."""

        async def serve(
            request: starlette.requests.Request,
        ) -> starlette.responses.Response:
            team = request.path_params['team']
            try:
                holder = self._keys.identify(
                    team, web.read_bearer_token(request)
                )
                return await handler(request, holder)
            except errors.KeyRefused as error:
                return _respond_problem('refused', error.message, 403)
            except msgspec.MsgspecError as error:
                return _respond_problem('invalid', str(error), 400)
            except errors.SettingsError as error:
                return _respond_problem('invalid', error.message, 400)
            except errors.PlatformError as error:
                return _respond_platform_error(error)

        return starlette.routing.Route(url, serve, methods=[method])

    async def _show(
        self, request: starlette.requests.Request, holder: str
    ) -> starlette.responses.Response:
        team = request.path_params['team']
        subtree, version = await self._editor.read(team)
        in_force = self._tree.list_active_revisions().get(team)
        return web.respond_json(
            {
                'subtree': subtree,
                'version': version,
                'in_force': in_force.revision if in_force else 0,
            }
        )

    async def _change(
        self, request: starlette.requests.Request, holder: str
    ) -> starlette.responses.Response:
        change = msgspec.json.decode(await request.body(), type=ChangeRequest)
        version = await self._editor.apply(
            request.path_params['team'],
            change.paths,
            author=holder or change.author,
            version=change.version,
            revision=change.revision,
            nonce=change.nonce,
        )
        return web.respond_json({'outcome': 'accepted', 'version': version})

    async def _list_history(
        self, request: starlette.requests.Request, holder: str
    ) -> starlette.responses.Response:
        limit = request.query_params.get('limit', '')
        entries = await configuration.list_history(
            self._editor,
            request.path_params['team'],
            int(limit) if limit.isdigit() else DEFAULT_HISTORY_ENTRIES,
        )
        return web.respond_json({'history': entries})

    async def _show_revision(
        self, request: starlette.requests.Request, holder: str
    ) -> starlette.responses.Response:
        subtree = await self._editor.read_revision(
            request.path_params['team'], request.path_params['revision']
        )
        return web.respond_json({'subtree': subtree})

    async def _show_where(
        self, request: starlette.requests.Request, holder: str
    ) -> starlette.responses.Response:
        found = await self._revision_collector.collect(
            request.path_params['team']
        )
        return web.respond_json({'daemons': found})

    async def _issue_key(
        self, request: starlette.requests.Request, holder: str
    ) -> starlette.responses.Response:
        key = await self._key_editor.issue(
            request.path_params['team'], request.path_params['name']
        )
        return web.respond_json({'key': key})

    async def _withdraw_key(
        self, request: starlette.requests.Request, holder: str
    ) -> starlette.responses.Response:
        count = await self._key_editor.withdraw(
            request.path_params['team'],
            request.path_params['name'],
            request.query_params.get('keep', ''),
        )
        return web.respond_json({'withdrawn': count})

    async def _publish(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        model = request.path_params['model']
        try:
            source = int(request.query_params.get('source', '0'))
            version = await self._publisher.publish(model, source)
        except ValueError as error:
            return _respond_problem('invalid', f'source: {error}', 400)
        except errors.SettingsError as error:
            return _respond_problem('invalid', error.message, 400)
        except errors.PlatformError as error:
            return _respond_platform_error(error)
        return web.respond_json({'model': model, 'version': version})


def _respond_platform_error(
    error: errors.PlatformError,
) -> starlette.responses.Response:
    if isinstance(error, errors.RevisionConflict):
        return _respond_problem('conflict', str(error), 409)
    if isinstance(error, errors.WriteUncertain):
        return _respond_problem('unknown', str(error), 504)
    if isinstance(error, errors.ObjectMissing):
        return _respond_problem('missing', str(error), 404)
    return _respond_problem('refused', str(error), 503)


def _respond_problem(
    outcome: str, message: str, status: int
) -> starlette.responses.Response:
    return web.respond_json(
        {'outcome': outcome, 'message': message}, status=status
    )
