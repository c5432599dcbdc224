"""Daemons' records on a network that a test switches, without sockets."""

import random

from swiftjunction import links
from swiftjunction import membership

KEY = 'config/fit'


class Node(links.MessageTransport):
    """A daemon's records on a network that the test switches."""

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
                self.nodes[receiver].replicator.handle(
                    links.decode_message(data)
                )

    def flush(self):
        for _ in range(10):
            for node in self.nodes.values():
                node.replicator.flush()
            self.run()
