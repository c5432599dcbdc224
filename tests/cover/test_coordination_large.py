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
# Limits on the polls that a VM answers in one round, at most and on average.
MAX_POLLS_ANSWERED = 64
MAX_MEAN_POLLS_ANSWERED = 16


class Vm:
    """The member table and feed of one VM."""

    def __init__(self, name, clock, seed):
        self.clock = clock
        self.state = 'live'
        self.fencing_token = 0
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
        if self.fencing_token:
            self.members.record_coordinator(self.name, self.fencing_token)
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
        )


class SimulatedDeployment:
    """All VMs of a deployment; those that are down answer no polls."""

    def __init__(self, size, clock):
        self.clock = clock
        names = [f'vm-{number:03d}' for number in range(size)]
        self.vms = {n: Vm(n, clock, i) for i, n in enumerate(names)}
        self.down = set()
        # VMs whose watches get no response.
        self.silent = set()
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
            if vm.name not in self.silent:
                vm.feed.confirm(self.clock.now)
        elif vm.members.find_rank() > 1:
            vm.feed.mark_stale()

    def _poll(self, vm, name):
        self.polls_answered[name] += 1
        if name in self.down:
            vm.members.record_failure(name, unsent=True)
        else:
            status = self.vms[name].make_status()
            vm.members.record_status(status)
            vm.feed_sync.record_status(status)

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
def deployment(request):
    deployment = SimulatedDeployment(request.param, FakeClock())
    deployment.run(rounds=3)
    return deployment


class TestPolls:
    def test_number_of_polls_is_bounded_without_a_coordinator(
        self, deployment
    ):
        for vm in deployment.vms.values():
            assert len(vm.members.select_peers()) <= 17
        assert max(deployment.polls_answered.values()) <= MAX_POLLS_ANSWERED
        mean = sum(deployment.polls_answered.values()) / len(deployment.vms)
        assert mean <= MAX_MEAN_POLLS_ANSWERED

    def test_callers_spread_over_all_vms(self, deployment):
        address_counts = collections.Counter(
            address
            for vm in deployment.list_up()
            for address in vm.members.list_caller_addresses('live')
        )
        assert len(address_counts) == len(deployment.vms)
        mean = sum(address_counts.values()) / len(address_counts)
        assert max(address_counts.values()) <= 3 * mean


class TestCoordinator:
    def test_all_vms_soon_learn_of_the_coordinator(self, deployment):
        # The VM of the last rank is polled by the fewest others.
        chosen = max(
            deployment.vms.values(), key=lambda vm: vm.members.find_rank()
        )
        chosen.fencing_token = 7
        deployment.run(rounds=1)
        chosen.members.record_coordinator(chosen.name, 7)
        deployment.run(rounds=5)
        for vm in deployment.list_up():
            if vm is not chosen:
                assert vm.members.has_valid_coordinator()
                assert (
                    vm.members.find_reachable_coordinator().name == chosen.name
                )

    def test_exactly_one_vm_is_the_first_candidate(self, deployment):
        (first,) = deployment.list_first_candidates()
        deployment.down.add(first.name)
        deployment.run(rounds=3)
        (second,) = deployment.list_first_candidates()
        assert second is not first

    def test_all_vms_notice_that_the_coordinator_is_down(self, deployment):
        (first,) = deployment.list_first_candidates()
        first.fencing_token = 7
        deployment.run(rounds=5)
        deployment.down.add(first.name)
        deployment.run(rounds=2)
        assert not any(
            vm.members.has_valid_coordinator() for vm in deployment.list_up()
        )

    def test_a_candidate_is_soon_found_after_the_loss_of_all_seeds(self):
        deployment = SimulatedDeployment(65, FakeClock())
        deployment.run(rounds=3)
        ranks = {n: vm.members.find_rank() for n, vm in deployment.vms.items()}
        deployment.down.update(n for n, rank in ranks.items() if rank < 12)
        deployment.run(rounds=8)
        assert min(vm.members.find_rank() for vm in deployment.list_up()) <= 2


class TestWatchers:
    def test_two_vms_watch_for_all(self, deployment):
        deployment.run(rounds=10)
        assert deployment.count_watchers() == 2

    def test_other_vms_watch_when_the_watches_are_silent(self, deployment):
        deployment.run(rounds=10)
        watchers = {
            vm.name for vm in deployment.list_up() if vm.feed.is_watched
        }
        deployment.silent = watchers
        deployment.run(rounds=110)
        assert deployment.count_watchers() == 2
        others = set()
        for _ in range(20):
            deployment.run()
            others |= {
                vm.name for vm in deployment.list_up() if vm.feed.is_watched
            }
        assert others - watchers

    def test_other_vms_watch_when_the_watchers_are_down(self, deployment):
        deployment.run(rounds=10)
        for vm in deployment.list_up():
            if vm.feed.is_watched:
                deployment.down.add(vm.name)
        deployment.run(rounds=7)
        assert deployment.count_watchers() >= 1
        deployment.run(rounds=20)
        assert deployment.count_watchers() <= 4
