"""All routes of one configuration version."""

import collections
import collections.abc
import logging
import time

import msgspec

from swiftjunction.routes import _route

LOG = logging.getLogger(__name__)

# Versions of which a process remembers when they came into force.
MAX_HISTORY = 32


class ConnectionLimits(msgspec.Struct, frozen=True):
    """What a caller's connection may use.

    Attributes
    ----------
    idle_seconds : float
        How long it may be idle between two requests.
    max_body_bytes : int
        Of one request.
    """

    idle_seconds: float = 75.0
    max_body_bytes: int = 32 * 1024 * 1024


class RouteTable:
    """Finds the route of a request.

    Parameters
    ----------
    version : int
        Of the configuration; higher ones are newer.
    routes : list of Route
        All of them.
    limits : ConnectionLimits
        For callers' connections.
    """

    __slots__ = ('_by_host', 'limits', 'routes', 'version')

    def __init__(
        self,
        version: int,
        routes: list[_route.Route],
        limits: ConnectionLimits,
    ) -> None:
        self.version = version
        self.routes = routes
        self.limits = limits
        self._by_host: dict[str, list[_route.Route]] = {}
        for route in sorted(routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def find(self, host: str, path: str) -> _route.Route | None:
        """Return the route with the longest prefix of `path`, if any."""
        for route in self._by_host.get(host, []):
            if path.startswith(route.prefix):
                return route
        return None

    def list_services(self, kind: _route.RouteKind) -> set[str]:
        """Return the services of all routes of one kind."""
        return {
            share.service
            for route in self.routes
            if route.kind is kind
            for share in route.shares
        }


class ActiveRoutes:
    """The newest routes that this process has seen; it never goes back.

    Parameters
    ----------
    clock : callable
        Returns seconds of a monotonic clock.

    Attributes
    ----------
    table : RouteTable or None
        None until the first version has come.
    """

    __slots__ = ('_clock', '_history', 'table')

    def __init__(
        self, clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self.table: RouteTable | None = None
        self._clock = clock
        # Versions and when they came into force here.
        self._history: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=MAX_HISTORY)
        )

    @property
    def version(self) -> int:
        """Return the version in force; -1 before the first one."""
        return -1 if self.table is None else self.table.version

    def update(self, table: RouteTable) -> bool:
        """Put `table` in force if it is newer; tell whether it is."""
        if table.version <= self.version:
            LOG.debug(
                'configuration %s is not newer than %s',
                table.version,
                self.version,
            )
            return False
        LOG.info(
            'configuration in force',
            extra={
                'configuration_version': table.version,
                'replaced_version': self.version,
                'routes': len(table.routes),
            },
        )
        self.table = table
        self._history.append((table.version, self._clock()))
        return True

    def summarize(self) -> dict[str, object]:
        """Return what is in force, and since when, for a dump."""
        now = self._clock()
        return {
            'version': self.version,
            'routes': self.table.routes if self.table else [],
            'history': [
                {'version': version, 'seconds_ago': round(now - at, 1)}
                for version, at in reversed(self._history)
            ],
        }
