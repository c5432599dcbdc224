"""Racing operators on a platform and a network that fail at random.

Run with ``python -m pytest -s tests/nocover/test_spread_random.py``; the
seed and the number of changes are taken from SEED and CHANGES.
"""

import collections
import os
import random

import anyio
import pytest

from swiftjunction import configuration
from swiftjunction.configuration import _editor
from swiftjunction import errors
from swiftjunction import links
from tests import conftest
from tests import network as networks

SEED = int(os.environ.get('SEED', '1'))
CHANGES = int(os.environ.get('CHANGES', '40000'))
DAEMONS = 12
TEAMS = 8
STEP_SECONDS = 0.05


class Run:
    """One randomised run.

    In each life of a daemon no version of a team's settings ever goes down;
    each change that an operator was told is accepted is in the history, none
    that was refused is; in the end all daemons have the newest settings.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = conftest.Clock()
        self.store = conftest.MemoryStore()
        self.old_stores = collections.deque(maxlen=50)
        self.network = networks.Network()
        self.counts = collections.Counter()
        self.outcomes = {}
        self.outage = False
        self.addresses = [f'd{n}' for n in range(DAEMONS)]
        for address in self.addresses:
            self.start(address)

    def start(self, address):
        node = networks.Node(self.network, address, self.clock)
        place = self.addresses.index(address)
        near = {(place - 1) // 3, *range(3 * place + 1, 3 * place + 4)}
        node.replicator.set_relay_peers(
            {f'd{n}' for n in near if 0 <= n < DAEMONS and place + n > 0}
        )
        node.replicator.set_sync_peers(set(self.addresses))
        in_force = {}

        def check(record):
            assert record.version > in_force.get(record.key, 0), 'reverted'
            in_force[record.key] = record.version
            self.counts['in force'] += 1

        node.table.listen('config/', check)
        node.replicator.catch_up()

    async def change(self):
        """Two operators change what both have seen."""
        team = f'team-{self.rng.randrange(TEAMS)}'
        editor = configuration.Editor(self.store)
        self.store.faults = []
        subtree, version = await editor.read(team)
        for operator in range(self.rng.choice([1, 1, 1, 2])):
            self.store.faults = self.choose_faults()
            await self.change_once(
                editor, team, version, subtree.revision, operator
            )
        self.store.faults = []

    def choose_faults(self):
        if self.outage:
            return ['refuse'] * 40
        return self.rng.choices(
            ['ok', 'lose', 'refuse'], [20, 2, 1], k=self.rng.randrange(12)
        )

    async def change_once(self, editor, team, version, revision, operator):
        self.counts['changes'] += 1
        nonce = f'{self.counts["changes"]}'
        try:
            await editor.apply(
                team,
                {team: configuration.PathSettings(model=nonce)},
                author=f'operator-{operator}',
                version=version,
                revision=revision,
                nonce=nonce,
            )
            outcome = 'accepted'
        except errors.WriteUncertain:
            outcome = 'unknown'
        except errors.PlatformError:
            outcome = 'refused'
        self.counts[outcome] += 1
        self.outcomes[team, nonce] = outcome

    def read_platform(self):
        """A watcher reads, perhaps what was there some time ago."""
        if self.outage:
            return
        self.old_stores.append(dict(self.store.objects))
        objects = self.store.objects
        if self.rng.random() < 0.1:
            objects = self.rng.choice(self.old_stores)
            self.counts['stale reads'] += 1
        node = self.network.nodes[self.rng.choice(self.addresses[:4])]
        node.table.apply(
            links.Record(found.key, found.version, found.value)
            for found in objects.values()
            if found.key.startswith('config/')
        )

    def deliver(self):
        """Deliver some of the waiting messages, in any order."""
        waiting = self.network.waiting
        self.rng.shuffle(waiting)
        late = waiting[: len(waiting) // 10]
        lost = {n for n in range(len(waiting)) if self.rng.random() < 0.02}
        self.counts['lost messages'] += len(lost)
        self.network.waiting = [
            found
            for n, found in enumerate(waiting)
            if n >= len(late) and n not in lost
        ]
        self.counts['messages'] += len(self.network.waiting)
        self.network.run()
        self.network.waiting += late

    def disturb(self):
        """Begin or end a fault."""
        kinds = ['cut', 'pause', 'outage', 'restart', 'heal', 'heal', 'heal']
        kind = self.rng.choice(kinds)
        self.counts[kind] += 1
        if kind == 'cut':
            side = self.rng.sample(self.addresses, DAEMONS // 2)
            self.network.cut = {
                frozenset((a, b))
                for a in side
                for b in self.addresses
                if b not in side
            }
        elif kind == 'pause':
            self.network.paused.add(self.rng.choice(self.addresses))
        elif kind == 'outage':
            self.outage = not self.outage
        elif kind == 'restart':
            self.start(self.rng.choice(self.addresses))
        else:
            self.heal()

    def heal(self):
        """End all faults; what was held back comes now, late."""
        self.network.cut = set()
        self.network.paused = set()
        self.outage = False
        self.network.waiting += self.network.held
        self.network.held = []

    async def step(self):
        self.clock.now += STEP_SECONDS
        await self.change()
        if self.rng.random() < 0.3:
            self.read_platform()
        for address in self.rng.sample(self.addresses, 3):
            if address not in self.network.paused:
                self.network.nodes[address].replicator.flush()
        if self.rng.random() < 0.1:
            address = self.rng.choice(self.addresses)
            self.network.nodes[address].replicator.compare()
        self.deliver()
        if self.rng.random() < 0.05:
            self.disturb()

    async def finish(self):
        """Let the daemons come to rest, and check where they are."""
        self.heal()
        self.store.faults = []
        for node in self.network.nodes.values():
            self.read_platform()
        for _ in range(60):
            self.clock.now += 2
            for node in self.network.nodes.values():
                node.replicator.compare()
                node.replicator.flush()
            self.network.run()
        for node in self.network.nodes.values():
            for key, found in self.store.objects.items():
                if key.startswith('config/'):
                    assert node.version(key) == found.version
        await self.check_history()

    async def check_history(self):
        editor = configuration.Editor(self.store)
        made = collections.Counter()
        for number in range(TEAMS):
            team = f'team-{number}'
            newest, _ = await editor.read(team)
            for revision in range(1, newest.revision + 1):
                old = await editor.read_revision(team, revision)
                made[team, old.nonce] += 1
        assert set(made.values()) == {1}
        for change, outcome in self.outcomes.items():
            if outcome != 'unknown':
                assert (outcome == 'accepted') == (change in made)


async def run_all(seed, changes):
    run = Run(seed)
    while run.counts['changes'] < changes:
        await run.step()
    await run.finish()
    return run.counts


def test_nothing_reverts_and_no_outcome_is_a_lie(monkeypatch):
    monkeypatch.setattr(_editor, 'FIRST_RETRY_DELAY_SECONDS', 0.0)
    counts = anyio.run(run_all, SEED, CHANGES)
    print(f'seed {SEED}: {dict(counts)}')
    assert counts['changes'] >= CHANGES
    assert counts['accepted'] > CHANGES / 4


@pytest.mark.parametrize('seed', range(2, 6))
def test_short_runs_of_other_seeds(monkeypatch, seed):
    monkeypatch.setattr(_editor, 'FIRST_RETRY_DELAY_SECONDS', 0.0)
    counts = anyio.run(run_all, seed, min(CHANGES, 2000))
    assert counts['accepted']
