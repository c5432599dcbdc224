"""Ages of the lists of backend servers among many simulated VMs."""

import collections
import random

import anyio
import pytest

from swiftjunction import coordination
from swiftjunction import errors
from swiftjunction import objectstore
from tests.cover import test_coordination
from tests.cover import test_coordination_large

PREFIX = 'servers/'
DRAIN_SECONDS = 2.0
# Leaves time for the news of a change, and for requests under way.
MAX_AGE_SECONDS = 1.6
ROUND_SECONDS = 0.5
STEP_SECONDS = 0.05
POLL_FAILURE_SECONDS = 1.0
# What all VMs together may call the store in a second.
MAX_READS_PER_SECOND = 2000


def finish(coroutine):
    """Run a coroutine that does not wait."""
    with pytest.raises(StopIteration):
        coroutine.send(None)


class Vm:
    """A VM that polls others at times of its own."""

    def __init__(self, name, seed, deployment):
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.next_poll = deployment.clock.now + self.rng.random() * 0.5
        self.failing_polls = []
        self.members = coordination.MemberTable(
            test_coordination.make_member(name), deployment.clock, self.rng
        )
        self.feed_sync = coordination.FeedSync(
            None, None, self.members, deployment.clock, deployment.clock
        )
        self.feed = self.feed_sync.add(
            PREFIX, objectstore.CallbackListener(lambda found: None)
        )
        self.feed.note_request()
        self.feed.mark_current(1)
        self.feed.confirm(deployment.clock.now)
        self.feed.mark_stale()
        self.confirmation = coordination.confirm_servers(
            self.feed_sync, deployment.clock
        )
        self.reaches_store = True
        self.refresher = coordination.FeedRefresher(
            self,
            self.feed_sync,
            self.members,
            self.confirmation,
            DRAIN_SECONDS,
            lambda: self.reaches_store,
            self.rng,
        )

    @property
    def name(self):
        return self.members.own.name

    def start_watch(self):
        self.feed.mark_current(1)
        self.feed.note_request()

    # Stands in for the store.
    async def list(self, prefix):
        return self.deployment.answer(self)

    async def watch(self, prefix, revision, wait_seconds):
        assert not wait_seconds
        return self.deployment.answer(self)

    def make_status(self):
        return test_coordination.make_status(
            self.name,
            revisions=self.feed_sync.list_revisions(),
            servers_age_seconds=self.confirmation.state_age(),
        )

    def step(self):
        now = self.deployment.clock.now
        finish(self.refresher.check())
        while self.failing_polls and self.failing_polls[0][0] <= now:
            _, name = self.failing_polls.pop(0)
            self.members.record_failure(name, unsent=False)
        if now >= self.next_poll:
            self.next_poll += ROUND_SECONDS
            for peer in self.members.select_peers():
                self.poll(peer.name, now)

    def poll(self, name, now):
        if name in self.deployment.frozen:
            self.failing_polls.append((now + POLL_FAILURE_SECONDS, name))
            return
        status = self.deployment.vms[name].make_status()
        self.members.record_status(status)
        self.confirmation.record_status(status, now)


class SimulatedDeployment:
    """VMs of which the first two ranks watch the servers.

    Attributes
    ----------
    frozen : set of str
        The VMs that do not run.
    calls : Counter
        The calls to the store in each step.
    """

    def __init__(self, size):
        self.clock = test_coordination_large.FakeClock()
        self.frozen = set()
        self.calls = collections.Counter()
        self.is_store_down = False
        names = [f'vm-{number:03d}' for number in range(size)]
        self.vms = {n: Vm(n, i, self) for i, n in enumerate(names)}
        for vm in self.vms.values():
            for name in names:
                vm.members.apply_entry(
                    test_coordination.make_entry(
                        test_coordination.make_member(name)
                    )
                )
        self.watchers = next(iter(self.vms.values())).members._rank_members()[
            :2
        ]
        for name in self.watchers:
            self.vms[name].start_watch()

    def answer(self, vm):
        self.calls[round(self.clock.now / STEP_SECONDS)] += 1
        if self.is_store_down:
            vm.reaches_store = False
            raise errors.PlatformUnavailable('down', step='watch')
        return objectstore.ChangeSet(1, [], [])

    def run(self, seconds):
        """Return the greatest age of any VM that runs, at each step."""
        ages = []
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.now += STEP_SECONDS
            running = [
                vm for name, vm in self.vms.items() if name not in self.frozen
            ]
            for vm in running:
                vm.step()
            ages.append(
                max(vm.confirmation.compute_age_seconds() for vm in running)
            )
        return ages

    def find_busiest_second(self):
        """Return the most calls to the store within a second."""
        steps = round(1 / STEP_SECONDS)
        return max(
            sum(self.calls[step + n] for n in range(steps))
            for step in self.calls
        )


