import pytest

from swiftjunction import links
from tests import network as networks

KEY = networks.KEY


@pytest.fixture
def line(clock):
    """Three daemons, the middle one relaying."""
    network = networks.Network()
    for address in 'abc':
        networks.Node(network, address, clock)
    for address, peers in (('a', 'b'), ('b', 'ac'), ('c', 'b')):
        network.nodes[address].replicator.set_relay_peers(set(peers))
        network.nodes[address].replicator.set_sync_peers(set('abc'))
    return network


def change(node, version, value=b'v'):
    node.table.apply([links.Record(KEY, version, value)])


def versions(network):
    return [node.version() for node in network.nodes.values()]


def repair(network, clock, rounds=12):
    for _ in range(rounds):
        clock.now += 2
        for node in network.nodes.values():
            node.replicator.compare()
        network.run()
        network.flush()


def test_a_change_is_relayed_to_all(line):
    change(line.nodes['a'], 5)
    line.flush()
    assert versions(line) == [5, 5, 5]


def test_a_stale_read_after_the_change_reverts_nothing(line):
    change(line.nodes['a'], 5)
    line.flush()
    change(line.nodes['c'], 4, b'stale')
    line.flush()
    assert versions(line) == [5, 5, 5]


def test_a_late_relay_reverts_nothing(line):
    line.paused = {'c'}
    change(line.nodes['a'], 5)
    line.flush()
    line.paused = set()
    change(line.nodes['a'], 6)
    line.flush()
    line.waiting = line.held
    line.run()
    assert versions(line) == [6, 6, 6]


def test_a_comparison_goes_round_a_paused_relay(line, clock):
    line.paused = {'b'}
    change(line.nodes['a'], 5)
    line.flush()
    assert versions(line) == [5, 0, 0]
    repair(line, clock)
    assert versions(line) == [5, 0, 5]


def test_a_restarted_daemon_takes_the_records_of_others(line, clock):
    change(line.nodes['a'], 5)
    line.flush()
    node = networks.Node(line, 'c', clock)
    node.replicator.set_sync_peers({'a'})
    node.replicator.catch_up()
    line.run()
    assert node.version() == 5


def test_a_store_restored_to_an_old_state_reverts_nothing(line, clock):
    change(line.nodes['a'], 9)
    line.flush()
    for node in line.nodes.values():
        change(node, 3, b'restored')
    repair(line, clock)
    assert versions(line) == [9, 9, 9]


def test_both_sides_of_a_cut_agree_when_it_heals(line, clock):
    line.cut = {frozenset('ab'), frozenset('ac')}
    for address, value in (('a', b'one'), ('c', b'two')):
        line.nodes[address].table.put('process/x', value)
    line.flush()
    line.cut = set()
    repair(line, clock)
    held = {node.table.get('process/x').value for node in line.nodes.values()}
    assert held == {b'two'}


def test_what_changed_a_moment_ago_is_not_repaired(line, clock):
    clock.now += 10
    change(line.nodes['a'], 5)
    line.nodes['b'].replicator.set_sync_peers({'a'})
    line.nodes['b'].replicator.compare()
    line.run()
    assert versions(line) == [5, 0, 0]


def test_equal_records_cost_one_message(line, clock):
    change(line.nodes['a'], 5)
    line.flush()
    clock.now += 10
    posted = []
    line.post = lambda *args: posted.append(args)
    line.nodes['b'].replicator.compare()
    ((_, receiver, compare),) = posted
    posted.clear()
    line.nodes[receiver].replicator.handle(compare)
    assert not posted


def test_an_acknowledgement_goes_back_through_the_helper(line):
    heard = []
    line.nodes['a'].replicator.set_ack_listener(heard.append)
    line.cut = {frozenset('ac')}
    line.nodes['a'].post(links.PingRequest('a', 'c'), 'b')
    line.run()
    assert [ack.target for ack in heard] == ['c']


def test_many_records_go_in_few_messages(line):
    node = line.nodes['a']
    for number in range(1200):
        node.table.put(f'server/{number}', b'x' * 50)
    posted = []
    line.post = lambda *args: posted.append(args)
    node.replicator.flush()
    assert len(posted) == 3


def test_a_new_neighbour_gets_what_its_dead_relay_did_not_pass_on(line):
    line.paused = {'b'}
    change(line.nodes['a'], 5)
    line.flush()
    # The tree without b joins a and c.
    line.nodes['a'].replicator.set_relay_peers({'c'})
    line.run()
    assert line.nodes['c'].version() == 5


@pytest.mark.parametrize(
    'message',
    [
        links.Compare('a', b'abc'),
        links.Compare('a', b'x' * 4096),
        links.Digest('a', [-1, 7000], {}),
        links.Digest('a', [3], {'no such key': (9, 9)}),
        links.Ack('a', 'no address'),
    ],
)
def test_a_message_of_another_release_is_harmless(line, message):
    change(line.nodes['b'], 5)
    line.nodes['b'].replicator.handle(message)
    line.run()
    assert line.nodes['b'].version() == 5
