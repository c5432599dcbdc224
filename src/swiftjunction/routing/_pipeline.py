"""The pipeline from all servers of a service to the one that is tried."""

import collections.abc
import random

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.routing import _policy
from swiftjunction.routing import _simple

Servers = collections.abc.Iterable[backends.BackendServer]
Route = backends.BackendServer


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

    __slots__ = ('_data_center', '_directory', '_policies')

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
        ]
        self._policies = {policy.name: policy for policy in policies}

    def choose(
        self, request: _policy.RoutingRequest, policy: str
    ) -> backends.BackendServer:
        """Return the server to try next.

        Raises
        ------
        NotRun
            If no server may get the request now.
        """
        servers = self._directory.select(request.service)
        fresh = keep_fresh(keep_available(servers), request.min_version)
        untried = keep_untried(fresh, request.excluded)
        if request.alone:
            untried = keep_idle(untried)
        candidates = prefer_near(untried, self._data_center)
        if not candidates:
            raise errors.NotRun(
                f'no server of {request.service} can take it now',
                step='route',
            )
        chosen = self._policies.get(policy, self._policies['two-choices'])
        return chosen.choose(candidates, request)


def keep_available(
    servers: Servers,
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield the servers that may get new work."""
    return (server for server in servers if server.is_available())


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


def prefer_near(
    servers: Servers, data_center: str
) -> list[backends.BackendServer]:
    """Return those of `data_center`; all of them if there are none."""
    found = list(servers)
    near = [s for s in found if s.report.data_center == data_center]
    return near or found
