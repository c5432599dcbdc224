"""Whether a VM reaches what the coordinator has to reach."""

import abc
import collections.abc
import functools

import anyio

from swiftjunction import backends
from swiftjunction.coordination import _members
from swiftjunction.coordination import _peer_paths
from swiftjunction.coordination import _statuses
from swiftjunction import supervision
from swiftjunction import telemetry
from swiftjunction import tunnels

# Peers, and servers of each service, that are asked for a successor. Other
# VMs of a data centre may be cut off as well.
MAX_PEERS_ASKED = 6
MAX_SERVERS_ASKED = 2


class DutyFitness(abc.ABC):
    """Tells whether this VM, or a peer, can do the coordinator's work."""

    __slots__ = ()

    @abc.abstractmethod
    def is_fit(self) -> bool:
        """Return whether nothing shows that this VM cannot coordinate."""

    @abc.abstractmethod
    async def confirm(self) -> bool:
        """Find out whether this VM can coordinate."""

    @abc.abstractmethod
    async def find_successor(self) -> _statuses.Member | None:
        """Return a peer that was found to be able to coordinate, if any."""


class AlwaysFit(DutyFitness):
    """The fitness of VMs of which none can coordinate better than others."""

    __slots__ = ()

    def is_fit(self) -> bool:
        return True

    async def confirm(self) -> bool:
        return True

    async def find_successor(self) -> _statuses.Member | None:
        return None


class EngineFitness(DutyFitness):
    """A VM is fit if it reaches engines of each service that runs batches.

    Parameters
    ----------
    list_services : callable
        Returns the names of these services.
    directory : Directory
        Lists the engines.
    reachability : Reachability
        Tells which services this VM reaches.
    members : MemberTable
        The peers, in the order in which they may coordinate.
    supervisor : Supervisor, optional
        Logs an unexpected error while one peer is asked, which then counts as
        one that reaches no engine.
    """

    __slots__ = (
        '_directory',
        '_list_services',
        '_members',
        '_reachability',
        '_supervisor',
    )

    def __init__(
        self,
        list_services: collections.abc.Callable[[], set[str]],
        directory: backends.Directory,
        reachability: backends.Reachability,
        members: _members.MemberTable,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or supervision.Supervisor(
            telemetry.Metrics()
        )
        self._list_services = list_services
        self._directory = directory
        self._reachability = reachability
        self._members = members

    def is_fit(self) -> bool:
        return not any(
            map(self._reachability.is_cut_off, self._find_engines())
        )

    async def confirm(self) -> bool:
        for service in self._find_engines():
            if await self._reachability.confirm(service):
                return False
        return True

    def _find_engines(self) -> dict[str, list[backends.BackendServer]]:
        """Return the engines of each service that has any."""
        engines = {
            service: [
                server
                for server in self._directory.select(service)
                if server.accepts_requests()
            ]
            for service in self._list_services()
        }
        return {service: found for service, found in engines.items() if found}

    async def find_successor(self) -> _statuses.Member | None:
        engines = self._find_engines()
        candidates = self._members.list_duty_tunnels(engines)
        asked = candidates[:MAX_PEERS_ASKED]
        unreached: set[str] = set()
        # At the same time: a peer that is cut off itself is slow to say so.
        async with anyio.create_task_group() as tasks:
            for tunnel in asked:
                for servers in engines.values():
                    tasks.start_soon(
                        self._check_peer, tunnel, servers, unreached
                    )
        for tunnel in asked:
            if tunnel.member.name not in unreached:
                return tunnel.member
        return None

    async def _check_peer(
        self,
        tunnel: _statuses.Tunnel,
        servers: list[backends.BackendServer],
        unreached: set[str],
    ) -> None:
        """Add a peer to `unreached` unless it connects to a server."""
        name = tunnel.member.name
        if not await self._supervisor.run_isolated(
            'successor probe',
            functools.partial(_probe_peer, tunnel, servers, unreached),
            peer=name,
        ):
            unreached.add(name)


async def _probe_peer(
    tunnel: _statuses.Tunnel,
    servers: list[backends.BackendServer],
    unreached: set[str],
) -> None:
    """Add a peer to `unreached` if it connects to none of the servers."""
    for server in servers[:MAX_SERVERS_ASKED]:
        outcome = await tunnels.probe(
            tunnel.address,
            server.address,
            _peer_paths.PROBE_TIMEOUT_SECONDS,
        )
        if outcome is tunnels.TunnelOutcome.CONNECTED:
            return
    unreached.add(tunnel.member.name)
