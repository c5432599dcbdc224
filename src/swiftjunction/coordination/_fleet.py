"""What an operator asks of a deployment, from outside of its VMs."""

import abc

import msgspec

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction.coordination import _members
from swiftjunction.coordination import _peer
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import objectstore
from swiftjunction import routes
from swiftjunction import web


class Catalog(abc.ABC):
    """What the deployment's operator and servers have written."""

    __slots__ = ()

    @abc.abstractmethod
    async def read_routes(self) -> routes.RouteTable:
        """Return the newest configuration."""

    @abc.abstractmethod
    async def list_servers(self) -> list[backends.ServerReport]:
        """Return the backend servers that can be used, by name."""

    @abc.abstractmethod
    async def list_versions(self) -> dict[str, int]:
        """Return the newest named version of each model."""


class VmReport(msgspec.Struct, frozen=True):
    """One VM, as it has entered itself and as it answers.

    Attributes
    ----------
    status : MemberStatus or None
        None where it does not answer.
    problem : str
        Why it does not.
    """

    member: _members.Member
    status: _members.MemberStatus | None
    problem: str = ''


class FleetReader:
    """Reads the object store, and asks VMs.

    Parameters
    ----------
    store : ObjectStore
        Where VMs, leases and batches are.
    peers : PeerClients
        The HTTP clients of the VMs.
    """

    __slots__ = ('_archive', '_peers', '_store')

    def __init__(
        self, store: objectstore.ObjectStore, peers: web.PeerClients
    ) -> None:
        self._store = store
        self._peers = peers
        self._archive = batches.BatchArchive(store)

    async def list_vms(self) -> list[VmReport]:
        """Return all VMs that have entered themselves, by name."""
        found = await self._store.list(_members.MEMBER_PREFIX)
        members = [
            objectstore.decode_value(item, _members.Member)
            for item in found.changed
        ]
        members.sort(key=lambda member: member.name)
        return [await self._ask(member) for member in members]

    async def _ask(self, member: _members.Member) -> VmReport:
        client = _peer.PeerClient(self._peers, member.address)
        try:
            return VmReport(member, await _peer.fetch_status(client))
        except errors.PlatformError as error:
            return VmReport(member, None, error.message)

    async def list_leases(self) -> list[leases.LeaseHolder]:
        """Return who holds each lease."""
        return await leases.list_holders(self._store)

    async def list_batches(self) -> list[batches.BatchSummary]:
        """Return all batches that are kept."""
        return await self._archive.list_batches()
