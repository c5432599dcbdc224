import contextlib

import anyio
import msgspec
import pytest

from swiftjunction import backends
from swiftjunction import coordination
from swiftjunction.coordination import _feed
from swiftjunction.coordination import _messages
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import membership
from swiftjunction import objectstore
from tests import conftest

FRONT_A = conftest.make_address('a', 2)
FRONT_B = conftest.make_address('b', 2)


def make_member(name, run='1', processor_cores=1.0):
    return coordination.Member(
        name,
        conftest.make_address(name, 1),
        conftest.make_address(name, 2),
        'dc',
        'region',
        run,
        processor_cores,
    )


def make_entry(member):
    return objectstore.Object(
        f'members/{member.name}', 1, msgspec.json.encode(member)
    )


def make_status(name, **fields):
    return coordination.MemberStatus(
        name, '1', fields.pop('state', 'live'), **fields
    )


@pytest.fixture
def members():
    table = coordination.MemberTable(make_member('a'))
    for name in ('b', 'c'):
        table.apply_entry(make_entry(make_member(name)))
    return table


class TestMemberTable:
    def test_callers_get_only_addresses_of_reachable_live_vms(self, members):
        assert members.list_caller_addresses('live') == [FRONT_A]
        members.record_status(make_status('b'))
        members.record_status(make_status('c', state='draining'))
        assert members.list_caller_addresses('live') == [FRONT_A, FRONT_B]
        assert members.list_caller_addresses('draining') == [FRONT_B]

    def test_one_unanswered_poll_leaves_a_vm_reachable(self, members):
        members.record_status(make_status('b'))
        members.record_failure('b', unsent=False)
        assert members.list_caller_addresses('live') == [FRONT_A, FRONT_B]
        members.record_failure('b', unsent=False)
        assert members.list_caller_addresses('live') == [FRONT_A]
        members.record_status(make_status('b'))
        assert members.list_caller_addresses('live') == [FRONT_A, FRONT_B]

    def test_a_refused_connection_makes_a_vm_unreachable_at_once(
        self, members
    ):
        members.record_status(make_status('b'))
        members.record_failure('b', unsent=True)
        assert members.list_caller_addresses('live') == [FRONT_A]

    def test_the_reachable_vm_with_the_highest_token_is_the_coordinator(
        self, members
    ):
        members.record_status(make_status('b', fencing_token=4))
        members.record_status(make_status('c', fencing_token=9))
        assert members.find_reachable_coordinator().name == 'c'

    def test_a_coordinator_with_an_expired_lease_can_be_replaced(
        self, members
    ):
        members.record_status(
            make_status('b', fencing_token=4, lease_seconds=-0.1)
        )
        assert not members.has_valid_coordinator()
        assert members.find_reachable_coordinator().name == 'b'

    def test_a_restart_discards_the_earlier_status(self, members):
        members.record_status(make_status('b', fencing_token=4))
        members.apply_entry(make_entry(make_member('b', run='2')))
        assert members.find_reachable_coordinator() is None

    def test_an_invalid_entry_is_ignored(self, members):
        members.apply_entry(objectstore.Object('members/x', 1, b'{"name": 5}'))
        assert [m.name for m in members.list_peers()] == ['b', 'c']

    @pytest.mark.parametrize('largest', ['a', 'b', 'c'])
    def test_the_vm_with_the_most_processor_time_ranks_first(self, largest):
        members = [
            make_member(name, processor_cores=2.0 if name == largest else 0.5)
            for name in ('a', 'b', 'c')
        ]
        first = []
        for own in members:
            table = coordination.MemberTable(own)
            for member in members:
                table.apply_entry(make_entry(member))
                if member is not own:
                    table.record_status(make_status(member.name))
            if table.find_rank() == 0:
                first.append(own.name)
        assert first == [largest]

    def test_a_peer_that_got_more_processor_time_is_ranked_again(self):
        table = coordination.MemberTable(make_member('a'))
        for cores in (0.5, 2.0):
            member = make_member('b', processor_cores=cores)
            table.apply_entry(make_entry(member))
            table.record_status(make_status('b'))
            assert table.find_rank() == (cores > 1)

    def test_all_vms_agree_on_ranks(self):
        names = ('a', 'b', 'c')
        ranks = []
        for own in names:
            table = coordination.MemberTable(make_member(own))
            for name in names:
                table.apply_entry(make_entry(make_member(name)))
                table.record_status(make_status(name)) if name != own else None
            ranks.append(table.find_rank())
        assert sorted(ranks) == [0, 1, 2]


