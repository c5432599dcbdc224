"""What a VM believes to be confirmed, under random schedules.

Everything but the network, the store and the clocks is real. Messages and
answers are late, lost or in another order, VMs are suspended, and watches lack
up to a second of news.
"""

import random
import types

import hypothesis
from hypothesis import strategies as st
import msgspec

from swiftjunction import coordination
from swiftjunction.coordination import _asking
from swiftjunction.coordination import _messages
from swiftjunction import errors
from swiftjunction import objectstore
from tests import conftest
from tests.cover.test_coordination import make_entry
from tests.cover.test_coordination import make_member
from tests.cover.test_coordination import make_status

PREFIX = 'config/'
NAMES = ('a', 'b', 'c')
WATCH_LAG_SECONDS = 1.0
MAX_AGE_SECONDS = 4.0
RANDOM = random.Random(1)


class World:
    """The store's history, the true time, and what is under way."""

    def __init__(self):
        self.now = 1000.0
        # The times at which revisions began, and the newest configuration.
        self.history = [(0.0, 5, 5)]
        self.pending = []
        self.vms = {name: Vm(name, self) for name in NAMES}

    def change(self, is_configuration):
        _, revision, version = self.history[-1]
        revision += 1
        self.history.append(
            (self.now, revision, revision if is_configuration else version)
        )

    def answer(self, asked_at, after, pick):
        """Return a list, or changes `after` a revision, as of some time."""
        began = sum(at <= asked_at for at, _, _ in self.history) - 1
        states = self.history[began:]
        _, revision, version = states[int(pick * len(states))]
        if revision < after or version <= after:
            return objectstore.ChangeSet(max(revision, after), [], [])
        found = objectstore.Object('config/main', version, b'')
        return objectstore.ChangeSet(revision, [found], [])

    def check(self):
        for vm in self.vms.values():
            confirmed_until = (
                self.now
                - vm.confirmation.compute_age_seconds()
                - WATCH_LAG_SECONDS
            )
            for at, _, version in self.history:
                if at < confirmed_until:
                    assert version <= vm.version, vm.name


class Vm:
    """The parts of one VM that confirm its configuration."""

    def __init__(self, name, world):
        self.name = name
        self.world = world
        self.offset = 17.0 * (1 + NAMES.index(name))
        self.suspended = 0.0
        self.version = -1
        self.list_number = 0
        self.sent = []
        members = coordination.MemberTable(
            make_member(name), self.read_monotonic_clock
        )
        for other in NAMES:
            members.apply_entry(make_entry(make_member(other)))
        feed_sync = coordination.FeedSync(
            None,
            None,
            members,
            self.read_monotonic_clock,
            self.read_boot_clock,
        )
        self.feed = feed_sync.add(
            PREFIX, objectstore.CallbackListener(self.apply)
        )
        self.confirmation = coordination.FeedConfirmation(
            feed_sync, PREFIX, self.read_boot_clock
        )
        self.confirmer = coordination.ConfigurationConfirmer(
            self,
            feed_sync,
            members,
            self.confirmation,
            MAX_AGE_SECONDS,
            lambda: True,
            lambda: True,
            None,
        )
        self.feed_sync = feed_sync
        self.poller = coordination.PeerPoller(
            self,
            None,
            members,
            feed_sync,
            self.make_status,
            None,
            self.confirmation,
        )

    def read_boot_clock(self):
        return self.offset + self.world.now

    def read_monotonic_clock(self):
        return self.offset + self.world.now - self.suspended

    def apply(self, found):
        self.version = max(self.version, found.version)

    def make_status(self):
        return msgspec.structs.replace(
            make_status(self.name),
            revisions=self.feed_sync.list_revisions(),
            ages=self.feed_sync.list_ages(),
            configuration_age_seconds=self.confirmation.state_age(),
        )

    # Stands in for the datagrams.
    def listen(self, kind, handler):
        pass

    async def send(self, message, address):
        self.sent.append((message, address))

    # Stands in for the store; each call waits for `World.pending`.
    async def list(self, prefix):
        asked_at = self.world.now
        pick = await _suspend()
        return self.world.answer(asked_at, -1, pick)

    async def watch(self, prefix, revision, wait_seconds):
        asked_at = self.world.now - WATCH_LAG_SECONDS
        pick = await _suspend()
        return self.world.answer(asked_at, revision, pick)


