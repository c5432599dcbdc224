"""Simulates rounds of status polls among many VMs, without a network."""

import collections
import random

import pytest

from swiftjunction import coordination
from swiftjunction import objectstore
from tests.cover.test_coordination import make_entry
from tests.cover.test_coordination import make_member

ROUND_SECONDS = 0.5
PREFIX = 'servers/'
# For each VM in one round: the polls answered, at most and on average.
MAX_POLLS_ANSWERED = 64
MAX_MEAN_POLLS_ANSWERED = 16


class Vm:
    """The member table and feed of one VM."""

    def __init__(self, name, clock, seed):
        self.clock = clock
        self.state = 'live'
        self.token = 0
        self.members = coordination.MemberTable(
            make_member(name), clock, random.Random(seed)
        )
        self.feed_sync = coordination.FeedSync(None, None, self.members, clock)
        self.feed = self.feed_sync.add(
            PREFIX, objectstore.CallbackListener(lambda found: None)
        )

    @property
    def name(self):
        return self.members.own.name

    def make_status(self):
        if self.token:
            self.members.record_coordinator(self.name, self.token)
        return coordination.MemberStatus(
            self.name,
            '1',
            self.state,
            self.token,
            2.0 if self.token else 0.0,
            0,
            True,
            {},
            self.feed_sync.list_ages(),
            *self.members.newest_coordinator,
        )


class Fleet:
    """All VMs; those that are down do not answer."""

    def __init__(self, size, clock):
        self.clock = clock
        names = [f'vm-{number:03d}' for number in range(size)]
        self.vms = {n: Vm(n, clock, i) for i, n in enumerate(names)}
        self.down = set()
        self.polls_answered = collections.Counter()
        for vm in self.vms.values():
            for name in names:
                vm.members.apply_entry(make_entry(make_member(name)))

    def list_up(self):
        return [vm for n, vm in self.vms.items() if n not in self.down]

    def run(self, rounds=1):
        for _ in range(rounds):
            self.clock.now += ROUND_SECONDS
            self.polls_answered.clear()
            for vm in self.list_up():
                self._watch(vm)
                for peer in vm.members.select_peers():
                    self._poll(vm, peer.name)

    def _watch(self, vm):
        if vm.feed_sync._should_watch(PREFIX):
            vm.feed.mark_current(1)
        elif vm.members.find_rank() > 1:
            vm.feed.mark_stale()

    def _poll(self, vm, name):
        self.polls_answered[name] += 1
        if name in self.down:
            vm.members.record_failure(name, unsent=True)
        else:
            vm.members.record_status(self.vms[name].make_status())

    def list_first_candidates(self):
        return [vm for vm in self.list_up() if vm.members.find_rank() == 0]

    def count_watchers(self):
        return sum(vm.feed.is_watched for vm in self.list_up())


class FakeClock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture(params=[8, 18, 65, 300])
def fleet(request):
    fleet = Fleet(request.param, FakeClock())
    fleet.run(rounds=3)
    return fleet


class TestPolls:
    def test_their_number_for_a_vm_does_not_grow_with_the_fleet(self, fleet):
        for vm in fleet.vms.values():
            assert len(vm.members.select_peers()) <= 17
        assert max(fleet.polls_answered.values()) <= MAX_POLLS_ANSWERED
        mean = sum(fleet.polls_answered.values()) / len(fleet.vms)
        assert mean <= MAX_MEAN_POLLS_ANSWERED

    def test_callers_spread_over_all_vms(self, fleet):
        front_counts = collections.Counter(
            front
            for vm in fleet.list_up()
            for front in vm.members.list_caller_addresses('live')
        )
        assert len(front_counts) == len(fleet.vms)
        mean = sum(front_counts.values()) / len(front_counts)
        assert max(front_counts.values()) <= 3 * mean


class TestCoordinator:
    def test_all_vms_soon_learn_of_it(self, fleet):
        # The VM of the last rank is polled by the fewest others.
        chosen = max(fleet.vms.values(), key=lambda vm: vm.members.find_rank())
        chosen.token = 7
        fleet.run(rounds=1)
        chosen.members.record_coordinator(chosen.name, 7)
        fleet.run(rounds=5)
        for vm in fleet.list_up():
            if vm is not chosen:
                assert vm.members.has_valid_coordinator()
                assert (
                    vm.members.find_reachable_coordinator().name == chosen.name
                )

    def test_exactly_one_vm_is_the_first_candidate(self, fleet):
        (first,) = fleet.list_first_candidates()
        fleet.down.add(first.name)
        fleet.run(rounds=3)
        (second,) = fleet.list_first_candidates()
        assert second is not first

    def test_all_vms_notice_that_it_is_down(self, fleet):
        (first,) = fleet.list_first_candidates()
        first.token = 7
        fleet.run(rounds=5)
        fleet.down.add(first.name)
        fleet.run(rounds=2)
        assert not any(
            vm.members.has_valid_coordinator() for vm in fleet.list_up()
        )

    def test_a_candidate_is_soon_found_after_the_loss_of_all_seeds(self):
        fleet = Fleet(65, FakeClock())
        fleet.run(rounds=3)
        ranks = {n: vm.members.find_rank() for n, vm in fleet.vms.items()}
        fleet.down.update(n for n, rank in ranks.items() if rank < 12)
        fleet.run(rounds=8)
        assert min(vm.members.find_rank() for vm in fleet.list_up()) <= 2


class TestWatchers:
    def test_two_vms_watch_for_all(self, fleet):
        fleet.run(rounds=10)
        assert fleet.count_watchers() == 2

    def test_other_vms_watch_when_those_are_down(self, fleet):
        fleet.run(rounds=10)
        for vm in fleet.list_up():
            if vm.feed.is_watched:
                fleet.down.add(vm.name)
        fleet.run(rounds=7)
        assert fleet.count_watchers() >= 1
        fleet.run(rounds=20)
        assert fleet.count_watchers() <= 4
