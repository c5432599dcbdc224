"""Selection of a backend server from all servers of a service."""

import collections.abc
import random

import anyio

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.routing import _policy
from swiftjunction.routing import _prefix
from swiftjunction.routing import _shares
from swiftjunction.routing import _simple
from swiftjunction.routing import _waiting

Servers = collections.abc.Iterable[backends.BackendServer]
BackendServer = backends.BackendServer

# Mean utilization (0 to 1) of local servers from which remote ones are added.
SPILL_OVER_UTILIZATION = 0.8


class Router:
    """Chooses backend servers by the policy of each path.

    Parameters
    ----------
    directory : Directory
        The known servers.
    data_center : str
        The data centre of this process.
    rng : random.Random
        The source of random choices of the policies.
    permits : PermitSource, optional
        Permits for the servers that named a request limit.
    """

    __slots__ = (
        '_data_center',
        '_directory',
        '_permits',
        '_policies',
        '_queues',
        '_rng',
    )

    def __init__(
        self,
        directory: backends.Directory,
        data_center: str,
        rng: random.Random,
        permits: backends.PermitSource | None = None,
    ) -> None:
        self._rng = rng
        self._permits = permits or backends.UnlimitedPermits()
        self._directory = directory
        self._data_center = data_center
        policies: list[_policy.Policy] = [
            _simple.RoundRobin(),
            _simple.LeastOutstanding(rng),
            _simple.TwoChoices(rng),
            _prefix.PrefixAffinity(rng),
        ]
        self._policies = {policy.name: policy for policy in policies}
        self._queues: dict[str, _waiting.WaitQueue] = {}
        directory.listen(self._wake)

    def _wake(self, service: str) -> None:
        queue = self._queues.get(service)
        if queue is not None:
            queue.wake()

    async def acquire(
        self, request: _policy.RoutingRequest, policy: str
    ) -> backends.BackendServer:
        """Return the server to try next, after a wait for capacity if needed.

        The caller must track the request on the server before its next
        ``await``; until then the server's capacity is not reserved.

        Raises
        ------
        NotRun
            If no server is eligible for the request.
        ServersBusy
            If no server had capacity in time; at once if the expected wait
            is too long.
        RateLimited
            If the limits of all servers are used up, at once.
        """
        queue = self._get_queue(request.service)
        while True:
            server = await queue.acquire(
                lambda: self.choose(request, policy), request
            )
            if await self._acquire_permit(server, request):
                return server

    def _get_queue(self, service: str) -> _waiting.WaitQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = _waiting.WaitQueue(self._rng)
        return queue

    def list_flow_rates(self) -> dict[str, list[_shares.FlowRate]]:
        """Return the load of organisations by service, for peers.

        Services without requests that had to wait lately are left out.
        """
        rates = {
            service: queue.shares.list_rates()
            for service, queue in self._queues.items()
        }
        return {service: listed for service, listed in rates.items() if listed}

    def record_flow_rates(
        self, peer: str, rates: dict[str, list[_shares.FlowRate]]
    ) -> None:
        """Take over the load of organisations that a peer tells."""
        for service, listed in rates.items():
            if service in self._queues:
                self._queues[service].shares.record_report(peer, listed)

    def summarize_shares(self) -> dict[str, object]:
        """Return the fair level of each service, for the state dump."""
        return {
            service: queue.shares.summarize()
            for service, queue in self._queues.items()
        }

    async def _acquire_permit(
        self, server: BackendServer, request: _policy.RoutingRequest
    ) -> bool:
        """Return whether the chosen server may be used."""
        if not server.is_rate_limited():
            return True
        try:
            await self._permits.acquire(
                server,
                request.request_class,
                request.deadline - anyio.current_time(),
            )
        except errors.RateLimited:
            # The server is not chosen again before it may have a permit.
            return False
        return server.is_live()

    def has_live_server(self, service: str) -> bool:
        """Return whether any server of `service` is live, with any weights."""
        return any(filter_live(self._directory.select(service)))

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting requests by service."""
        return {service: len(queue) for service, queue in self._queues.items()}

    def choose(
        self, request: _policy.RoutingRequest, policy: str
    ) -> backends.BackendServer:
        """Return the server to try next.

        An unknown `policy` counts as ``two-choices``.

        Raises
        ------
        NotRun
            If no server is eligible for the request.
        ServersBusy
            If all eligible servers are at capacity.
        RateLimited
            If the limits of all eligible servers are used up.
        """
        eligible = list(self._select_eligible(request))
        if not eligible:
            raise errors.NotRun(
                f'no server of {request.service} is eligible for the request',
                step='route',
            )
        permitted = filter_permitted(eligible)
        with_capacity = filter_with_capacity(permitted, request.max_load)
        if request.isolated:
            with_capacity = filter_idle(with_capacity)
        candidates = spill_over(with_capacity, self._data_center)
        if not candidates:
            raise errors.ServersBusy(
                f'all eligible servers of {request.service} are at capacity',
                step='route',
            )
        chosen = self._policies.get(policy, self._policies['two-choices'])
        return chosen.choose(candidates, request)

    def _select_eligible(
        self, request: _policy.RoutingRequest
    ) -> collections.abc.Iterator[backends.BackendServer]:
        live = filter_live(self._directory.select(request.service))
        continuing = filter_software(live, request.software)
        fresh = filter_fresh(continuing, request.min_version)
        if request.isolated:
            available = (s for s in fresh if s.is_available())
            return filter_unless_last(
                filter_not_excluded(available, request.excluded)
            )
        return filter_not_excluded(limit_ejections(fresh), request.excluded)


def filter_live(
    servers: Servers,
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield the servers that accept new work, including ejected ones."""
    return (server for server in servers if server.is_live())


