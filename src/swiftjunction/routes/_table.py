"""The routes of a configuration version, and the active version."""

import collections
import collections.abc
import logging
import time

import msgspec

from swiftjunction import organisations
from swiftjunction.routes import _route
from swiftjunction import scaling

LOG = logging.getLogger(__name__)

MAX_HISTORY_VERSIONS = 32


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Limits of a configuration on the connections of callers.

    That on idle time is decoded, but not enforced: the listener has its own.

    Attributes
    ----------
    idle_seconds : float
        The maximum idle time between two requests, in seconds.
    max_body_bytes : int
        The maximum size of the body of one request, in bytes.
    max_head_bytes : int
        The maximum size of the head of one request, in bytes.
    head_seconds : float
        How long the head of a request may take, in seconds.
    """

    idle_seconds: float = 75.0
    max_body_bytes: int = 32 * 1024 * 1024
    max_head_bytes: int = 16 * 1024
    head_seconds: float = 15.0


class RouteTable:
    """Finds the route of a request.

    Parameters
    ----------
    version : int
        The configuration version; higher versions are newer.
    routes : list of Route
        The routes of all hosts.
    limits : ConnectionLimits
        The limits that the configuration sets.
    keys : KeyTable, optional
        The keys of organisations; None if requests carry no keys.
    scalings : list of ServiceScaling
        The limits of the services whose servers are ordered.
    """

    __slots__ = (
        '_by_host',
        'keys',
        'limits',
        'routes',
        'scalings',
        'version',
    )

    def __init__(
        self,
        version: int,
        routes: list[_route.Route],
        limits: ConnectionLimits,
        keys: organisations.KeyTable | None = None,
        scalings: collections.abc.Sequence[scaling.ServiceScaling] = (),
    ) -> None:
        self.version = version
        self.keys = keys
        self.scalings = list(scalings)
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

    def has_keyed_batches(self, host: str) -> bool:
        """Return whether calls about batches of a host need a key.

        They name a batch and not its route. They need none if requests do
        not, or if all routes of the host that take batches are public.
        """
        if self.keys is None:
            return False
        batch_routes = [
            route
            for route in self._by_host.get(host, [])
            if route.kind is _route.RouteKind.BATCH
        ]
        return not batch_routes or not all(
            route.is_public for route in batch_routes
        )

    def list_services(self, kind: _route.RouteKind) -> set[str]:
        """Return the services of all routes of one kind."""
        return {
            share.service
            for route in self.routes
            if route.kind is kind
            for share in route.shares
        }


class ActiveRoutes:
    """The newest route table that this process has received.

    Older tables that arrive late are ignored.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.

    Attributes
    ----------
    table : RouteTable or None
        None until the first version has arrived.
    """

    __slots__ = ('_clock', '_history', 'table')

    def __init__(
        self, clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self.table: RouteTable | None = None
        self._clock = clock
        # Versions and the times at which they became active.
        self._history: collections.deque[tuple[int, float]] = (
            collections.deque(maxlen=MAX_HISTORY_VERSIONS)
        )

    @property
    def version(self) -> int:
        """Return the active version, or -1 before the first one."""
        return -1 if self.table is None else self.table.version

    def has_keys(self) -> bool:
        """Return whether the active table asks callers for keys."""
        return self.table is not None and self.table.keys is not None

    def list_batch_services(self) -> set[str]:
        """Return the services that run batches; none before a table."""
        if self.table is None:
            return set()
        return self.table.list_services(_route.RouteKind.BATCH)

    def update(self, table: RouteTable) -> bool:
        """Replace the table if `table` is newer, and return whether it is."""
        if table.version <= self.version:
            LOG.debug(
                'ignoring configuration version %s, not newer than version %s',
                table.version,
                self.version,
            )
            return False
        LOG.info(
            'activated a new configuration',
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
        """Return the active routes and recent versions, for the state dump."""
        now = self._clock()
        keys = self.table.keys if self.table else None
        return {
            'version': self.version,
            'routes': self.table.routes if self.table else [],
            'organisations': len(keys.names) if keys is not None else None,
            'keys': len(keys) if keys is not None else None,
            'history': [
                {'version': version, 'seconds_ago': round(now - at, 1)}
                for version, at in reversed(self._history)
            ],
        }
