"""The HTTP interface of a conductor for operators and weight publishers."""

import collections.abc

import msgspec
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction import configuration
from swiftjunction.daemons import _active_revisions
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import web
from swiftjunction import weights

DEFAULT_HISTORY_ENTRIES = 20
TEAM_SETTINGS_URL = '/v1/configuration/{team}'

Handler = collections.abc.Callable[
    [starlette.requests.Request, str],
    collections.abc.Awaitable[starlette.responses.Response],
]


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """The request body of a change of one team's settings.

    Attributes
    ----------
    version : int
        The object version that the change is based on; 0 for none.
    author : str
        The name of the author; ignored if a key identifies the operator.
    paths : dict
        The new settings of each path; null removes the path.
    revision : int
        The revision that the change is based on; needed with `nonce`.
    nonce : str
        Identifies the change. If it is sent again with its nonce, it is
        applied at most once.
    """

    version: int
    author: str
    paths: dict[str, configuration.PathSettings | None]
    revision: int | None = None
    nonce: str = ''


class ControlApp:
    """Serves the settings and keys of teams, and publishes weight versions.

    Parameters
    ----------
    editor : Editor
        Reads and changes the settings of teams.
    publisher : Publisher
        Publishes weight versions.
    tree : Tree
        The active settings of this daemon.
    keys : KeyRing
        Identifies operators by their keys.
    key_editor : KeyEditor
        Issues and withdraws keys.
    revision_collector : RevisionCollector
        Collects the active revision of each daemon.
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
        """Return the routes to mount in the HTTP application."""
        return [
            self._make_route(TEAM_SETTINGS_URL, self._show_settings),
            self._make_route(TEAM_SETTINGS_URL, self._change_settings, 'POST'),
            self._make_route(
                f'{TEAM_SETTINGS_URL}/history', self._list_history
            ),
            self._make_route(
                f'{TEAM_SETTINGS_URL}/history/{{revision:int}}',
                self._show_revision,
            ),
            self._make_route(
                f'{TEAM_SETTINGS_URL}/where', self._show_active_revisions
            ),
            self._make_route(
                '/v1/keys/{team}/{name}', self._issue_key, 'POST'
            ),
            self._make_route(
                '/v1/keys/{team}/{name}', self._withdraw_key, 'DELETE'
            ),
            starlette.routing.Route(
                '/v1/weights/{model}/versions',
                self._publish_version,
                methods=['POST'],
            ),
        ]

    def _make_route(
        self, url: str, handler: Handler, method: str = 'GET'
    ) -> starlette.routing.Route:
        """Return a route that checks the key for the team in its URL."""

        async def serve(
            request: starlette.requests.Request,
        ) -> starlette.responses.Response:
            team = request.path_params['team']
            try:
                operator = self._keys.identify(
                    team, web.read_bearer_token(request)
                )
                return await handler(request, operator)
            except errors.KeyRefused as error:
                return _respond_error('refused', error.message, 403)
            except errors.ContentBroken as error:
                return _respond_error('invalid', str(error), 400)
            except errors.SettingsError as error:
                return _respond_error('invalid', error.message, 400)
            except errors.PlatformError as error:
                return _respond_platform_error(error)

        return starlette.routing.Route(url, serve, methods=[method])

    async def _show_settings(
        self, request: starlette.requests.Request, operator: str
    ) -> starlette.responses.Response:
        team = request.path_params['team']
        subtree, version = await self._editor.read(team)
        active = self._tree.list_active_revisions().get(team)
        return web.respond_json(
            {
                'subtree': subtree,
                'version': version,
                'in_force': active.revision if active else 0,
            }
        )

    async def _change_settings(
        self, request: starlette.requests.Request, operator: str
    ) -> starlette.responses.Response:
        change = decoding.decode_json(await request.body(), ChangeRequest)
        version = await self._editor.apply(
            request.path_params['team'],
            change.paths,
            author=operator or change.author,
            version=change.version,
            revision=change.revision,
            nonce=change.nonce,
        )
        return web.respond_json({'outcome': 'accepted', 'version': version})

    async def _list_history(
        self, request: starlette.requests.Request, operator: str
    ) -> starlette.responses.Response:
        limit = request.query_params.get('limit', '')
        entries = await configuration.list_history(
            self._editor,
            request.path_params['team'],
            int(limit) if limit.isdigit() else DEFAULT_HISTORY_ENTRIES,
        )
        return web.respond_json({'history': entries})

    async def _show_revision(
        self, request: starlette.requests.Request, operator: str
    ) -> starlette.responses.Response:
        subtree = await self._editor.read_revision(
            request.path_params['team'], request.path_params['revision']
        )
        return web.respond_json({'subtree': subtree})

    async def _show_active_revisions(
        self, request: starlette.requests.Request, operator: str
    ) -> starlette.responses.Response:
        revisions = await self._revision_collector.collect(
            request.path_params['team']
        )
        return web.respond_json({'daemons': revisions})

    async def _issue_key(
        self, request: starlette.requests.Request, operator: str
    ) -> starlette.responses.Response:
        key = await self._key_editor.issue(
            request.path_params['team'], request.path_params['name']
        )
        return web.respond_json({'key': key})

    async def _withdraw_key(
        self, request: starlette.requests.Request, operator: str
    ) -> starlette.responses.Response:
        count = await self._key_editor.withdraw(
            request.path_params['team'],
            request.path_params['name'],
            request.query_params.get('keep', ''),
        )
        return web.respond_json({'withdrawn': count})

    async def _publish_version(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        model = request.path_params['model']
        try:
            source = int(request.query_params.get('source', '0'))
            version = await self._publisher.publish(model, source)
        except ValueError as error:
            return _respond_error('invalid', f'source: {error}', 400)
        except errors.SettingsError as error:
            return _respond_error('invalid', error.message, 400)
        except errors.PlatformError as error:
            return _respond_platform_error(error)
        return web.respond_json({'model': model, 'version': version})


def _respond_platform_error(
    error: errors.PlatformError,
) -> starlette.responses.Response:
    if isinstance(error, errors.RevisionConflict):
        return _respond_error('conflict', str(error), 409)
    if isinstance(error, errors.WriteUncertain):
        return _respond_error('unknown', str(error), 504)
    if isinstance(error, errors.ObjectMissing):
        return _respond_error('missing', str(error), 404)
    return _respond_error('refused', str(error), 503)


def _respond_error(
    outcome: str, message: str, status: int
) -> starlette.responses.Response:
    return web.respond_json(
        {'outcome': outcome, 'message': message}, status=status
    )
