"""The HTTP interface of a conductor, for operators and publishers."""

import msgspec
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import web
from swiftjunction import weights


class ChangeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A change of one team's settings.

    Attributes
    ----------
    version : int
        The object version that the author has seen; 0 for none.
    paths : dict
        The new settings of each path; null removes the path.
    """

    version: int
    author: str
    paths: dict[str, configuration.PathSettings | None]


class ControlApp:
    """Serves operators."""

    __slots__ = ('_editor', '_publisher', '_tree')

    def __init__(
        self,
        editor: configuration.Editor,
        publisher: weights.Publisher,
        tree: configuration.Tree,
    ) -> None:
        self._editor = editor
        self._publisher = publisher
        self._tree = tree

    def list_routes(self) -> list[starlette.routing.Route]:
        """Return the routes of this interface."""
        route = starlette.routing.Route
        return [
            route('/v1/configuration/{team}', self._show, methods=['GET']),
            route('/v1/configuration/{team}', self._change, methods=['POST']),
            route(
                '/v1/weights/{model}/versions',
                self._publish,
                methods=['POST'],
            ),
        ]

    async def _show(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        team = request.path_params['team']
        try:
            subtree, version = await self._editor.read(team)
        except errors.PlatformError as error:
            return _respond_platform_error(error)
        return web.respond_json(
            {
                'subtree': subtree,
                'version': version,
                'in_force': self._tree.versions().get(team, 0),
            }
        )

    async def _change(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        try:
            change = msgspec.json.decode(
                await request.body(), type=ChangeRequest
            )
            version = await self._editor.apply(
                request.path_params['team'],
                change.paths,
                author=change.author,
                version=change.version,
            )
        except msgspec.MsgspecError as error:
            return _respond_problem('invalid', str(error), 400)
        except errors.SettingsError as error:
            return _respond_problem('invalid', error.message, 400)
        except errors.PlatformError as error:
            return _respond_platform_error(error)
        return web.respond_json({'outcome': 'accepted', 'version': version})

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
    return _respond_problem('refused', str(error), 503)


def _respond_problem(
    outcome: str, message: str, status: int
) -> starlette.responses.Response:
    return web.respond_json(
        {'outcome': outcome, 'message': message}, status=status
    )