@pytest.mark.anyio
class TestFailoverStore:
    def make(self, direct, relays, clock):
        return coordination.FailoverStore(direct, lambda: relays, clock)

    async def test_a_refused_call_is_relayed_by_a_peer(self, clock):
        direct, relay = conftest.MemoryStore(), conftest.MemoryStore()
        direct.faults = ['refuse']
        store = self.make(direct, [relay], clock)
        await store.create('k/a', b'1')
        assert 'k/a' in relay.objects
        assert not store.reaches_directly()

    async def test_direct_calls_are_tried_again_after_a_delay(self, clock):
        direct, relay = conftest.MemoryStore(), conftest.MemoryStore()
        direct.faults = ['refuse']
        store = self.make(direct, [relay], clock)
        await store.create('k/a', b'1')
        await store.create('k/b', b'1')
        clock.now += 2
        await store.create('k/c', b'1')
        assert list(relay.objects) == ['k/a', 'k/b']
        assert list(direct.objects) == ['k/c']
        assert store.reaches_directly()

    async def test_a_write_with_an_unknown_outcome_is_not_relayed(self, clock):
        direct, relay = conftest.MemoryStore(), conftest.MemoryStore()
        direct.faults = ['lose']
        store = self.make(direct, [relay], clock)
        with pytest.raises(errors.WriteUncertain):
            await store.create('k/a', b'1')
        assert not relay.objects

    async def test_a_conflict_shows_that_the_store_is_reachable(self, clock):
        direct = conftest.MemoryStore()
        store = self.make(direct, [], clock)
        await store.create('k/a', b'1')
        with pytest.raises(errors.RevisionConflict):
            await store.create('k/a', b'2')
        assert store.reaches_directly()

    async def test_a_failed_watch_does_not_make_the_store_unreachable(
        self, clock
    ):
        class FailingWatchStore(conftest.MemoryStore):
            async def watch(self, prefix, revision, wait_seconds):
                raise errors.PlatformUnavailable(
                    'connection reset', step='watch'
                )

        relay = conftest.MemoryStore()
        store = self.make(FailingWatchStore(), [relay], clock)
        with pytest.raises(errors.PlatformUnavailable):
            await store.watch('k/', 1, 0.1)
        assert store.reaches_directly()

    async def test_a_watch_finds_that_the_store_is_reachable_again(
        self, clock
    ):
        # Guards against a VM that makes no calls besides relayed watches, so
        # considers the store unreachable 11 s too long and keeps removed
        # servers. Seen on day trouble-1 of diurna-turneu, seed 686227460774.
        direct, relay = conftest.MemoryStore(), conftest.MemoryStore()
        direct.faults = ['refuse', 'refuse']
        store = self.make(direct, [relay], clock)
        await store.create('k/a', b'1')
        assert not store.reaches_directly()
        clock.now += 2
        await store.watch('k/', 1, 9)
        assert not store.reaches_directly()
        clock.now += 2
        await store.watch('k/', 1, 9)
        assert store.reaches_directly()

    @contextlib.asynccontextmanager
    async def run_watch(self, store):
        """Yield a list that receives the failure of a pending watch.

        The watch must have failed by the end of the context.
        """
        failures = []

        async def watch():
            try:
                await store.watch('k/', 1, 60)
            except errors.PlatformUnavailable as error:
                failures.append(error)

        with anyio.fail_after(5):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                await anyio.sleep(0.01)
                yield failures

    async def test_a_failed_call_ends_pending_direct_watches(self, clock):
        # Guards against a coordinator whose packets are silently dropped and
        # that learns of a new version only when a keep-alive probe ends its
        # watch, seconds later.
        direct = PendingWatchStore()
        store = self.make(direct, [conftest.MemoryStore()], clock)
        async with self.run_watch(store) as failures:
            direct.faults = ['refuse']
            await store.create('k/a', b'1')
        assert len(failures) == 1

    async def test_a_failed_relayed_call_ends_pending_relayed_watches(
        self, clock
    ):
        # Guards against a coordinator that watches through a peer which then
        # freezes, and learns of the end of a batch only when the watch times
        # out, seconds later.
        direct, relay = conftest.MemoryStore(), PendingWatchStore()
        direct.faults = ['refuse']
        store = self.make(direct, [relay], clock)
        await store.create('k/b', b'1')
        assert not store.reaches_directly()
        async with self.run_watch(store) as failures:
            relay.faults = ['refuse']
            with pytest.raises(errors.PlatformUnavailable):
                await store.create('k/a', b'1')
        assert len(failures) == 1

    async def test_without_peers_the_failure_is_raised(self, clock):
        direct = conftest.MemoryStore()
        direct.faults = ['refuse', 'refuse']
        store = self.make(direct, [], clock)
        for _ in range(2):
            with pytest.raises(errors.PlatformUnavailable):
                await store.read('k/a')


