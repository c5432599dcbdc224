"""Registers this VM, polls its peers and deletes expired entries."""

import logging

import anyio

from swiftjunction.coordination import _members
from swiftjunction.coordination import _peer
from swiftjunction.coordination import _sharing
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import web

LOG = logging.getLogger(__name__)

POLL_INTERVAL_SECONDS = 0.5
REGISTER_RETRY_SECONDS = 0.5
RECONCILE_INTERVAL_SECONDS = 10.0


class PeerMonitor:
    """Registers this VM and keeps the member table up to date.

    Parameters
    ----------
    store : ObjectStore
        Holds the entries of the VMs.
    peers : PeerClients
        HTTP clients for the peers.
    members : MemberTable
        Receives entries and statuses.
    feed_sync : FeedSync
        Keeps the copy of the VMs' entries up to date.
    """

    __slots__ = ('_feed', '_feed_sync', '_members', '_peers', '_store')

    def __init__(
        self,
        store: objectstore.ObjectStore,
        peers: web.PeerClients,
        members: _members.MemberTable,
        feed_sync: _sharing.FeedSync,
    ) -> None:
        self._store = store
        self._peers = peers
        self._members = members
        self._feed_sync = feed_sync
        self._feed = feed_sync.add(
            _members.MEMBER_PREFIX,
            objectstore.CallbackListener(
                members.apply_entry, members.remove_entry
            ),
        )

    async def run(self) -> None:
        """Register this VM and poll peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._register)
            tasks.start_soon(
                self._feed_sync.run,
                self._feed,
                lambda: False,
                POLL_INTERVAL_SECONDS,
            )
            tasks.start_soon(self._run_reconciliation)
            while True:
                for member in self._members.select_peers():
                    tasks.start_soon(self._poll, member)
                await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def _register(self) -> None:
        own = self._members.own
        key = _members.MEMBER_PREFIX + own.name
        while True:
            try:
                await _write_entry(self._store, key, own)
                return
            except errors.PlatformError as error:
                LOG.info('cannot register this VM yet: %s', error)
                await anyio.sleep(REGISTER_RETRY_SECONDS)

    async def _run_reconciliation(self) -> None:
        while True:
            await anyio.sleep(RECONCILE_INTERVAL_SECONDS)
            await self.reconcile()

    async def reconcile(self) -> None:
        """Delete expired entries, and register this VM again if needed."""
        if not self._members.is_registered():
            await self._register()
        for name in self._members.list_expired():
            key = _members.MEMBER_PREFIX + name
            try:
                found = await self._store.read(key)
                await self._store.delete(key, found.version)
            except errors.ObjectMissing:
                LOG.debug('%s is already deleted', key)
            except errors.PlatformError as error:
                LOG.info(
                    'cannot delete a member entry: %s',
                    error,
                    extra={'peer': name},
                )
                continue
            LOG.info(
                'expired entry of a peer is deleted', extra={'peer': name}
            )
            self._members.remove_entry(key)

    async def _poll(self, member: _members.Member) -> None:
        client = _peer.PeerClient(self._peers, member.address)
        try:
            status = await _peer.fetch_status(client)
        except errors.PlatformUnavailable:
            self._members.record_failure(member.name, unsent=True)
        except errors.PlatformError as error:
            LOG.debug('poll of a peer failed: %s', error)
            self._members.record_failure(member.name, unsent=False)
        else:
            if status.name == member.name:
                self._members.record_status(status)


async def _write_entry(
    store: objectstore.ObjectStore, key: str, member: _members.Member
) -> None:
    value = _members.encode_member(member)
    try:
        await objectstore.create_or_confirm(store, key, value)
    except errors.RevisionConflict:
        found = await store.read(key)
        await objectstore.update_or_confirm(store, key, value, found.version)
