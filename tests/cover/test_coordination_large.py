"""Many VMs that ask each other, round by round, without a network."""

import collections
import random

import pytest

from swiftjunction import coordination
from swiftjunction import objectstore
from tests.cover.test_coordination import make_entry
from tests.cover.test_coordination import make_member

ROUND_SECONDS = 0.5
PREFIX = 'servers/'
# Beside the peers that a VM asks for itself, it answers about as many.
MOST_QUESTIONS = 64
MEAN_QUESTIONS = 16


class Vm:
    """What one VM knows."""

    def __init__(self, name, clock, seed):
        self.clock = clock
        self.state = 'live'
        self.token = 0
        self.book = coordination.MemberBook(
            make_member(name), clock, random.Random(seed)
        )
        self.sharing = coordination.FeedSharing(None, None, self.book, clock)
        self.feed = self.sharing.add(
            PREFIX, objectstore.CallbackListener(lambda found: None)
        )

    @property
    def name(self):
        return self.book.own.name

    def describe(self):
        if self.token:
            self.book.note_coordinator(self.name, self.token)
        return coordination.MemberStatus(
            self.name,
            '1',
            self.state,
            self.token,
            2.0 if self.token else 0.0,
            0,
            True,
            {},
            self.sharing.list_ages(),
            *self.book.coordinator,
        )


class Fleet:
    """All VMs; those that are down do not answer."""

    def __init__(self, size, clock):
        self.clock = clock
        names = [f'vm-{number:03d}' for number in range(size)]
        self.vms = {n: Vm(n, clock, i) for i, n in enumerate(names)}
        self.down = set()
        self.questions = collections.Counter()
        for vm in self.vms.values():
            for name in names:
                vm.book.learn(make_entry(make_member(name)))

    def list_up(self):
        return [vm for n, vm in self.vms.items() if n not in self.down]

    def run(self, rounds=1):
        for _ in range(rounds):
            self.clock.now += ROUND_SECONDS
            self.questions.clear()
            for vm in self.list_up():
                self._watch(vm)
                for peer in vm.book.choose_peers():
                    self._ask(vm, peer.name)

    def _watch(self, vm):
        if vm.sharing._is_needed(PREFIX):
            vm.feed.mark_current(1)
        elif vm.book.find_rank() > 1:
            vm.feed.mark_stale()

    def _ask(self, vm, name):
        self.questions[name] += 1
        if name in self.down:
            vm.book.note_silence(name, refused=True)
        else:
            vm.book.note_status(self.vms[name].describe())

    def list_first(self):
        return [vm for vm in self.list_up() if vm.book.find_rank() == 0]

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


class TestQuestions:
    def test_their_number_does_not_grow_with_the_fleet(self, fleet):
        for vm in fleet.vms.values():
            assert len(vm.book.choose_peers()) <= 17
        assert max(fleet.questions.values()) <= MOST_QUESTIONS
        mean = sum(fleet.questions.values()) / len(fleet.vms)
        assert mean <= MEAN_QUESTIONS

    def test_no_vm_is_named_to_most_callers(self, fleet):
        named = collections.Counter(
            front
            for vm in fleet.list_up()
            for front in vm.book.list_fronts('live')
        )
        assert len(named) == len(fleet.vms)
        usual = sum(named.values()) / len(named)
        assert max(named.values()) <= 3 * usual


class TestCoordinator:
    def test_all_vms_soon_know_it(self, fleet):
        # The last by rank: the one that the fewest ask.
        chosen = max(fleet.vms.values(), key=lambda vm: vm.book.find_rank())
        chosen.token = 7
        fleet.run(rounds=1)
        chosen.book.note_coordinator(chosen.name, 7)
        fleet.run(rounds=5)
        for vm in fleet.list_up():
            if vm is not chosen:
                assert vm.book.has_coordinator()
                assert vm.book.find_coordinator().name == chosen.name

    def test_one_vm_is_the_first_that_may_follow(self, fleet):
        (first,) = fleet.list_first()
        fleet.down.add(first.name)
        fleet.run(rounds=3)
        (second,) = fleet.list_first()
        assert second is not first

    def test_a_coordinator_that_is_gone_is_missed_by_all(self, fleet):
        (first,) = fleet.list_first()
        first.token = 7
        fleet.run(rounds=5)
        fleet.down.add(first.name)
        fleet.run(rounds=2)
        assert not any(vm.book.has_coordinator() for vm in fleet.list_up())

    def test_after_the_loss_of_all_seeds_somebody_is_soon_next(self):
        fleet = Fleet(65, FakeClock())
        fleet.run(rounds=3)
        ranks = {n: vm.book.find_rank() for n, vm in fleet.vms.items()}
        fleet.down.update(n for n, rank in ranks.items() if rank < 12)
        fleet.run(rounds=8)
        assert min(vm.book.find_rank() for vm in fleet.list_up()) <= 2


class TestWatchers:
    def test_a_few_vms_watch_for_all(self, fleet):
        fleet.run(rounds=10)
        assert fleet.count_watchers() == 2

    def test_others_watch_when_those_are_gone(self, fleet):
        fleet.run(rounds=10)
        for vm in fleet.list_up():
            if vm.feed.is_watched:
                fleet.down.add(vm.name)
        fleet.run(rounds=7)
        assert fleet.count_watchers() >= 1
        fleet.run(rounds=20)
        assert fleet.count_watchers() <= 4
