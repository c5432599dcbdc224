"""Replicated records on a simulated network, without sockets."""

import random

from swiftjunction import links
from swiftjunction import membership

KEY = 'config/fit'


class Node(links.MessageTransport):
    """The record table and replicator of one daemon."""

    def __init__(self, network, address, clock, seed=0):
        self.address = address
        self.network = network
        self.table = membership.RecordTable(clock)
        self.replicator = membership.Replicator(
            self, self.table, random.Random(f'{seed} {address}'), clock
        )
        network.nodes[address] = self

    def post(self, message, address):
        self.network.post(self.address, address, message)

    def get_version(self, key=KEY):
        current = self.table.get(key)
        return current.version if current else 0


class Network:
    """Delivers messages in order.

    Attributes
    ----------
    queue : list of tuple
        The receiver and the data of each message in transit.
    blocked_links : set of frozenset
        Pairs of addresses; messages between them are lost.
    paused : set of str
        Addresses whose messages are moved to `delayed`.
    delayed : list of tuple
        The messages to paused daemons.
    """

    def __init__(self):
        self.nodes = {}
        self.queue = []
        self.blocked_links = set()
        self.delayed = []
        self.paused = set()

    def post(self, sender, receiver, message):
        # Encoded, so that nodes share no objects.
        data = links.encode_message(message)
        if frozenset((sender, receiver)) not in self.blocked_links:
            self.queue.append((receiver, data))

    def deliver_all(self):
        while self.queue:
            receiver, data = self.queue.pop(0)
            if receiver in self.paused:
                self.delayed.append((receiver, data))
            elif receiver in self.nodes:
                self.nodes[receiver].replicator.handle(
                    links.decode_message(data)
                )

    def flush(self):
        for _ in range(10):
            for node in self.nodes.values():
                node.replicator.flush()
            self.deliver_all()
