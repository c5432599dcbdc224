import pytest

from swiftjunction import links
from tests import network as networks

KEY = networks.KEY


@pytest.fixture
def chain(clock):
    """Three daemons in a chain; the middle one relays."""
    network = networks.Network()
    for address in 'abc':
        networks.Node(network, address, clock)
    for address, relay_peers in (('a', 'b'), ('b', 'ac'), ('c', 'b')):
        network.nodes[address].replicator.set_relay_peers(set(relay_peers))
        network.nodes[address].replicator.set_comparison_peers(set('abc'))
    return network


def apply_version(node, version, value=b'v'):
    node.table.apply([links.Record(KEY, version, value)])


def list_versions(network):
    return [node.get_version() for node in network.nodes.values()]


def synchronise(network, clock, rounds=12):
    for _ in range(rounds):
        clock.now += 2
        for node in network.nodes.values():
            node.replicator.compare()
        network.deliver_all()
        network.flush()


def test_a_change_is_relayed_to_all_daemons(chain):
    apply_version(chain.nodes['a'], 5)
    chain.flush()
    assert list_versions(chain) == [5, 5, 5]


def test_a_stale_read_after_the_change_reverts_nothing(chain):
    apply_version(chain.nodes['a'], 5)
    chain.flush()
    apply_version(chain.nodes['c'], 4, b'stale')
    chain.flush()
    assert list_versions(chain) == [5, 5, 5]


def test_a_delayed_relay_reverts_nothing(chain):
    chain.paused = {'c'}
    apply_version(chain.nodes['a'], 5)
    chain.flush()
    chain.paused = set()
    apply_version(chain.nodes['a'], 6)
    chain.flush()
    chain.queue = chain.delayed
    chain.deliver_all()
    assert list_versions(chain) == [6, 6, 6]


def test_a_comparison_bypasses_a_paused_relay(chain, clock):
    chain.paused = {'b'}
    apply_version(chain.nodes['a'], 5)
    chain.flush()
    assert list_versions(chain) == [5, 0, 0]
    synchronise(chain, clock)
    assert list_versions(chain) == [5, 0, 5]


def test_a_restarted_daemon_gets_the_records_of_others(chain, clock):
    apply_version(chain.nodes['a'], 5)
    chain.flush()
    node = networks.Node(chain, 'c', clock)
    node.replicator.set_comparison_peers({'a'})
    node.replicator.catch_up()
    chain.deliver_all()
    assert node.get_version() == 5


def test_an_object_store_restored_from_a_backup_reverts_nothing(chain, clock):
    apply_version(chain.nodes['a'], 9)
    chain.flush()
    for node in chain.nodes.values():
        apply_version(node, 3, b'restored')
    synchronise(chain, clock)
    assert list_versions(chain) == [9, 9, 9]


def test_both_sides_of_a_partition_converge_when_it_heals(chain, clock):
    chain.blocked_links = {frozenset('ab'), frozenset('ac')}
    for address, value in (('a', b'one'), ('c', b'two')):
        chain.nodes[address].table.put('process/x', value)
    chain.flush()
    chain.blocked_links = set()
    synchronise(chain, clock)
    values = {
        node.table.get('process/x').value for node in chain.nodes.values()
    }
    assert values == {b'two'}


def test_a_recent_change_is_not_repaired_by_a_comparison(chain, clock):
    clock.now += 10
    apply_version(chain.nodes['a'], 5)
    chain.nodes['b'].replicator.set_comparison_peers({'a'})
    chain.nodes['b'].replicator.compare()
    chain.deliver_all()
    assert list_versions(chain) == [5, 0, 0]


def test_comparing_equal_records_takes_one_message(chain, clock):
    apply_version(chain.nodes['a'], 5)
    chain.flush()
    clock.now += 10
    posted = []
    chain.post = lambda *args: posted.append(args)
    chain.nodes['b'].replicator.compare()
    ((_, receiver, compare),) = posted
    posted.clear()
    chain.nodes[receiver].replicator.handle(compare)
    assert not posted


def test_an_acknowledgement_is_forwarded_by_the_helper(chain):
    acks = []
    chain.nodes['a'].replicator.set_ack_listener(acks.append)
    chain.blocked_links = {frozenset('ac')}
    chain.nodes['a'].post(links.PingRequest('a', 'c'), 'b')
    chain.deliver_all()
    assert [ack.target for ack in acks] == ['c']


def test_many_records_are_sent_in_few_messages(chain):
    node = chain.nodes['a']
    for number in range(1200):
        node.table.put(f'server/{number}', b'x' * 50)
    posted = []
    chain.post = lambda *args: posted.append(args)
    node.replicator.flush()
    assert len(posted) == 3


def test_a_new_neighbour_gets_changes_that_its_dead_relay_did_not_send(chain):
    chain.paused = {'b'}
    apply_version(chain.nodes['a'], 5)
    chain.flush()
    # In the relay tree without b, a and c are neighbours.
    chain.nodes['a'].replicator.set_relay_peers({'c'})
    chain.deliver_all()
    assert chain.nodes['c'].get_version() == 5


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
def test_a_message_of_an_incompatible_release_changes_nothing(chain, message):
    apply_version(chain.nodes['b'], 5)
    chain.nodes['b'].replicator.handle(message)
    chain.deliver_all()
    assert chain.nodes['b'].get_version() == 5
