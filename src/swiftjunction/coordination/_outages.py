"""Finds out whether the object store is unavailable to other VMs as well."""

import functools
import random

import anyio

from swiftjunction import batches
from swiftjunction.coordination import _members
from swiftjunction.coordination import _peer
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import supervision
from swiftjunction import telemetry
from swiftjunction import web

# Number of peers that are asked. The store may reject the calls of some VMs
# only, so one is not enough.
MAX_PEERS_ASKED = 3
PROBE_TIMEOUT_SECONDS = 1.0
# No such object ever exists, but any response shows that the store is
# reachable.
PROBE_KEY = 'members/-'


class OutageProbe(batches.OutageDetector):
    """Calls the object store directly and through some peers.

    Parameters
    ----------
    direct : ObjectStore
        Calls the object store directly.
    peers : PeerClients
        HTTP clients for the peers.
    members : MemberTable
        Holds the peers and their statuses.
    rng : random.Random
        Chooses the peers.
    supervisor : Supervisor, optional
        Logs an unexpected error of one call, which then counts as unanswered.
    """

    __slots__ = ('_direct', '_members', '_peers', '_rng', '_supervisor')

    def __init__(
        self,
        direct: objectstore.ObjectStore,
        peers: web.PeerClients,
        members: _members.MemberTable,
        rng: random.Random,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or supervision.Supervisor(
            telemetry.Metrics()
        )
        self._direct = direct
        self._peers = peers
        self._members = members
        self._rng = rng

    async def is_store_unavailable(self) -> bool:
        """Return whether neither this VM nor the peers asked reach the store.

        False if there are peers, but none answered: others may reach it.
        """
        stores = self._select_peer_stores()
        answers: list[bool | None] = []

        async def ask(store: objectstore.ObjectStore) -> None:
            answers.append(await _reaches_store(store))

        with anyio.move_on_after(PROBE_TIMEOUT_SECONDS):
            async with anyio.create_task_group() as tasks:
                for store in (self._direct, *stores):
                    tasks.start_soon(
                        self._supervisor.run_isolated,
                        'store probe',
                        functools.partial(ask, store),
                    )
        if True in answers:
            return False
        # One answer is that of the direct call.
        return not self._members.list_peers() or answers.count(False) > 1

    def _select_peer_stores(self) -> list[objectstore.ObjectStore]:
        reachable = [
            self._members.find(status.name)
            for status in self._members.list_statuses()
        ]
        members = [member for member in reachable if member is not None]
        selected = self._rng.sample(
            members, min(len(members), MAX_PEERS_ASKED)
        )
        return [
            _peer.PeerStore(_peer.PeerClient(self._peers, member.address))
            for member in selected
        ]


async def _reaches_store(store: objectstore.ObjectStore) -> bool | None:
    """Return whether a call reached the store; None if no peer answered."""
    try:
        await store.read(PROBE_KEY)
    except errors.PeerUnreachable:
        return None
    except errors.PlatformUnavailable:
        return False
    except errors.PlatformError:
        return True
    return True
