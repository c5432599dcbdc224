import random

import pytest

from swiftjunction import links
from swiftjunction import membership

KEY = 'config/fit'


class Node(links.Carrier):
    """A daemon's records on a network that the test switches."""

    def __init__(self, network, address, clock, seed=0):
        self.address = address
        self.network = network
        self.table = membership.RecordTable(clock)
        self.exchange = membership.Exchange(
            self, self.table, random.Random(f'{seed} {address}')
        )
        network.nodes[address] = self

    def post(self, message, address):
        self.network.post(self.address, address, message)

    def version(self, key=KEY):
        held = self.table.get(key)
        return held.version if held else 0


class Network:
    """Delivers messages in turn, but for what is cut or held back."""

    def __init__(self):
        self.nodes = {}
        self.waiting = []
        self.cut = set()
        self.held = []
        self.paused = set()

    def post(self, sender, receiver, message):
        # As on the wire, so that nothing is shared between nodes.
        data = links.encode_message(message)
        if frozenset((sender, receiver)) not in self.cut:
            self.waiting.append((receiver, data))

    def run(self):
        while self.waiting:
            receiver, data = self.waiting.pop(0)
            if receiver in self.paused:
                self.held.append((receiver, data))
            elif receiver in self.nodes:
                self.nodes[receiver].exchange.handle(
                    links.decode_message(data)
                )

    def flush(self):
        for _ in range(10):
            for node in self.nodes.values():
                node.exchange.flush()
            self.run()


@pytest.fixture
def line(clock):
    """Three daemons, the middle one relaying."""
    network = Network()
    for address in 'abc':
        Node(network, address, clock)
    for address, peers in (('a', 'b'), ('b', 'ac'), ('c', 'b')):
        network.nodes[address].exchange.set_peers(set(peers))
        network.nodes[address].exchange.set_contacts(set('abc'))
    return network


def change(node, version, value=b'v'):
    node.table.apply([links.Record(KEY, version, value)])


def versions(network):
    return [node.version() for node in network.nodes.values()]


def repair(network, clock, rounds=12):
    for _ in range(rounds):
        clock.now += 2
        for node in network.nodes.values():
            node.exchange.compare()
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
    node = Node(line, 'c', clock)
    node.exchange.set_contacts({'a'})
    node.exchange.catch_up()
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
    line.nodes['b'].exchange.set_contacts({'a'})
    line.nodes['b'].exchange.compare()
    line.run()
    assert versions(line) == [5, 0, 0]


def test_equal_records_cost_one_message(line, clock):
    change(line.nodes['a'], 5)
    line.flush()
    clock.now += 10
    posted = []
    line.post = lambda *args: posted.append(args)
    line.nodes['b'].exchange.compare()
    ((_, receiver, compare),) = posted
    posted.clear()
    line.nodes[receiver].exchange.handle(compare)
    assert not posted


def test_an_acknowledgement_goes_back_through_the_helper(line):
    heard = []
    line.nodes['a'].exchange.listen_acks(heard.append)
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
    node.exchange.flush()
    assert len(posted) == 3
