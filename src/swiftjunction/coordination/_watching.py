"""Keeps up with the peers."""

import logging

import anyio

from swiftjunction.coordination import _members
from swiftjunction.coordination import _peer
from swiftjunction.coordination import _sharing
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import web

LOG = logging.getLogger(__name__)

ASK_INTERVAL_SECONDS = 0.5
ENTER_RETRY_SECONDS = 0.5
# Between two looks at which entries are to be removed, or entered again.
SWEEP_SECONDS = 10.0


class PeerMonitor:
    """Asks peers for their statuses, and enters this VM among them.

    Parameters
    ----------
    store : ObjectStore
        Where VMs enter themselves.
    peers : PeerClients
        The HTTP clients.
    members : MemberTable
        Is kept up to date.
    feed_sync : FeedSync
        Tells of the VMs that have entered themselves.
    """

    __slots__ = ('_feed', '_members', '_peers', '_feed_sync', '_store')

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
        """Keep up until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._enter)
            tasks.start_soon(
                self._feed_sync.run,
                self._feed,
                lambda: False,
                ASK_INTERVAL_SECONDS,
            )
            tasks.start_soon(self._sweep)
            while True:
                for member in self._members.choose_peers():
                    tasks.start_soon(self._ask, member)
                await anyio.sleep(ASK_INTERVAL_SECONDS)

    async def _enter(self) -> None:
        own = self._members.own
        key = _members.MEMBER_PREFIX + own.name
        while True:
            try:
                await _put(self._store, key, own)
                return
            except errors.PlatformError as error:
                LOG.info('this VM is not entered yet: %s', error)
                await anyio.sleep(ENTER_RETRY_SECONDS)

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_SECONDS)
            await self.sweep()

    async def sweep(self) -> None:
        """Remove the entries of VMs that are gone; enter this one anew."""
        if not self._members.is_registered():
            await self._enter()
        for name in self._members.list_expired():
            key = _members.MEMBER_PREFIX + name
            try:
                found = await self._store.read(key)
                await self._store.delete(key, found.version)
            except errors.ObjectMissing:
                LOG.debug('%s is removed already', key)
            except errors.PlatformError as error:
                LOG.info('entry not removed: %s', error, extra={'peer': name})
                continue
            LOG.info('peer gone', extra={'peer': name})
            self._members.remove_entry(key)

    async def _ask(self, member: _members.Member) -> None:
        client = _peer.PeerClient(self._peers, member.address)
        try:
            status = await _peer.fetch_status(client)
        except errors.PlatformUnavailable:
            self._members.record_failure(member.name, refused=True)
        except errors.PlatformError as error:
            LOG.debug('peer does not answer: %s', error)
            self._members.record_failure(member.name, refused=False)
        else:
            if status.name == member.name:
                self._members.record_status(status)


async def _put(
    store: objectstore.ObjectStore, key: str, member: _members.Member
) -> None:
    value = _members.encode_member(member)
    try:
        await objectstore.create_or_confirm(store, key, value)
    except errors.RevisionConflict:
        found = await store.read(key)
        await objectstore.update_or_confirm(store, key, value, found.version)
