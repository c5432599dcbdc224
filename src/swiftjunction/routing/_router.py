"""The pipeline from all servers of a service to the one that is tried."""

import collections.abc
import random

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.routing import _policy
from swiftjunction.routing import _prefix
from swiftjunction.routing import _simple
from swiftjunction.routing import _wait_queue

Servers = collections.abc.Iterable[backends.BackendServer]
Route = backends.BackendServer

# Above this mean load the servers of the own data centre get help.
SPILL_LOAD = 0.8


class Router:
    """Chooses backend servers by the policy of each path.

    Parameters
    ----------
    directory : Directory
        The servers.
    data_center : str
        Where this process runs.
    rng : random.Random
        For the policies that draw.
    """

    __slots__ = ('_data_center', '_directory', '_lines', '_policies')

    def __init__(
        self,
        directory: backends.Directory,
        data_center: str,
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._data_center = data_center
        policies: list[_policy.Policy] = [
            _simple.RoundRobin(),
            _simple.LeastOutstanding(rng),
            _simple.TwoChoices(rng),
            _prefix.PrefixAffinity(rng),
        ]
        self._policies = {policy.name: policy for policy in policies}
        self._lines: dict[str, _wait_queue.Line] = {}
        directory.listen(self._wake)

    def _wake(self, service: str) -> None:
        line = self._lines.get(service)
        if line is not None:
            line.wake()

    async def acquire(
        self, request: _policy.RoutingRequest, policy: str
    ) -> backends.BackendServer:
        """Return the server to try next, waiting in line for a place.

        The caller tracks the request on the server before it awaits anything,
        so that the place stays its own.

        Raises
        ------
        NotRun
            If no server may get the request now.
        ServersBusy
            If servers may, and have no place within the time it may wait.
        """
        line = self._lines.get(request.service)
        if line is None:
            line = self._lines[request.service] = _wait_queue.Line()
        return await line.take(lambda: self.choose(request, policy), request)

    def has_live_server(self, service: str) -> bool:
        """Tell whether any server of `service` is live, fresh or not."""
        return any(keep_live(self._directory.select(service)))

    def count_waiting(self) -> dict[str, int]:
        """Return how many requests wait for each service."""
        return {service: len(line) for service, line in self._lines.items()}

    def choose(
        self, request: _policy.RoutingRequest, policy: str
    ) -> backends.BackendServer:
        """Return the server to try next.

        Raises
        ------
        NotRun
            If no server may get the request now.
        ServersBusy
            If servers may, and each is at its limit.
        """
        usable = list(self._select_usable(request))
        if not usable:
            raise errors.NotRun(
                f'no server of {request.service} can take it now',
                step='route',
            )
        free = keep_with_place(usable, request.max_load)
        candidates = spill_over(free, self._data_center)
        if not candidates:
            raise errors.ServersBusy(
                f'every server of {request.service} is at its limit',
                step='route',
            )
        chosen = self._policies.get(policy, self._policies['two-choices'])
        return chosen.choose(candidates, request)

    def _select_usable(
        self, request: _policy.RoutingRequest
    ) -> collections.abc.Iterator[backends.BackendServer]:
        live = keep_live(self._directory.select(request.service))
        fresh = keep_fresh(live, request.min_version)
        if request.alone:
            available = (s for s in fresh if s.is_available())
            return keep_idle(keep_untried(available, request.excluded))
        return keep_untried(limit_ejections(fresh), request.excluded)


def keep_live(
    servers: Servers,
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield the servers that take new work, ejected ones too."""
    return (server for server in servers if server.is_live())


def limit_ejections(
    servers: Servers,
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield all servers but the ejected ones, and at least half of all.

    Where more than half are ejected, what fails is more likely the network
    or the requests than the servers, and the rest could not carry the load.
    Those whose ejection ends first are then used at once.
    """
    found = sorted(servers, key=lambda s: s.health.ejected_seconds)
    at_least = (len(found) + 1) // 2
    return (
        server
        for place, server in enumerate(found)
        if place < at_least or not server.health.ejected_seconds
    )


def keep_with_place(
    servers: Servers, max_load: float
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield the servers whose limits are not reached.

    A load report that is not renewed loses its weight, so that a request that
    waits for a lower load is in time let through to learn of it.
    """
    return (
        server
        for server in servers
        if server.has_capacity() and server.recent_load < max_load
    )


def keep_fresh(
    servers: Servers, min_version: int
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield the servers whose weights are within the bound.

    A report is old, and an engine only moves forward: the version that it
    runs is the reported one or a later one, so the error is on the safe side.
    """
    return (s for s in servers if s.weight_version >= min_version)


def keep_untried(
    servers: Servers, excluded: frozenset[str]
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield the servers that did not fail this request."""
    return (s for s in servers if s.name not in excluded)


def keep_idle(
    servers: Servers,
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield servers for a request that must run alone.

    That is none where only one healthy server is left: a request that may
    crash it would take the service down.
    """
    found = list(servers)
    if len(found) > 1:
        yield from (server for server in found if not server.in_flight)


def spill_over(
    servers: Servers, data_center: str
) -> list[backends.BackendServer]:
    """Return the near servers, and others too where the near are loaded.

    Of the others only those with less load than the near ones are added, so
    that an overload of one data centre does not become one of the next.
    """
    found = list(servers)
    near = [s for s in found if s.report.data_center == data_center]
    if not near or len(near) == len(found):
        return found
    load = sum(estimate_utilization(s) for s in near) / len(near)
    if load < SPILL_LOAD:
        return near
    return [
        server
        for server in found
        if server.report.data_center == data_center
        or estimate_utilization(server) < load
    ]


def estimate_utilization(server: backends.BackendServer) -> float:
    """Return how full a server is, by its report or by our own limit."""
    return max(server.recent_load, server.in_flight / server.limit.requests)