@types.coroutine
def _suspend():
    return (yield)


def advance(coroutine, value=None):
    """Run a coroutine until it waits; return whether it has not ended."""
    try:
        coroutine.send(value)
    except StopIteration:
        return False
    return True


def change(world, vm, other, pick):
    world.change(pick < 0.7)


def wait(world, vm, other, pick):
    world.now += 3 * pick**2


def suspend(world, vm, other, pick):
    world.now += 4 * pick
    vm.suspended += 4 * pick


def ask_store(world, vm, other, pick):
    schedule = _asking.AskSchedule(MAX_AGE_SECONDS, RANDOM, 0.0)
    asking = vm.confirmer._ask_and_record(vm.feed, schedule, 0)
    assert advance(asking)

    def finish(pick):
        # A watch may be followed by a list.
        if advance(asking, pick):
            world.pending.append(finish)

    world.pending.append(finish)


def fail_ask(world, vm, other, pick):
    asking = vm.confirmer._ask_and_record(
        vm.feed, _asking.AskSchedule(MAX_AGE_SECONDS, RANDOM, 0.0), 0
    )
    assert advance(asking)
    error = errors.HistoryLost if pick < 0.5 else errors.PlatformUnavailable
    try:
        asking.throw(error('failed', step='watch'))
    except StopIteration:
        return
    world.pending.append(lambda pick: advance(asking, pick))


def list_late(world, vm, other, pick):
    vm.feed.note_request()
    vm.list_number += 1
    number = vm.list_number
    asked_at = vm.read_monotonic_clock()
    found = world.answer(world.now, -1, 0)

    def finish(pick):
        # The next request of a feed cancels the one before.
        if number != vm.list_number:
            return
        vm.feed.replace(found.changed)
        vm.feed.mark_current(found.revision)
        vm.feed.confirm(asked_at)

    world.pending.append(finish)


def poll(world, vm, other, pick):
    vm.sent.clear()
    advance(vm.poller._send_queries())
    for query, address in vm.sent:
        peer = world.vms[conftest.find_name(address, world.vms)]
        world.pending.append(
            lambda pick, query=query: answer(world, vm, peer, query)
        )


def answer(world, vm, peer, query):
    peer.sent.clear()
    advance(peer.poller._answer(query, 'sender'))
    [(reply, _)] = peer.sent
    world.pending.append(lambda pick: vm.poller._handle_reply(reply))


def copy(world, vm, other, pick):
    copied = other.feed.copy_since(vm.feed.revision)
    assert isinstance(copied, _messages.FeedCopy)
    world.pending.append(lambda pick: vm.feed.apply_if_newer(copied))


def deliver(world, vm, other, pick):
    if world.pending:
        number, pick = divmod(pick * len(world.pending), 1)
        world.pending.pop(int(number))(pick)


def deliver_first(world, vm, other, pick):
    if world.pending:
        world.pending.pop(0)(pick)


def lose(world, vm, other, pick):
    if world.pending:
        world.pending.pop(int(pick * len(world.pending)))


STEPS = (
    change,
    wait,
    suspend,
    ask_store,
    fail_ask,
    list_late,
    poll,
    copy,
    deliver,
    deliver,
    deliver_first,
    deliver_first,
    deliver_first,
    lose,
)


@hypothesis.settings(max_examples=400, deadline=None)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(STEPS),
            st.sampled_from(NAMES),
            st.sampled_from(NAMES),
            st.floats(0, 1, exclude_max=True),
        ),
        min_size=20,
        max_size=80,
    )
)
def test_no_vm_confirms_a_time_before_which_it_lacks_a_change(steps):
    world = World()
    for step, name, other, pick in steps:
        step(world, world.vms[name], world.vms[other], pick)
        world.check()