class PendingWatchStore(conftest.MemoryStore):
    async def watch(self, prefix, revision, wait_seconds):
        await anyio.sleep_forever()


class IdleTask(coordination.CoordinatorTask):
    async def run(self, lease):
        await anyio.sleep_forever()

    async def stop(self, timeout_seconds):
        pass


@pytest.mark.anyio
class TestRestartedHolder:
    async def test_a_restarted_holder_reacquires_at_once_with_a_higher_token(
        self, store, clock
    ):
        def make_keeper():
            return leases.LeaseKeeper(
                store, 'l', 'vm-1', clock=clock, reclaims_own_lease=True
            )

        first = await make_keeper().acquire()
        second = await make_keeper().acquire()
        assert second.fencing_token > first.fencing_token

    async def test_a_restarted_coordinator_continues_whatever_its_rank(
        self, store
    ):
        # Guards against a wait by rank after all VMs have restarted at once:
        # peers that were not polled yet count as preceding, so every rank is
        # high.
        timing = leases.LeaseTiming(ttl_seconds=2.6, margin_seconds=0.4)
        await self.make_coordinator(store, timing)._keeper.acquire()
        restarted = self.make_coordinator(store, timing)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(restarted.run)
            with anyio.fail_after(0.3):
                while restarted.lease is None:
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    def make_coordinator(self, store, timing):
        members = coordination.MemberTable(make_member('vm-1'))
        for number in range(30):
            members.apply_entry(make_entry(make_member(f'peer-{number}')))
        keeper = leases.LeaseKeeper(
            store, 'l', 'vm-1', timing=timing, reclaims_own_lease=True
        )
        return coordination.Coordinator(keeper, timing, members, IdleTask())

    async def test_a_failed_coordinator_that_is_to_stop_leaves_the_lease(
        self, store
    ):
        timing = leases.LeaseTiming()
        coordinator = self.make_coordinator(store, timing)

        class FailingTask(IdleTask):
            async def run(self, lease):
                raise ValueError('odd batch')

        coordinator._task = FailingTask()
        await coordinator._keeper.acquire()
        with pytest.raises(ExceptionGroup):
            await coordinator.run()
        await coordinator.resign()
        with anyio.fail_after(2):
            await coordinator.run()
        record = msgspec.json.decode((await store.read('leases/l')).value)
        assert record['holder'] == ''

    async def test_a_lease_of_another_holder_is_not_reclaimed(self, store):
        def make_keeper(holder):
            return leases.LeaseKeeper(
                store, 'l', holder, reclaims_own_lease=True
            )

        assert await make_keeper('vm-1').reclaim() is None
        await make_keeper('vm-1').acquire()
        assert await make_keeper('vm-2').reclaim() is None

    async def test_another_holder_waits_until_the_lease_expires(
        self, store, clock
    ):
        timing = leases.LeaseTiming(ttl_seconds=2.6, margin_seconds=0.4)
        lease = await leases.LeaseKeeper(
            store,
            'l',
            'vm-1',
            timing=timing,
            clock=clock,
            reclaims_own_lease=True,
        ).acquire()
        other = leases.LeaseKeeper(
            store,
            'l',
            'vm-2',
            timing=timing,
            clock=clock,
            reclaims_own_lease=True,
        )
        with pytest.raises(errors.LeaseLost, match='held by vm-1'):
            await other.acquire()
        clock.now += 2.3
        with pytest.raises(errors.LeaseLost):
            lease.check()
        with pytest.raises(errors.LeaseLost):
            await other.acquire()
        clock.now += 0.4
        assert (await other.acquire()).fencing_token > lease.fencing_token


