"""Keys in the headers of requests, and what servers get in their place."""

import collections.abc

import msgspec
import starlette.requests

from swiftjunction import errors
from swiftjunction import organisations
from swiftjunction.platform import _names
from swiftjunction.platform import _settings
from swiftjunction import routes
from swiftjunction import telemetry

Request = starlette.requests.Request

# Never passed on from callers where the configuration has organisations.
CALLER_HEADERS = frozenset({_names.KEY_HEADER, _names.ORGANISATION_HEADER})
NO_HEADERS: frozenset[str] = frozenset()


class Caller(msgspec.Struct, frozen=True):
    """What a request says about who sent it.

    Attributes
    ----------
    organisation : str
        Name of the organisation; empty if there is none.
    rank : int or None
        Priority of the organisation's requests; None if the route decides.
    removed_headers : frozenset of str
        Headers of the request that no server may get.
    check : callable, optional
        Raises ``KeyUnknown`` or ``NotRun`` if the request may not be sent to
        a server any more.
    """

    organisation: str = ''
    rank: int | None = None
    removed_headers: frozenset[str] = NO_HEADERS
    check: collections.abc.Callable[[], None] | None = None

    @property
    def batch_owner(self) -> str | None:
        """Return the organisation for calls about batches.

        None if the configuration has no organisations.
        """
        return self.organisation if self.removed_headers else None


class CallerIdentification:
    """Finds out which organisation sent a request.

    Parameters
    ----------
    settings : EdgeSettings
        The bounds on keys.
    active_routes : ActiveRoutes
        Routing table in effect, which holds the keys.
    confirmation : TableConfirmation
        Tells how old the newest proof is that the table lacks no change.
    metrics : Metrics
        Counts the decisions.
    """

    __slots__ = ('_active_routes', '_checker')

    def __init__(
        self,
        settings: _settings.EdgeSettings,
        active_routes: routes.ActiveRoutes,
        confirmation: organisations.TableConfirmation,
        metrics: telemetry.Metrics,
    ) -> None:
        self._active_routes = active_routes
        self._checker = organisations.KeyChecker(
            self._find_keys,
            confirmation,
            organisations.KeyPolicy(
                settings.strict_revocation,
                settings.revoke_seconds,
                settings.config_apply_seconds,
            ),
            metrics,
        )

    async def identify(self, request: Request, route: routes.Route) -> Caller:
        """Return who sent a request of a route.

        Raises
        ------
        KeyUnknown
            If the request needs a key, and has no valid one.
        NotRun
            If that is not known.
        """
        return await self._identify(request, not route.is_public)

    async def identify_batch_caller(self, request: Request) -> Caller:
        """Return who sent a call about a batch, which has no route.

        Raises as :meth:`identify` does.
        """
        table = self._active_routes.table
        if table is None:
            raise errors.NotRun(
                'this VM has not loaded its routing table yet', step='key'
            )
        host = request.headers.get('host', '')
        return await self._identify(request, table.has_keyed_batches(host))

    async def _identify(self, request: Request, needs_key: bool) -> Caller:
        if self._find_keys() is None:
            return Caller()
        if not needs_key:
            return Caller(removed_headers=CALLER_HEADERS)
        key = organisations.select_key(
            [
                _restore_bytes(value)
                for value in request.headers.getlist(_names.KEY_HEADER)
            ]
        )
        found = await self._checker.identify(key)
        if found is None:
            return Caller()
        telemetry.set_organisation(found.name)

        def check() -> None:
            self._checker.check(key, again=True)

        return Caller(found.name, found.rank, CALLER_HEADERS, check)

    def _find_keys(self) -> organisations.KeyTable | None:
        table = self._active_routes.table
        return None if table is None else table.keys


def _restore_bytes(value: str) -> str:
    """Return a header value as the configuration writes it, in UTF-8.

    Values are decoded as Latin-1, one character for each byte.
    """
    return value.encode('latin-1').decode('utf-8', 'surrogateescape')
