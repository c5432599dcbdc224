import random

import anyio
import pytest

from swiftjunction import links
from swiftjunction import membership
from swiftjunction.membership import _probing

pytestmark = pytest.mark.anyio


def make_process(name, data_center='dc', region='r'):
    vm = name.removeprefix('10.')
    return membership.Process(vm, 'conductor', name, name, data_center, region)


class Network(links.MessageTransport):
    """Answers probes at once, for those that are alive and not cut off."""

    def __init__(self, address, dead=(), cut=()):
        self.address = address
        self.dead = set(dead)
        self.cut = set(cut)
        self.posted = []
        self.prober = None

    def post(self, message, address):
        self.posted.append((message, address))
        if isinstance(message, links.PingRequest):
            reached = {address, message.target} - self.dead
            if len(reached) == 2:
                self.prober.record_ack(links.Ack(message.target))
        elif address not in self.dead | self.cut:
            self.prober.record_ack(links.Ack(address))


def make_prober(network, targets, helpers=()):
    reported = []
    network.prober = membership.Prober(
        network,
        lambda: targets,
        lambda: list(helpers),
        reported.append,
        random.Random(1),
    )
    return network.prober, reported


@pytest.fixture
def fast(monkeypatch):
    for name in (
        'PROBE_INTERVAL_SECONDS',
        'PROBE_TIMEOUT_SECONDS',
        'SUSPICION_ROUND_SECONDS',
    ):
        monkeypatch.setattr(_probing, name, getattr(_probing, name) / 40)


@pytest.mark.parametrize(
    ('dead', 'cut', 'expected'),
    [
        ((), (), []),
        (('b',), (), ['b']),
        # Another process still reaches it.
        ((), ('b',), []),
        # The helpers are cut off, too; the probe itself is enough.
        (('c', 'd'), (), []),
    ],
)
async def test_only_a_process_that_nobody_reaches_is_dead(
    fast, dead, cut, expected
):
    target = make_process('b')
    helpers = [make_process('c'), make_process('d')]
    prober, reported = make_prober(Network('a', dead, cut), [target], helpers)
    with anyio.move_on_after(0.4):
        await prober.run()
    assert sorted({p.link for p in reported}) == expected


async def test_a_prober_that_was_late_itself_accuses_nobody(fast, monkeypatch):
    monkeypatch.setattr(_probing, 'MAX_ROUND_SECONDS', 0.0)
    prober, reported = make_prober(Network('a', {'b'}), [make_process('b')])
    with anyio.move_on_after(0.4):
        await prober.run()
    assert prober.suspicions
    assert not reported


async def test_a_prober_that_does_not_hear_itself_accuses_nobody(fast):
    # Its timers are on time, but what it receives waits unread.
    prober, reported = make_prober(
        Network('a', {'a', 'b'}), [make_process('b')]
    )
    with anyio.move_on_after(0.4):
        await prober.run()
    assert prober.suspicions
    assert not reported


async def test_a_process_that_is_no_target_any_more_is_left_alone(fast):
    targets = [make_process('b')]
    prober, reported = make_prober(Network('a', {'b'}), targets)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(prober.run)
        await anyio.sleep(0.05)
        targets.clear()
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    assert not reported


def test_with_a_conductor_all_of_its_vm_is_dead_until_refuted():
    table = membership.RecordTable()
    processes = membership.ProcessList(table)
    conductor = membership.Process('vm', 'conductor', 'a', 'a', 'd', 'r')
    entry = membership.Process('vm', 'entry', 'b', 'b', 'd', 'r')
    other = membership.Process('vm-2', 'entry', 'c', 'c', 'd', 'r')
    for process in (conductor, other):
        membership.Announcement(membership.RecordTable(), process)
    remote = membership.RecordTable()
    for process in (conductor, entry, other):
        membership.Announcement(remote, process)
    table.apply(remote.select(''))
    membership.declare_dead(table, processes, conductor)
    assert [p.name for p in processes.select('entry')] == ['vm-2/entry']
    # The paused VM comes back, hears of it and says otherwise.
    remote.apply(list(table.select('')))
    table.apply(list(remote.select('')))
    assert len(list(processes.select('entry'))) == 2


def test_a_dead_entry_leaves_its_conductor_alive():
    table = membership.RecordTable()
    processes = membership.ProcessList(table)
    for kind in ('conductor', 'entry'):
        process = membership.Process('vm', kind, 'a', 'a', 'd', 'r')
        membership.Announcement(membership.RecordTable(), process)
        other = membership.RecordTable()
        membership.Announcement(other, process)
        table.apply(other.select(''))
    membership.declare_dead(table, processes, processes.get('vm/entry'))
    assert not list(processes.select('entry'))
    assert list(processes.select('conductor'))


def make_fleet(count=60, regions=3, data_centers=4):
    return [
        make_process(
            f'10.{n}',
            f'dc-{n % (regions * data_centers)}',
            f'region-{n % regions}',
        )
        for n in range(count)
    ]


@pytest.mark.parametrize('count', [1, 2, 3, 16, 60, 380])
def test_the_relay_tree_reaches_all_with_a_bounded_fan_out(count):
    fleet = make_fleet(count)
    near = {p.link: membership.find_relay_neighbours(p, fleet) for p in fleet}
    reached = {fleet[0].link}
    frontier = [fleet[0].link]
    while frontier:
        frontier = [
            other.link
            for link in frontier
            for other in near[link]
            if other.link not in reached
        ]
        reached.update(frontier)
    assert len(reached) == count
    # Four children and a parent on each of three levels.
    assert max(len(found) for found in near.values()) <= 15
    assert sum(len(found) for found in near.values()) == 2 * (count - 1)


def test_every_process_is_probed_by_three_others():
    fleet = make_fleet()
    targets = [
        p.link for q in fleet for p in membership.find_probe_targets(q, fleet)
    ]
    assert {targets.count(p.link) for p in fleet} == {3}


def test_two_of_each_region_watch_the_platform():
    fleet = make_fleet()
    watchers = membership.find_watchers('region-1', fleet)
    assert len(watchers) == 2
    rest = [p for p in fleet if p.vm != watchers[0]]
    assert membership.find_watchers('region-1', rest)[0] == watchers[1]