@pytest.mark.anyio
class TestReplacedCoordinator:
    """A coordinator that cannot renew its lease, which another VM has taken.

    Guards against seconds in which two VMs run all batches, while peers have
    already named the newer one.
    """

    async def coordinate(self, store, make_statuses):
        """Return whether it still coordinates after peers have answered."""
        timing = leases.LeaseTiming(
            ttl_seconds=2.6,
            margin_seconds=0.4,
            renew_interval_seconds=0.1,
            retry_interval_seconds=0.1,
        )
        keeper = leases.LeaseKeeper(
            store, 'l', 'vm-1', timing=timing, reclaims_own_lease=True
        )
        await keeper.acquire()
        members = coordination.MemberTable(make_member('vm-1'))
        members.apply_entry(make_entry(make_member('vm-2')))
        coordinator = coordination.Coordinator(
            keeper, timing, members, IdleTask()
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(coordinator.run)
            await anyio.sleep(0.05)
            store.faults = ['refuse'] * 100
            for status in make_statuses(coordinator.lease.fencing_token):
                members.record_status(status)
            await anyio.sleep(0.7)
            coordinates = coordinator.lease is not None
            tasks.cancel_scope.cancel()
        return coordinates

    async def test_it_stops_once_a_peer_names_a_newer_one(self, store):
        assert not await self.coordinate(
            store,
            lambda token: [
                make_status(
                    'vm-2', coordinator='vm-3', coordinator_token=token + 1
                )
            ],
        )

    async def test_it_stops_once_a_peer_coordinates_itself(self, store):
        assert not await self.coordinate(
            store, lambda token: [make_status('vm-2', fencing_token=token + 1)]
        )

    async def test_it_goes_on_where_peers_name_itself_or_an_older_one(
        self, store
    ):
        assert await self.coordinate(
            store,
            lambda token: [
                make_status(
                    'vm-2', coordinator='vm-1', coordinator_token=token
                ),
                make_status('vm-2', fencing_token=token - 1),
            ],
        )


class AwayStore(conftest.MemoryStore):
    """A store that cannot be reached while it is away."""

    away = False

    async def read(self, key):
        self._check()
        return await super().read(key)

    async def update(self, key, value, version):
        self._check()
        return await super().update(key, value, version)

    def _check(self):
        if self.away:
            raise errors.PlatformUnavailable('the store is away', step='read')


@pytest.mark.anyio
class TestOutage:
    """A store that is away for longer than the coordinator's lease lasts.

    Guards against a peer that takes the lease as the store comes back: all
    samples that run are cut, and no checkpoint has their text. Seen on
    trouble-3 of erdene-ulb-grown.
    """

    TIMING = leases.LeaseTiming(
        ttl_seconds=0.6,
        margin_seconds=0.1,
        renew_interval_seconds=0.2,
        renew_timeout_seconds=0.2,
        retry_interval_seconds=0.2,
    )

    def make_coordinator(self, store, name):
        members = coordination.MemberTable(make_member(name))
        for other in ('vm-1', 'vm-2'):
            members.apply_entry(make_entry(make_member(other)))
        keeper = leases.LeaseKeeper(
            store, 'l', name, timing=self.TIMING, reclaims_own_lease=True
        )
        return members, coordination.Coordinator(
            keeper, self.TIMING, members, IdleTask()
        )

    async def poll(self, coordinator, members):
        """Report the coordinator's status to a peer again and again."""
        while True:
            lease = coordinator.lease
            members.record_status(
                make_status(
                    'vm-1',
                    fencing_token=lease.fencing_token if lease else 0,
                    lease_seconds=lease.remaining_seconds() if lease else 0.0,
                    lease_version=coordinator.lease_version,
                )
            )
            await anyio.sleep(0.02)

    @contextlib.asynccontextmanager
    async def run(self, store):
        _, holder = self.make_coordinator(store, 'vm-1')
        members, candidate = self.make_coordinator(store, 'vm-2')
        await holder._keeper.acquire()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(holder.run)
            await anyio.sleep(0.05)
            tasks.start_soon(self.poll, holder, members)
            tasks.start_soon(candidate.run)
            yield holder, candidate
            tasks.cancel_scope.cancel()

    async def test_the_coordinator_goes_on_after_it(self):
        for pause_seconds in (1.1, 1.2):
            store = AwayStore()
            async with self.run(store) as (holder, candidate):
                token = holder.lease.fencing_token
                store.away = True
                await anyio.sleep(pause_seconds)
                store.away = False
                await anyio.sleep(0.8)
                assert candidate.lease is None
                assert holder.lease.fencing_token == token

    async def test_a_peer_takes_over_from_one_that_does_not_renew(self):
        store = AwayStore()
        async with self.run(store) as (holder, candidate):
            holder._keeper._store = AwayStore()
            holder._keeper._store.away = True
            with anyio.fail_after(3):
                while candidate.lease is None:
                    await anyio.sleep(0.02)


@pytest.mark.anyio
class TestHolderThatStoppedRenewing:
    """How soon another VM acquires a lease that is no longer renewed."""

    def make_keeper(self, store, clock, holder):
        timing = leases.LeaseTiming(ttl_seconds=2.6, margin_seconds=0.4)
        return leases.LeaseKeeper(
            store, 'l', holder, timing=timing, clock=clock
        )

    async def test_the_ttl_counts_from_the_last_reported_version(
        self, store, clock
    ):
        # Guards against a successor that counts the TTL from its own first
        # read of the lease, and so acquires it late, once 4.5 s after the
        # coordinator was removed.
        holder = self.make_keeper(store, clock, 'vm-1')
        lease = await holder.acquire()
        other = self.make_keeper(store, clock, 'vm-2')
        other.record_version(holder.version)
        clock.now += 2.7
        assert (await other.acquire()).fencing_token > lease.fencing_token

    async def test_a_renewal_that_was_not_reported_restarts_the_ttl(
        self, store, clock
    ):
        holder = self.make_keeper(store, clock, 'vm-1')
        await holder.acquire()
        other = self.make_keeper(store, clock, 'vm-2')
        other.record_version(holder.version)
        clock.now += 2.0
        await holder.acquire()
        clock.now += 0.7
        with pytest.raises(errors.LeaseLost):
            await other.acquire()

    async def test_a_report_of_an_old_version_does_not_shorten_the_ttl(
        self, store, clock
    ):
        holder = self.make_keeper(store, clock, 'vm-1')
        await holder.acquire()
        old_version = holder.version
        await holder.acquire()
        other = self.make_keeper(store, clock, 'vm-2')
        with pytest.raises(errors.LeaseLost):
            await other.acquire()
        clock.now += 1.0
        other.record_version(old_version)
        clock.now += 1.0
        with pytest.raises(errors.LeaseLost):
            await other.acquire()

    async def test_a_vm_without_the_lease_reports_no_version(
        self, store, clock
    ):
        holder = self.make_keeper(store, clock, 'vm-1')
        await holder.acquire()
        await holder.release()
        assert holder.version == 0


class TestDelayedRemoval:
    def make(self):
        clock = conftest.FakeClock()
        directory = backends.Directory(membership.RecordTable(), clock)
        outage = []
        removal = backends.DelayedRemoval(
            directory, lambda: bool(outage), clock
        )
        removal.record_listed(backends.ServerReport('s', 's:1', 'x', 'dc'))
        return clock, directory, outage, removal

    def test_a_server_whose_entry_is_deleted_is_soon_removed(self):
        clock, directory, _, removal = self.make()
        removal.record_missing('s')
        removal.remove_expired()
        assert directory.get('s') is not None
        clock.now += 0.6
        removal.remove_expired()
        assert directory.get('s') is None

    def test_an_entry_that_reappears_keeps_its_server(self):
        clock, directory, _, removal = self.make()
        removal.record_missing('s')
        removal.record_listed(backends.ServerReport('s', 's:1', 'x', 'dc'))
        clock.now += 9
        removal.remove_expired()
        assert directory.get('s') is not None

    def test_after_an_outage_entries_have_time_to_reappear(self):
        clock, directory, outage, removal = self.make()
        outage.append(1)
        removal.remove_expired()
        outage.clear()
        removal.record_missing('s')
        clock.now += 2.0
        removal.remove_expired()
        assert directory.get('s') is not None
        clock.now += 1.0
        removal.remove_expired()
        assert directory.get('s') is None

    def test_nothing_is_removed_during_an_outage(self):
        clock, directory, outage, removal = self.make()
        removal.record_missing('s')
        outage.append(1)
        clock.now += 60
        removal.remove_expired()
        assert directory.get('s') is not None


class TestSharedFeed:
    def make(self):
        seen = []
        feed = coordination.SharedFeed(
            'k/',
            objectstore.CallbackListener(
                lambda found: seen.append(found.key),
                lambda key: seen.append(f'-{key}'),
            ),
        )
        return feed, seen

    def test_a_newer_copy_of_a_peer_replaces_the_objects(self):
        feed, seen = self.make()
        feed.replace([objectstore.Object('k/a', 1, b'1')])
        feed.mark_current(4)
        copy = _messages.FeedCopy(6, [objectstore.Object('k/b', 6, b'1')], [])
        feed.apply_if_newer(copy)
        assert seen == ['k/a', '-k/a', 'k/b']
        assert feed.revision == 6

    def test_an_older_copy_of_a_peer_is_ignored(self):
        feed, seen = self.make()
        feed.replace([objectstore.Object('k/a', 5, b'1')])
        feed.mark_current(5)
        feed.apply_if_newer(_messages.FeedCopy(4, [], []))
        assert seen == ['k/a']
        assert feed.copy_since(-1).changed == [
            objectstore.Object('k/a', 5, b'1')
        ]

    def make_watched(self):
        """Return a feed that was listed at 5 and has changes up to 9."""
        feed, _ = self.make()
        feed.replace(
            [objectstore.Object(f'k/{n}', n, b'1') for n in (1, 2, 3)]
        )
        feed.mark_current(5)
        feed.change(objectstore.Object('k/4', 7, b'1'))
        feed.mark_current(7)
        feed.remove('k/1')
        feed.mark_current(9)
        return feed

    @pytest.mark.parametrize('since', [5, 6, 7, 8])
    def test_a_peer_that_has_the_list_gets_only_changes(self, since):
        watched = self.make_watched()
        copy = watched.copy_since(since)
        assert copy.since == since
        assert [o.key for o in copy.changed] == ['k/4'] * (since < 7)
        assert copy.deleted == ['k/1']

    @pytest.mark.parametrize('since', [-1, 4])
    def test_a_peer_without_the_list_gets_all_objects(self, since):
        copy = self.make_watched().copy_since(since)
        assert copy.since == -1
        assert {o.key for o in copy.changed} == {'k/2', 'k/3', 'k/4'}

    @pytest.mark.parametrize('since', [-1, 5, 7, 8])
    def test_a_copied_feed_has_what_the_watched_one_has(self, since):
        watched, (copied, _) = self.make_watched(), self.make()
        if since >= 5:
            objects = [
                objectstore.Object(f'k/{n}', n, b'1') for n in (1, 2, 3)
            ]
            if since >= 7:
                objects.append(objectstore.Object('k/4', 7, b'1'))
            copied.apply_if_newer(_messages.FeedCopy(since, objects, []))
        copied.apply_if_newer(watched.copy_since(since))
        assert copied.copy_since(-1) == watched.copy_since(-1)

    def test_a_change_that_only_a_list_showed_reaches_all_peers(self):
        # Guards against a watch that missed the change of an object: peers
        # that copied after a later revision would never get it.
        watched = self.make_watched()
        watched.mark_stale()
        watched.replace([objectstore.Object('k/2', 6, b'2')])
        watched.mark_current(10)
        assert watched.copy_since(9).changed == [
            objectstore.Object('k/2', 6, b'2')
        ]
        assert watched.copy_since(9).since == -1

    def test_only_a_number_of_deletions_is_remembered(self):
        feed, _ = self.make()
        feed.replace([])
        feed.mark_current(1)
        for number in range(_feed.MAX_DELETIONS + 1):
            feed.remove(f'k/{number}')
        feed.mark_current(2)
        assert feed.copy_since(1).since == -1
        assert feed.copy_since(2).deleted == []

    def test_a_failed_feed_is_not_reported_as_watched(self):
        feed, _ = self.make()
        feed.mark_current(5)
        assert feed.is_watched
        feed.mark_stale()
        assert not feed.is_watched


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.mark.anyio
class TestExpiredEntries:
    def make(self, store):
        clock = FakeClock()
        members = coordination.MemberTable(make_member('a'), clock)
        feed_sync = coordination.FeedSync(store, None, members, clock)
        monitor = coordination.PeerMonitor(store, members, feed_sync, None)
        return clock, members, monitor

    async def register(self, store, members, name):
        entry = make_entry(make_member(name))
        await store.create(entry.key, entry.value)
        members.apply_entry(entry)

    async def test_an_entry_is_deleted_after_its_vm_was_long_unreachable(
        self, store
    ):
        clock, members, monitor = self.make(store)
        await self.register(store, members, 'a')
        await self.register(store, members, 'b')
        members.record_failure('b', unsent=True)
        clock.now += 500
        await monitor.reconcile()
        assert 'members/b' in store.objects
        clock.now += 200
        await monitor.reconcile()
        assert 'members/b' not in store.objects
        assert not members.list_peers()

    async def test_the_entry_of_a_vm_that_answers_again_stays(self, store):
        clock, members, monitor = self.make(store)
        await self.register(store, members, 'a')
        await self.register(store, members, 'b')
        members.record_failure('b', unsent=True)
        clock.now += 500
        members.record_status(make_status('b'))
        clock.now += 200
        await monitor.reconcile()
        assert 'members/b' in store.objects

    async def test_a_vm_whose_entry_was_deleted_registers_again(self, store):
        _, members, monitor = self.make(store)
        await self.register(store, members, 'a')
        found = store.objects['members/a']
        await store.delete('members/a', found.version)
        members.remove_entry('members/a')
        await monitor.reconcile()
        assert 'members/a' in store.objects