def limit_ejections(
    servers: Servers,
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield the servers that are not ejected, and at least half of all.

    If more than half are ejected, the network or the requests are more likely
    at fault than the servers, and the rest could not carry the load. The
    ejected servers whose ejection ends first are then used as well.
    """
    by_ejection = sorted(servers, key=lambda s: s.health.ejected_seconds)
    min_count = (len(by_ejection) + 1) // 2
    return (
        server
        for index, server in enumerate(by_ejection)
        if index < min_count or not server.health.ejected_seconds
    )


def filter_permitted(
    servers: collections.abc.Sequence[backends.BackendServer],
) -> list[backends.BackendServer]:
    """Return the servers whose request limit is not known to be used up.

    Raises
    ------
    RateLimited
        If there is none.
    """
    permitted = [s for s in servers if not s.get_blocked_seconds()]
    if permitted:
        return permitted
    raise errors.RateLimited(
        'the request limits of all eligible servers are used up',
        step='route',
        retry_after_seconds=max(
            min(s.get_blocked_seconds() for s in servers),
            _waiting.MIN_RETRY_AFTER_SECONDS,
        ),
    )


def filter_with_capacity(
    servers: Servers, max_load: float
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield the servers below their concurrency limit and `max_load`.

    A reported load decays, so that a server gets requests again, and with
    their responses the chance to report a lower load.
    """
    return (
        server
        for server in servers
        if server.has_capacity() and server.decayed_load < max_load
    )


def filter_fresh(
    servers: Servers, min_version: int
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield the servers with weights of at least `min_version`.

    Reports lag behind, and an engine may return to older weights. Chunks that
    report their version must therefore be checked as well.
    """
    return (s for s in servers if s.weight_version >= min_version)


def filter_software(
    servers: Servers, software: str | None
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield the servers that may go on with a text; all if there is none."""
    return (
        server
        for server in servers
        if software is None or backends.may_continue(software, server)
    )


def filter_not_excluded(
    servers: Servers, excluded: frozenset[str]
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield the servers that are not excluded."""
    return (s for s in servers if s.name not in excluded)


def filter_unless_last(
    servers: Servers,
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield the servers, or none if only one is left.

    A request that may crash the last one could take the service down.
    """
    available = list(servers)
    if len(available) > 1:
        yield from available


def filter_idle(
    servers: Servers,
) -> collections.abc.Iterator[backends.BackendServer]:
    """Yield the servers without requests of this process."""
    return (server for server in servers if not server.in_flight)


def spill_over(
    servers: Servers, data_center: str
) -> list[backends.BackendServer]:
    """Return local servers, and remote ones if the local load is high.

    Without local servers, all remote ones are returned. Otherwise they are
    only added if they are less loaded than the local ones, so that an overload
    does not spread from one data centre to the next.
    """
    found = list(servers)
    local = [s for s in found if s.report.data_center == data_center]
    if not local or len(local) == len(found):
        return found
    utilization = sum(estimate_utilization(s) for s in local) / len(local)
    if utilization < SPILL_OVER_UTILIZATION:
        return local
    return [
        server
        for server in found
        if server.report.data_center == data_center
        or estimate_utilization(server) < utilization
    ]


def estimate_utilization(server: backends.BackendServer) -> float:
    """Return the higher of reported load and used share of the limit."""
    return max(server.decayed_load, server.in_flight / server.max_in_flight)
