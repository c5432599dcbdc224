"""Reads the state of a deployment for operators, from outside its VMs."""

import abc
import collections.abc
import logging

import msgspec

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction.coordination import _peer
from swiftjunction.coordination import _statuses
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import objectstore
from swiftjunction import routes
from swiftjunction import scaling
from swiftjunction import web

LOG = logging.getLogger(__name__)


class Catalog(abc.ABC):
    """Reads the routes, backend servers and model versions of a deployment."""

    __slots__ = ()

    @abc.abstractmethod
    async def read_routes(self) -> routes.RouteTable:
        """Return the current routing configuration."""

    @abc.abstractmethod
    async def list_servers(self) -> list[backends.ServerReport]:
        """Return the backend servers, sorted by name.

        Servers whose object cannot be decoded are left out.
        """

    @abc.abstractmethod
    async def list_versions(self) -> dict[str, int]:
        """Return the newest published version of each model."""


class VmReport(msgspec.Struct, frozen=True):
    """The entry of a VM and its current status.

    Attributes
    ----------
    member : Member
        The VM's entry in the object store.
    status : MemberStatus or None
        None if it could not be read.
    problem : str
        Why the VM's status could not be read; empty if it was.
    """

    member: _statuses.Member
    status: _statuses.MemberStatus | None
    problem: str = ''


class DeploymentReader:
    """Reads the state of a deployment from its object store and its VMs.

    Parameters
    ----------
    store : ObjectStore
        Holds the entries of VMs, leases, batches and orders of servers.
    peers : PeerClients
        HTTP clients for the VMs.
    """

    __slots__ = ('_archive', '_peers', '_store')

    def __init__(
        self, store: objectstore.ObjectStore, peers: web.PeerClients
    ) -> None:
        self._store = store
        self._peers = peers
        self._archive = batches.BatchArchive(store)

    async def list_vms(self) -> list[VmReport]:
        """Return all registered VMs, sorted by name."""
        found = await self._store.list(_statuses.MEMBER_PREFIX)
        members = _decode_members(found.changed)
        members.sort(key=lambda member: member.name)
        return [await self._poll(member) for member in members]

    async def _poll(self, member: _statuses.Member) -> VmReport:
        client = _peer.PeerClient(self._peers, member.address)
        try:
            return VmReport(member, await _peer.fetch_status(client))
        except errors.PlatformError as error:
            return VmReport(member, None, error.message)

    async def list_leases(self) -> list[leases.LeaseState]:
        """Return the state of each lease, sorted by lease name."""
        return await leases.list_leases(self._store)

    async def list_batches(self) -> list[batches.BatchSummary]:
        """Return the stored batches."""
        return await self._archive.list_batches()

    async def list_scaled_services(self) -> list[scaling.ServiceRecord]:
        """Return what was last ordered for each service, sorted by name."""
        return await scaling.OrderArchive(self._store).list()


def _decode_members(
    objects: collections.abc.Iterable[objectstore.Object],
) -> list[_statuses.Member]:
    """Return the VMs of those entries that are valid; log the others."""
    members = []
    for found in objects:
        try:
            members.append(_statuses.decode_member(found))
        except errors.ObjectBroken as error:
            LOG.warning('ignoring an invalid member entry: %s', error)
    return members
