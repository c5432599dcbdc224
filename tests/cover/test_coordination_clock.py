"""The clock that VMs share, without a network."""

import random

import pytest

from swiftjunction import coordination
from tests.cover.test_coordination import make_status

TRUE_START = 1_700_000_000.0
# Targets for the shared clock.
MAX_ERROR_SECONDS = 0.1
CLOCK_ERROR_SECONDS = 0.05
STEP_SECONDS = 2.0


class Vm:
    """A VM whose boot clock is not that of others."""

    def __init__(self, name, world, rng):
        self.name = name
        self.world = world
        self.booted = rng.uniform(0, 10_000)
        self.error = rng.uniform(-CLOCK_ERROR_SECONDS, CLOCK_ERROR_SECONDS)
        self.step = 0.0
        self.clock = coordination.SharedClock(
            self.read_boot_clock, self.read_time
        )

    def read_boot_clock(self):
        return self.world.now + self.booted

    def read_time(self):
        return TRUE_START + self.world.now + self.error + self.step

    def poll(self, peer, answered_after=0.01, received_after=0.01):
        asked_at = self.read_boot_clock()
        self.world.now += answered_after
        time_of_day, median_time = peer.clock.state_times()
        status = make_status(
            peer.name, time_of_day=time_of_day, median_time=median_time
        )
        self.world.now += received_after
        self.clock.record_status(status, asked_at)

    def compute_error(self):
        return self.clock.read_seconds() - TRUE_START - self.world.now


class World:
    """Some VMs, and the true time since the start."""

    def __init__(self, size, seed=0):
        self.now = 0.0
        self.rng = random.Random(seed)
        self.vms = [Vm(f'vm-{n}', self, self.rng) for n in range(size)]

    def step_some(self, fraction):
        count = round(fraction * len(self.vms))
        for vm in self.rng.sample(self.vms, count):
            vm.step = self.rng.choice((-STEP_SECONDS, STEP_SECONDS))

    def run_round(self, peer_count):
        for vm in self.vms:
            peers = [peer for peer in self.vms if peer is not vm]
            for peer in self.rng.sample(peers, peer_count):
                started_at = self.now
                vm.poll(peer, *(self.rng.uniform(0, 0.03) for _ in 'ab'))
                self.now = started_at
        self.now += 0.5


@pytest.mark.parametrize('seed', range(20))
def test_vms_agree_although_some_clocks_are_stepped(seed):
    world = World(70, seed)
    for vm in world.vms:
        vm.peers = [peer for peer in world.vms if peer is not vm]
        vm.peers = world.rng.sample(vm.peers, 7)
    world.step_some(0.3)
    for _ in range(2):
        for vm in world.vms:
            for peer in vm.peers:
                vm.poll(peer, 0.0, 0.0)
    world.now += 0.5
    for vm in world.vms:
        assert abs(vm.compute_error()) < MAX_ERROR_SECONDS


def test_a_stepped_time_of_day_does_not_move_the_shared_clock():
    world = World(8)
    for _ in range(3):
        world.run_round(7)
    before = world.vms[0].compute_error()
    world.vms[0].step = STEP_SECONDS
    assert world.vms[0].compute_error() == pytest.approx(before, abs=0.1)
    world.run_round(7)
    assert abs(world.vms[0].compute_error()) < MAX_ERROR_SECONDS


def test_an_answer_that_lay_unread_does_not_count():
    world = World(2)
    world.vms[0].poll(world.vms[1], received_after=5.0)
    assert world.vms[0].clock.count_peers() == 0


def test_peers_that_stopped_or_state_no_time_do_not_count():
    world = World(2)
    vm, peer = world.vms
    vm.poll(peer)
    assert vm.clock.count_peers() == 1
    world.now += 10
    assert vm.clock.count_peers() == 0
    for time_of_day in (0.0, -1.0, float('nan'), float('inf')):
        vm.clock.record_status(
            make_status('x', time_of_day=time_of_day, median_time=1.0),
            vm.read_boot_clock(),
        )
    assert vm.clock.count_peers() == 0
    assert vm.compute_error() == pytest.approx(vm.error)


def test_small_corrections_do_not_turn_the_clock_back():
    world = World(1)
    [vm] = world.vms
    first = vm.clock.read_seconds()
    vm.step = -0.2
    world.now += 0.1
    assert vm.clock.read_seconds() == first
    world.now += 0.2
    assert vm.clock.read_seconds() > first
    vm.step = -STEP_SECONDS
    assert vm.clock.read_seconds() < first
