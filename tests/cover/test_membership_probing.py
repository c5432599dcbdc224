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


class FakeTransport(links.MessageTransport):
    """Acknowledges probes of processes that are alive and reachable."""

    def __init__(self, address, dead=(), unreachable=()):
        self.address = address
        self.dead = set(dead)
        self.unreachable = set(unreachable)
        self.posted = []
        self.prober = None

    def post(self, message, address):
        self.posted.append((message, address))
        if isinstance(message, links.PingRequest):
            reached = {address, message.target} - self.dead
            if len(reached) == 2:
                self.prober.record_ack(links.Ack(message.target))
        elif address not in self.dead | self.unreachable:
            self.prober.record_ack(links.Ack(address))


def make_prober(transport, targets, helpers=()):
    reported = []
    transport.prober = membership.Prober(
        transport,
        lambda: targets,
        lambda: list(helpers),
        reported.append,
        random.Random(1),
    )
    return transport.prober, reported


@pytest.fixture
def short_intervals(monkeypatch):
    for name in (
        'PROBE_INTERVAL_SECONDS',
        'PROBE_TIMEOUT_SECONDS',
        'CONFIRMATION_ROUND_SECONDS',
    ):
        monkeypatch.setattr(_probing, name, getattr(_probing, name) / 40)


@pytest.mark.parametrize(
    ('dead', 'unreachable', 'expected'),
    [
        ((), (), []),
        (('b',), (), ['b']),
        # Other processes can still reach it.
        ((), ('b',), []),
        # The helpers are dead, but the direct probe is acknowledged.
        (('c', 'd'), (), []),
    ],
)
async def test_only_a_process_that_no_probe_reaches_is_dead(
    short_intervals, dead, unreachable, expected
):
    target = make_process('b')
    helpers = [make_process('c'), make_process('d')]
    prober, reported = make_prober(
        FakeTransport('a', dead, unreachable), [target], helpers
    )
    with anyio.move_on_after(0.4):
        await prober.run()
    assert sorted({p.link for p in reported}) == expected


async def test_a_slow_prober_reports_nobody(short_intervals, monkeypatch):
    monkeypatch.setattr(_probing, 'MAX_ROUND_SECONDS', 0.0)
    prober, reported = make_prober(
        FakeTransport('a', {'b'}), [make_process('b')]
    )
    with anyio.move_on_after(0.4):
        await prober.run()
    assert prober.suspicions
    assert not reported


async def test_a_prober_whose_ping_to_itself_is_unanswered_reports_nobody(
    short_intervals,
):
    # Its timers are on time, but received messages wait unread.
    prober, reported = make_prober(
        FakeTransport('a', {'a', 'b'}), [make_process('b')]
    )
    with anyio.move_on_after(0.4):
        await prober.run()
    assert prober.suspicions
    assert not reported


async def test_a_former_target_is_not_reported(short_intervals):
    targets = [make_process('b')]
    prober, reported = make_prober(FakeTransport('a', {'b'}), targets)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(prober.run)
        await anyio.sleep(0.05)
        targets.clear()
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    assert not reported


def test_running_processes_of_a_vm_declared_dead_become_live_again():
    table = membership.RecordTable()
    processes = membership.ProcessList(table)
    conductor = membership.Process('vm', 'conductor', 'a', 'a', 'd', 'r')
    entry = membership.Process('vm', 'entry', 'b', 'b', 'd', 'r')
    entry_2 = membership.Process('vm-2', 'entry', 'c', 'c', 'd', 'r')
    for process in (conductor, entry_2):
        membership.Announcement(membership.RecordTable(), process)
    remote = membership.RecordTable()
    for process in (conductor, entry, entry_2):
        membership.Announcement(remote, process)
    table.apply(remote.select(''))
    membership.declare_dead(table, processes, conductor)
    assert [p.name for p in processes.select('entry')] == ['vm-2/entry']
    # The paused VM continues, receives the records and replaces them.
    remote.apply(list(table.select('')))
    table.apply(list(remote.select('')))
    assert len(list(processes.select('entry'))) == 2


def test_the_conductor_of_a_dead_entry_stays_alive():
    table = membership.RecordTable()
    processes = membership.ProcessList(table)
    for kind in ('conductor', 'entry'):
        process = membership.Process('vm', kind, 'a', 'a', 'd', 'r')
        membership.Announcement(membership.RecordTable(), process)
        remote = membership.RecordTable()
        membership.Announcement(remote, process)
        table.apply(remote.select(''))
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
def test_the_relay_tree_reaches_all_members_with_bounded_fan_out(count):
    fleet = make_fleet(count)
    neighbours = {
        p.link: membership.find_relay_neighbours(p, fleet) for p in fleet
    }
    reached = {fleet[0].link}
    frontier = [fleet[0].link]
    while frontier:
        frontier = [
            neighbour.link
            for link in frontier
            for neighbour in neighbours[link]
            if neighbour.link not in reached
        ]
        reached.update(frontier)
    assert len(reached) == count
    # Four children and one parent in each of three trees.
    assert max(len(peers) for peers in neighbours.values()) <= 15
    assert sum(len(peers) for peers in neighbours.values()) == 2 * (count - 1)


def test_every_conductor_is_probed_by_three_others():
    fleet = make_fleet()
    targets = [
        p.link for q in fleet for p in membership.find_probe_targets(q, fleet)
    ]
    assert {targets.count(p.link) for p in fleet} == {3}


def test_two_vms_of_each_region_watch_the_platform():
    fleet = make_fleet()
    watchers = membership.find_watchers('region-1', fleet)
    assert len(watchers) == 2
    remaining = [p for p in fleet if p.vm != watchers[0]]
    assert membership.find_watchers('region-1', remaining)[0] == watchers[1]
