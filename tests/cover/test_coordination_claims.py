"""Peers that state a coordinator which the store does not know."""

import contextlib

import anyio
import pytest

from swiftjunction import coordination
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import leases
from tests import conftest
from tests.cover import test_coordination
from tests.cover.test_coordination import make_status
from tests.cover import test_coordination_large

WRONG_TOKEN = decoding.MAX_INTEGER
WRONG = {'coordinator': 'x', 'coordinator_token': WRONG_TOKEN}
LEASE = {'fencing_token': 4, 'lease_seconds': 2.0}


@pytest.fixture
def members(clock):
    table = coordination.MemberTable(test_coordination.make_member('a'), clock)
    for name in ('b', 'c'):
        member = test_coordination.make_member(name)
        table.apply_entry(test_coordination.make_entry(member))
    return table


class TestNewestCoordinator:
    def test_a_statement_does_not_replace_one_with_a_valid_lease(
        self, members
    ):
        members.record_status(make_status('b', **LEASE))
        members.record_status(make_status('c', **WRONG))
        assert members.newest_coordinator == ('b', 4)

    def test_one_with_a_valid_lease_replaces_a_statement(self, members):
        members.record_status(make_status('c', **WRONG))
        assert members.newest_coordinator == ('x', WRONG_TOKEN)
        members.record_status(make_status('b', **LEASE))
        assert members.newest_coordinator == ('b', 4)

    def test_a_replaced_statement_does_not_return_with_the_end_of_the_lease(
        self, members, clock
    ):
        members.record_status(make_status('c', **WRONG))
        members.record_status(make_status('b', **LEASE))
        clock.now += 60
        assert members.newest_coordinator == ('b', 4)

    def test_a_vm_that_hears_of_a_lease_only_passes_its_validity_on(
        self, members, clock
    ):
        members.record_status(make_status('c', **WRONG))
        members.record_status(
            make_status(
                'c',
                coordinator='b',
                coordinator_token=4,
                coordinator_lease_seconds=2.0,
            )
        )
        assert members.newest_coordinator == ('b', 4)
        clock.now += 0.5
        assert members.claims.compute_remaining_seconds() == 1.5
        clock.now += 1.5
        assert members.claims.compute_remaining_seconds() == 0

    def test_the_stated_validity_of_a_lease_is_bounded(self, members, clock):
        members.record_status(
            make_status('c', fencing_token=WRONG_TOKEN, lease_seconds=1e300)
        )
        members.record_status(make_status('b', **LEASE))
        clock.now += 3.1
        members.record_status(make_status('b', **LEASE))
        assert members.newest_coordinator == ('b', 4)

    def test_a_successor_is_known_once_the_lease_has_ended(
        self, members, clock
    ):
        successor = make_status('c', coordinator='d', coordinator_token=9)
        members.record_status(make_status('b', **LEASE))
        clock.now += 2.1
        members.record_status(successor)
        assert members.newest_coordinator == ('d', 9)

    def test_a_successor_is_known_once_the_lease_is_released(self, members):
        members.record_status(make_status('b', **LEASE))
        members.record_status(make_status('b'))
        members.record_status(
            make_status('c', coordinator='d', coordinator_token=9)
        )
        assert members.newest_coordinator == ('d', 9)

    def test_the_higher_of_two_valid_leases_counts(self, members):
        newer = make_status('c', fencing_token=9, lease_seconds=1.0)
        older = make_status('b', **LEASE)
        for statuses in ([newer, older], [older, newer]):
            for status in statuses:
                members.record_status(status)
            assert members.newest_coordinator == ('c', 9)

    def test_a_refuted_token_is_ignored(self, members):
        members.record_status(make_status('c', **WRONG))
        members.claims.refute(WRONG_TOKEN)
        members.record_status(make_status('c', **WRONG))
        assert members.newest_coordinator == ('', 0)
        assert members.claims.highest_stated == ('', 0)

    def test_a_bounded_number_of_refuted_tokens_is_remembered(self, members):
        for token in range(1, 1001):
            members.claims.refute(token)
        assert len(members.claims._refuted) == 64


class StatingVm(test_coordination_large.Vm):
    """A VM whose status has all that one of the platform states."""

    def make_status(self):
        if self.fencing_token:
            self.members.claims.record(self.name, self.fencing_token, 2.0)
        return coordination.MemberStatus(
            self.name,
            '1',
            self.state,
            self.fencing_token,
            2.0 if self.fencing_token else 0.0,
            0,
            True,
            {},
            self.feed_sync.list_ages(),
            *self.members.newest_coordinator,
            [],
            self.feed_sync.list_watch_ages(),
            coordinator_lease_seconds=(
                self.members.claims.compute_remaining_seconds()
            ),
        )


@pytest.mark.parametrize('size', [8, 18, 65, 300])
def test_all_vms_forget_a_wrong_statement_once_there_is_a_coordinator(
    size, monkeypatch
):
    monkeypatch.setattr(test_coordination_large, 'Vm', StatingVm)
    deployment = test_coordination_large.SimulatedDeployment(
        size, test_coordination_large.FakeClock()
    )
    deployment.run(rounds=3)
    for vm in deployment.vms.values():
        vm.members.record_coordinator('x', WRONG_TOKEN)
    # The VM of the last rank is polled by the fewest others.
    chosen = max(
        deployment.vms.values(), key=lambda vm: vm.members.find_rank()
    )
    chosen.fencing_token = 7
    chosen.members.claims.refute(WRONG_TOKEN)
    deployment.run(rounds=8)
    known = {vm.members.newest_coordinator for vm in deployment.vms.values()}
    assert known == {(chosen.name, 7)}