@pytest.fixture(params=[3, 8, 30, 165])
def deployment(request):
    deployment = SimulatedDeployment(request.param)
    deployment.run(4)
    deployment.calls.clear()
    return deployment


def test_nobody_asks_while_the_watching_vms_run(deployment):
    assert max(deployment.run(20)) < MAX_AGE_SECONDS
    assert not deployment.calls


def test_lists_stay_recent_when_the_watching_vms_freeze(deployment):
    deployment.frozen = set(deployment.watchers)
    assert max(deployment.run(6)) < MAX_AGE_SECONDS
    assert deployment.find_busiest_second() < MAX_READS_PER_SECOND


def test_lists_stay_recent_when_more_than_half_of_the_vms_freeze(deployment):
    ranking = next(iter(deployment.vms.values())).members._rank_members()
    deployment.frozen = set(ranking[: round(0.6 * len(ranking))])
    assert max(deployment.run(6)) < MAX_AGE_SECONDS
    assert deployment.find_busiest_second() < MAX_READS_PER_SECOND


def test_few_calls_are_made_while_the_store_is_down(deployment):
    for name in deployment.watchers:
        deployment.vms[name].feed.mark_stale()
    deployment.is_store_down = True
    deployment.run(10)
    assert 0 < deployment.calls.total() <= 2 * len(deployment.vms)


class TestRefresher:
    """One VM of rank 0, whose peers are silent."""

    def make(self):
        deployment = SimulatedDeployment(2)
        deployment.run(3)
        [name] = deployment.watchers[:1]
        deployment.frozen = {deployment.watchers[1]}
        return deployment, deployment.vms[name]

    def test_an_open_watch_confirms_the_list(self):
        deployment, vm = self.make()
        deployment.run(40)
        assert vm.confirmation.compute_age_seconds() < 3 * STEP_SECONDS
        assert not vm.refresher.asks

    def test_a_suspended_vm_states_no_recent_list_before_it_has_read_its_news(
        self,
    ):
        deployment, vm = self.make()
        deployment.clock.now += 5
        assert vm.confirmation.compute_age_seconds() > 5
        vm.feed.mark_stale()
        deployment.is_store_down = True
        finish(vm.refresher.check())
        assert vm.confirmation.compute_age_seconds() > 5

    def test_the_pause_after_a_change_confirms_nothing(self):
        deployment, vm = self.make()
        vm.feed.mark_current(2)
        vm.feed.confirm(deployment.clock.now)
        deployment.run(0.3)
        assert vm.confirmation.compute_age_seconds() > 0.29

    def test_a_slow_list_confirms_nothing(self):
        deployment, vm = self.make()
        vm.feed.mark_stale()
        vm.feed.note_request()
        deployment.run(0.5)
        assert vm.confirmation.compute_age_seconds() > 0.49

    def test_a_watch_through_a_peer_confirms_nothing(self):
        deployment, vm = self.make()
        vm.reaches_store = False
        deployment.run(0.5)
        assert vm.confirmation.compute_age_seconds() > 0.49

    def test_changes_that_were_asked_for_are_applied(self):
        deployment, vm = self.make()
        vm.feed.mark_stale()
        leaving = objectstore.Object('servers/a', 7, b'leaving')
        deployment.answer = lambda vm: objectstore.ChangeSet(7, [leaving], [])
        deployment.run(1.5)
        assert vm.feed.revision == 7
        assert vm.feed.copy_since(-1).changed == [leaving]

    def test_a_list_follows_when_the_history_is_lost(self):
        deployment, vm = self.make()
        vm.feed.mark_stale()

        async def lose_history(prefix, revision, wait_seconds):
            raise errors.HistoryLost('lost', step='watch')

        vm.watch = lose_history
        deployment.run(1.5)
        assert deployment.calls.total() == 1
        assert vm.confirmation.compute_age_seconds() < MAX_AGE_SECONDS


class LosingStore:
    """A store whose history is lost, and whose list then takes long."""

    def __init__(self):
        self.lists = 0

    async def list(self, prefix):
        self.lists += 1
        if self.lists > 1:
            await anyio.sleep_forever()
        return objectstore.ChangeSet(1, [], [])

    async def watch(self, prefix, revision, wait_seconds):
        raise errors.HistoryLost('lost', step='watch')


@pytest.mark.anyio
async def test_a_feed_is_not_watched_while_its_lost_history_is_listed():
    feed = coordination.SharedFeed(
        PREFIX, objectstore.CallbackListener(lambda found: None)
    )
    with anyio.move_on_after(0.1):
        await objectstore.follow(LosingStore(), PREFIX, feed)
    assert not feed.is_watched
