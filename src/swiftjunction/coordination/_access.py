"""Access through peers to batches and to the object store."""

import collections.abc

from swiftjunction import batches
from swiftjunction.coordination import _members
from swiftjunction.coordination import _peer
from swiftjunction import objectstore
from swiftjunction import web


class CoordinatorAccess(batches.AccessList):
    """Lists this VM's runner or the coordinator's, then the archive.

    Parameters
    ----------
    find_runner : callable
        Returns access to the batches that this VM runs, or None.
    members : MemberTable
        Finds the coordinator.
    peers : PeerClients
        HTTP clients for the peers.
    archive : BatchArchive
        What is stored of batches.
    """

    __slots__ = ('_archive', '_find_runner', '_members', '_peers')

    def __init__(
        self,
        find_runner: collections.abc.Callable[[], batches.BatchAccess | None],
        members: _members.MemberTable,
        peers: web.PeerClients,
        archive: batches.BatchArchive,
    ) -> None:
        self._find_runner = find_runner
        self._members = members
        self._peers = peers
        self._archive = archive

    def list_accesses(self) -> list[batches.BatchAccess]:
        accesses: list[batches.BatchAccess] = []
        runner = self._find_runner()
        coordinator = self._members.find_reachable_coordinator()
        if runner is not None:
            accesses.append(runner)
        elif coordinator is not None:
            client = _peer.PeerClient(self._peers, coordinator.address)
            accesses.append(_peer.PeerBatchAccess(client))
        return [*accesses, batches.ArchiveAccess(self._archive)]


def list_store_relays(
    members: _members.MemberTable, peers: web.PeerClients
) -> list[objectstore.ObjectStore]:
    """Return clients of the object store through the peers that reach it."""
    return [
        _peer.PeerStore(_peer.PeerClient(peers, member.address))
        for member in members.list_relays()
    ]