class SlowStore(conftest.MemoryStore):
    """A store whose updates take some time."""

    delay_seconds = 0.0

    async def update(self, key, value, version):
        await anyio.sleep(self.delay_seconds)
        return await super().update(key, value, version)


class CountingTask(test_coordination.IdleTask):
    def __init__(self):
        self.tokens = []

    async def run(self, lease):
        self.tokens.append(lease.fencing_token)
        await anyio.sleep_forever()


class OneVm:
    """A coordinator that would renew its lease after 2 s only."""

    TIMING = leases.LeaseTiming(
        ttl_seconds=6.0,
        margin_seconds=0.4,
        renew_interval_seconds=2.0,
        renew_timeout_seconds=1.0,
        retry_interval_seconds=0.1,
    )

    def __init__(self, store, timing=TIMING):
        self.members = coordination.MemberTable(
            test_coordination.make_member('vm-1')
        )
        for name in ('vm-1', 'vm-2'):
            member = test_coordination.make_member(name)
            self.members.apply_entry(test_coordination.make_entry(member))
        self.task = CountingTask()
        self.coordinator = coordination.Coordinator(
            leases.LeaseKeeper(store, 'l', 'vm-1', timing=timing),
            timing,
            self.members,
            self.task,
        )

    @contextlib.asynccontextmanager
    async def run(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.coordinator.run)
            with anyio.fail_after(2):
                while not self.task.tokens:
                    await anyio.sleep(0.01)
            yield self.coordinator.lease
            tasks.cancel_scope.cancel()

    async def hear(self, seconds, status):
        """Receive the same status every 0.05 s for some time."""
        with anyio.move_on_after(seconds):
            while True:
                self.members.record_status(status)
                await anyio.sleep(0.05)


@pytest.mark.anyio
class TestStatedSuccessor:
    @pytest.mark.parametrize(
        'fields',
        [WRONG, {'fencing_token': WRONG_TOKEN, 'lease_seconds': 2.0}],
        ids=['of another VM', 'of itself'],
    )
    async def test_a_wrong_one_ends_no_term(self, store, fields):
        vm = OneVm(store)
        async with vm.run() as lease:
            await vm.hear(1.0, make_status('vm-2', **fields))
            lease.check()
            assert vm.coordinator.lease is lease
            assert vm.members.newest_coordinator == (
                'vm-1',
                lease.fencing_token,
            )
        assert len(vm.task.tokens) == 1

    async def test_a_wrong_one_that_was_heard_before_ends_no_term(self, store):
        vm = OneVm(store)
        vm.members.record_status(make_status('vm-2', **WRONG))
        async with vm.run() as lease:
            await vm.hear(1.0, make_status('vm-2', **WRONG))
            lease.check()
        assert len(vm.task.tokens) == 1

    async def test_nothing_is_ordered_until_the_store_has_refuted_it(self):
        store = SlowStore()
        vm = OneVm(store)
        async with vm.run() as lease:
            store.delay_seconds = 0.5
            await vm.hear(0.3, make_status('vm-2', **WRONG))
            with pytest.raises(errors.LeaseLost):
                lease.check()
            await anyio.sleep(0.7)
            lease.check()
        assert len(vm.task.tokens) == 1

    async def test_each_of_several_wrong_ones_is_refuted(self, store):
        vm = OneVm(store)
        async with vm.run() as lease:
            for token in (WRONG_TOKEN - 1, WRONG_TOKEN, WRONG_TOKEN - 2):
                await vm.hear(
                    0.4,
                    make_status(
                        'vm-2', coordinator='x', coordinator_token=token
                    ),
                )
            lease.check()
        assert len(vm.task.tokens) == 1

    async def test_a_true_one_ends_the_term_at_once(self, store):
        vm = OneVm(store)
        async with vm.run() as lease:
            item = await store.read('leases/l')
            version = await store.update(
                'leases/l', item.value.replace(b'vm-1', b'vm-2'), item.version
            )
            # The next renewal would be due after 2 s.
            await vm.hear(
                0.7,
                make_status(
                    'vm-2', coordinator='vm-2', coordinator_token=version
                ),
            )
            assert vm.coordinator.lease is None
            assert lease.remaining_seconds() > 0

    async def test_it_counts_at_once_if_the_own_lease_has_expired(self):
        timing = leases.LeaseTiming(
            ttl_seconds=0.6,
            margin_seconds=0.1,
            renew_interval_seconds=0.2,
            renew_timeout_seconds=5.0,
            retry_interval_seconds=0.2,
        )
        store = SlowStore()
        vm = OneVm(store, timing)
        async with vm.run() as lease:
            store.delay_seconds = 60
            await anyio.sleep(0.8)
            assert vm.coordinator.lease is lease
            await vm.hear(0.3, make_status('vm-2', **WRONG))
            assert vm.coordinator.lease is None
