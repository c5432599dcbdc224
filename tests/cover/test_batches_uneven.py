"""Plays training steps on engines of uneven speed, without a network."""

import random

import pytest

from swiftjunction import batches
from swiftjunction.batches import _engines
from swiftjunction.batches import _migration
from tests.cover import test_batches_planning as planning

TICK_SECONDS = 0.05
FAST_SECONDS = 0.031
SLOW_SECONDS = 0.075
# Of each engine, in seconds an event: a third is slow.
SPEEDS = [FAST_SECONDS, FAST_SECONDS, SLOW_SECONDS] * 4
SLOTS = 6
GROUPS = 8
SAMPLES_PER_GROUP = 8


def draw_lengths(rng):
    """Return the events of each sample: most short, a few very long."""
    return [
        min(
            rng.lognormvariate(2.6, 0.85) * (5 if rng.random() < 0.08 else 1),
            138.0,
        )
        for _ in range(GROUPS * SAMPLES_PER_GROUP)
    ]


class StepPlay:
    """One step of samples, whose trainer's estimates of length are poor."""

    def __init__(self, seed):
        rng = random.Random(seed)
        self.lengths = draw_lengths(rng)
        self.batch = planning.make_open_batch(
            [
                planning.make_sample(
                    f'i{n}',
                    f'g{n // SAMPLES_PER_GROUP}',
                    length * rng.lognormvariate(0, 0.5),
                )
                for n, length in enumerate(self.lengths)
            ],
            wanted_groups=GROUPS,
        )
        self.pool = planning.EnginePool(len(SPEEDS), slots=SLOTS)
        self.seconds = {f'e{n}': s for n, s in enumerate(SPEEDS)}
        self.selector = batches.EngineSelector()
        self.slow = _engines.SlowEngines()
        self.slots = {}
        self.done = dict.fromkeys(self.batch.pending, 0.0)
        self.migrations = 0

    def play(self):
        """Return when the step's last sample ends, in seconds."""
        now = 1.0
        while self.batch.pending:
            now += TICK_SECONDS
            self.pool.clock.now = now
            for name, seconds in self.seconds.items():
                self.pool.get_engine(name).server.record_latency(seconds)
            self._generate()
            self._dispatch(now)
            if int(now / TICK_SECONDS) % 5 == 0:
                self._migrate(now)
        return now - 1.0

    def find_best(self):
        """Return a lower bound of the time that any placement takes."""
        rate = SLOTS * sum(1 / seconds for seconds in SPEEDS)
        return max(max(self.lengths) * FAST_SECONDS, sum(self.lengths) / rate)

    def _generate(self):
        for progress in list(self.batch.pending.values()):
            if not progress.running:
                continue
            name = progress.sample.sample_id
            self.done[name] += TICK_SECONDS / self.seconds[progress.engine]
            progress.last_number = int(self.done[name])
            if self.done[name] >= self.lengths[int(name[1:])]:
                self._end_attempt(progress)
                del self.batch.pending[name]

    def _end_attempt(self, progress):
        self.slots.pop(progress.sample.sample_id).__exit__(None, None, None)
        progress.running = False
        progress.engine = ''

    def _dispatch(self, now):
        engines = self.pool.list_engines()
        for waiting in batches.prioritize_samples([self.batch]):
            engine = self.selector.select(waiting, engines, now)
            if engine is None:
                return
            _, progress = waiting
            slot = engine.reserve_slot(progress.sample.expected_tokens)
            slot.__enter__()
            self.slots[progress.sample.sample_id] = slot
            progress.running = True
            progress.engine = engine.server.name
            progress.started_at = now

    def _migrate(self, now):
        engines = self.pool.list_engines()
        for progress in _migration.select_migrations(
            [self.batch], engines, now, self.slow.update(engines, now)
        ):
            self.migrations += 1
            progress.migrations += 1
            self._end_attempt(progress)


@pytest.mark.anyio
async def test_steps_take_no_longer_than_a_good_placement_together():
    plays = [StepPlay(seed) for seed in range(20)]
    taken = sum(play.play() for play in plays)
    assert taken <= 1.15 * sum(play.find_best() for play in plays)


@pytest.mark.anyio
async def test_few_samples_migrate_that_no_step_waits_for():
    # Each migration costs a connection and a prompt processed again. The
    # target is that fewer than 150 of 2,416 samples migrate.
    plays = [StepPlay(seed) for seed in range(20)]
    for play in plays:
        play.play()
    migrations = sum(play.migrations for play in plays)
    samples = len(plays) * GROUPS * SAMPLES_PER_GROUP
    assert migrations < samples * 150 / 2416


@pytest.mark.anyio
async def test_samples_stay_on_an_engine_that_is_slow_for_a_moment():
    pool = planning.EnginePool(3)
    slow = _engines.SlowEngines()
    for name in ('e0', 'e1', 'e2'):
        pool.get_engine(name).server.record_latency(0.1)
    engines = pool.list_engines()
    assert slow.update(engines, 0.0) == set()
    pool.get_engine('e0').server.record_latency(9.0)
    assert slow.update(engines, 1.0) == set()
    assert slow.update(engines, 1.0 + _engines.MIN_SLOW_SECONDS) == {'e0'}
