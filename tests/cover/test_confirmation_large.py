"""Ages of confirmations among many VMs, simulated without a network."""

import random

import pytest

from swiftjunction import coordination
from swiftjunction.coordination import _asking
from swiftjunction import errors
from swiftjunction import objectstore
from tests.cover import test_coordination
from tests.cover import test_coordination_large

PREFIX = 'config/'
ROUND_SECONDS = 0.5
STEP_SECONDS = 0.05
REVOKE_MARGIN_AGE_SECONDS = 3.95
# Targets: without faults, with both asking VMs cut off from the store, and
# after an outage of the store.
MAX_AGE_SECONDS = 2.0
MAX_AGE_AFTER_CUT_SECONDS = 3.0
MAX_RECOVERY_SECONDS = 2.0
CALLS_PER_SECOND = 5.0


class Vm:
    """A VM that polls, and asks the store, at times of its own."""

    def __init__(self, name, seed, deployment):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.next_poll = deployment.clock.now + self.rng.random() * 0.5
        self.members = coordination.MemberTable(
            test_coordination.make_member(name), deployment.clock, self.rng
        )
        feed_sync = coordination.FeedSync(
            None, None, self.members, deployment.clock
        )
        self.feed = feed_sync.add(
            PREFIX, objectstore.CallbackListener(lambda found: None)
        )
        self.feed.mark_current(1)
        self.confirmation = coordination.FeedConfirmation(
            feed_sync, PREFIX, deployment.clock
        )
        self.confirmer = coordination.ConfigurationConfirmer(
            self,
            feed_sync,
            self.members,
            self.confirmation,
            REVOKE_MARGIN_AGE_SECONDS,
            lambda: True,
            lambda: True,
            self.rng,
        )
        self.schedule = _asking.AskSchedule(
            REVOKE_MARGIN_AGE_SECONDS, self.rng, deployment.clock.now
        )

    @property
    def name(self):
        return self.members.own.name

    # Stands in for the store.
    async def list(self, prefix):
        return self.deployment.answer(self.name)

    async def watch(self, prefix, revision, wait_seconds):
        return self.deployment.answer(self.name)

    def make_status(self):
        return test_coordination.make_status(
            self.name,
            revisions={PREFIX: 1},
            configuration_age_seconds=self.confirmation.state_age(),
        )

    def step(self):
        now = self.deployment.clock.now
        age_seconds = self.confirmation.compute_age_seconds()
        rank = self.members.find_rank()
        if self.schedule.is_due(now, rank, age_seconds, True):
            asking = self.confirmer._ask_and_record(
                self.feed, self.schedule, rank
            )
            with pytest.raises(StopIteration):
                asking.send(None)
        if now >= self.next_poll:
            self.next_poll += ROUND_SECONDS
            for peer in self.members.select_peers():
                status = self.deployment.vms[peer.name].make_status()
                self.members.record_status(status)
                self.confirmation.record_status(status, now)


class SimulatedDeployment:
    """VMs of which those in `cut` get no answer from the store."""

    def __init__(self, size):
        self.clock = test_coordination_large.FakeClock()
        self.cut = set()
        self.calls = 0
        names = [f'vm-{number:03d}' for number in range(size)]
        self.vms = {n: Vm(n, i, self) for i, n in enumerate(names)}
        for vm in self.vms.values():
            for name in names:
                vm.members.apply_entry(
                    test_coordination.make_entry(
                        test_coordination.make_member(name)
                    )
                )

    def answer(self, name):
        self.calls += 1
        if name in self.cut:
            raise errors.PlatformUnavailable('cut off', step='watch')
        return objectstore.ChangeSet(1, [], [])

    def run(self, seconds):
        """Return the greatest age of any VM, and all ages, at each step."""
        ages = []
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.now += STEP_SECONDS
            for vm in self.vms.values():
                vm.step()
            ages += [
                vm.confirmation.compute_age_seconds()
                for vm in self.vms.values()
            ]
        return ages

    def list_asking(self):
        return {
            vm.name
            for vm in self.vms.values()
            if vm.members.find_rank() < _asking.ASKING_RANKS
        }


@pytest.fixture(params=[3, 70])
def deployment(request):
    deployment = SimulatedDeployment(request.param)
    deployment.run(4)
    deployment.calls = 0
    return deployment


class TestLiveness:
    def test_ages_stay_low_without_faults(self, deployment):
        ages = deployment.run(10)
        assert max(ages) < MAX_AGE_SECONDS
        assert sorted(ages)[len(ages) // 2] < MAX_AGE_SECONDS / 2
        assert deployment.calls / 10 <= CALLS_PER_SECOND

    def test_another_vm_takes_over_from_those_cut_off(self, deployment):
        deployment.cut = deployment.list_asking()
        assert len(deployment.cut) == _asking.ASKING_RANKS
        assert max(deployment.run(15)) < MAX_AGE_AFTER_CUT_SECONDS

    def test_a_third_of_the_vms_goes_on_by_the_word_of_others(
        self, deployment
    ):
        deployment.cut = set(
            random.Random(3).sample(
                sorted(deployment.vms), len(deployment.vms) // 3
            )
        )
        assert max(deployment.run(9)) < MAX_AGE_AFTER_CUT_SECONDS

    def test_ages_recover_after_an_outage_with_few_calls(self, deployment):
        deployment.cut = set(deployment.vms)
        assert deployment.run(9)[-1] > REVOKE_MARGIN_AGE_SECONDS
        # Each VM but the first two asks a few times.
        assert deployment.calls < 4 * len(deployment.vms) + 40
        deployment.cut = set()
        deployment.run(MAX_RECOVERY_SECONDS)
        assert max(deployment.run(5)) < MAX_AGE_AFTER_CUT_SECONDS
