"""Registers this VM and deletes the entries of VMs that are gone."""

import functools
import logging

import anyio

from swiftjunction.coordination import _members
from swiftjunction.coordination import _polling
from swiftjunction.coordination import _sharing
from swiftjunction.coordination import _statuses
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import supervision
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

MEMBERS_COALESCE_SECONDS = 0.5
REGISTER_RETRY_SECONDS = 0.5
RECONCILE_INTERVAL_SECONDS = 10.0


class PeerMonitor:
    """Registers this VM and keeps the member table up to date.

    Parameters
    ----------
    store : ObjectStore
        Holds the entries of the VMs.
    members : MemberTable
        Receives entries and statuses.
    feed_sync : FeedSync
        Keeps the copy of the VMs' entries up to date.
    poller : PeerPoller
        Polls the peers for their statuses.
    supervisor : Supervisor, optional
        Keeps an unexpected error of the registration, or of the deletion of
        one entry, from the other tasks.
    """

    __slots__ = (
        '_deletions',
        '_feed',
        '_feed_sync',
        '_members',
        '_poller',
        '_store',
        '_supervisor',
    )

    def __init__(
        self,
        store: objectstore.ObjectStore,
        members: _members.MemberTable,
        feed_sync: _sharing.FeedSync,
        poller: _polling.PeerPoller,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or supervision.Supervisor(
            telemetry.Metrics()
        )
        self._deletions = supervision.IsolatedItems(
            self._supervisor, 'deletion of a member entry'
        )
        self._store = store
        self._members = members
        self._feed_sync = feed_sync
        self._poller = poller
        self._feed = feed_sync.add(
            _statuses.MEMBER_PREFIX,
            objectstore.CallbackListener(
                members.apply_entry, members.remove_entry
            ),
        )

    async def run(self) -> None:
        """Register this VM and poll peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._supervisor.run, 'registration', self._register
            )
            tasks.start_soon(
                self._feed_sync.run,
                self._feed,
                lambda: False,
                MEMBERS_COALESCE_SECONDS,
            )
            tasks.start_soon(
                self._supervisor.run_rounds,
                'reconciliation',
                self.reconcile,
                RECONCILE_INTERVAL_SECONDS,
            )
            tasks.start_soon(self._poller.run)

    async def _register(self) -> None:
        own = self._members.own
        key = _statuses.MEMBER_PREFIX + own.name
        while True:
            try:
                await _write_entry(self._store, key, own)
                return
            except errors.PlatformError as error:
                LOG.info('cannot register this VM yet: %s', error)
                await anyio.sleep(REGISTER_RETRY_SECONDS)

    async def reconcile(self) -> None:
        """Delete expired entries, and register this VM again if needed."""
        if not self._members.is_registered():
            await self._supervisor.run_isolated('registration', self._register)
        for name in self._members.list_expired():
            await self._deletions.run(
                name, functools.partial(self._delete_expired, name), peer=name
            )

    async def _delete_expired(self, name: str) -> None:
        key = _statuses.MEMBER_PREFIX + name
        try:
            found = await self._store.read(key)
            await self._store.delete(key, found.version)
        except errors.ObjectMissing:
            LOG.debug('%s is already deleted', key)
        except errors.PlatformError as error:
            LOG.info(
                'cannot delete a member entry: %s', error, extra={'peer': name}
            )
            return
        LOG.info('expired entry of a peer is deleted', extra={'peer': name})
        self._members.remove_entry(key)


async def _write_entry(
    store: objectstore.ObjectStore, key: str, member: _statuses.Member
) -> None:
    value = _statuses.encode_member(member)
    try:
        await objectstore.create_or_confirm(store, key, value)
    except errors.RevisionConflict:
        found = await store.read(key)
        await objectstore.update_or_confirm(store, key, value, found.version)
