"""Random experiments: everything together, with seeded faults."""

import numpy

from bench import plan

FIRST_SECONDS = 3.0
QUIET_SECONDS = 8.0
MEAN_GAP_SECONDS = 4.0

# Of each kind of stand-in: fault, value, and how long it stays.
ENGINE_FAULTS = (
    ('crashed', 2.0, 0.0),
    ('break_streams', 3.0, 0.0),
    ('refuse', 1.0, 3.0),
    ('slow_factor', 8.0, 4.0),
    ('fail_orders', 2.0, 0.0),
    ('ignore_orders', 1.0, 0.0),
    ('fail_swaps', 1.0, 0.0),
    ('false_load', 0.01, 5.0),
    ('load_lag_seconds', 2.0, 5.0),
    ('cache_lag_seconds', 2.0, 5.0),
    ('cache_gaps', 3.0, 0.0),
    ('leaving', 1.0, 7.0),
)
SERVICE_FAULTS = (
    ('crashed', 2.0, 0.0),
    ('slow_seconds', 0.5, 4.0),
    ('refuse', 1.0, 3.0),
    ('break_after_run', 3.0, 0.0),
    ('leaving', 1.0, 7.0),
)
PLATFORM_FAULTS = (
    ('objects', 'outage', 1.0, 6.0),
    ('objects', 'slow_seconds', 0.5, 5.0),
    ('objects', 'lose_answers', 3.0, 0.0),
    ('objects', 'refuse_writes', 3.0, 0.0),
    ('objects', 'stale_reads', 3.0, 4.0),
    ('vms', 'outage', 1.0, 5.0),
    ('vms', 'lag_seconds', 4.0, 8.0),
    ('weights', 'outage', 1.0, 4.0),
    ('weights', 'slow_seconds', 0.5, 5.0),
)
PROCESS_FAULTS = (
    ('kill', 2.0),
    ('pause', 4.0),
    ('terminate', 1.0),
)
ENGINES = 5
SERVERS = {'association': ('ledger', 4), 'tallamedida': ('sizing', 3)}


def make_experiment(seed: int, seconds: float) -> plan.Experiment:
    """Return the random experiment of `seed`."""
    rng = numpy.random.default_rng([seed, 4])
    deployment = str(rng.choice(sorted(SERVERS)))
    faults: list[plan.Fault] = []
    at = FIRST_SECONDS
    while at < seconds - QUIET_SECONDS:
        # A third of the time a second fault comes within the first.
        for _ in range(2 if rng.random() < 1 / 3 else 1):
            at_seconds = round(at + float(rng.uniform(0, 0.5)), 2)
            faults.append(_choose_fault(rng, deployment, at_seconds))
        at += float(rng.exponential(MEAN_GAP_SECONDS))
    return plan.Experiment(
        name=f'soak-{seed}',
        deployment=deployment,
        seconds=seconds,
        publish_every_seconds=float(rng.choice([3.0, 6.0, 12.0])),
        configure_every_seconds=2.0,
        faults=tuple(faults),
    )


def _choose_fault(
    rng: numpy.random.Generator, deployment: str, at_seconds: float
) -> plan.Fault:
    group = rng.choice(
        ['engine', 'service', 'platform', 'process', 'operator'],
        p=[0.28, 0.2, 0.22, 0.22, 0.08],
    )
    if group == 'engine':
        target = f'engine-{rng.integers(1, ENGINES + 1)}'
        kind, value, stays = _choose(rng, ENGINE_FAULTS)
        return plan.Fault(at_seconds, target, kind, value, stays)
    if group == 'service':
        service, count = SERVERS[deployment]
        target = f'{service}-{rng.integers(1, count + 1)}'
        kind, value, stays = _choose(rng, SERVICE_FAULTS)
        return plan.Fault(at_seconds, target, kind, value, stays)
    if group == 'platform':
        target, kind, value, stays = _choose(rng, PLATFORM_FAULTS)
        return plan.Fault(at_seconds, target, kind, value, stays)
    if group == 'operator':
        return plan.Fault(at_seconds, 'operators', 'race', 4)
    vm = f'entry-{rng.integers(1, 9)}'
    part = str(rng.choice(['', '/conductor', '/entry', '/rollout']))
    kind, value = _choose(rng, PROCESS_FAULTS)
    return plan.Fault(at_seconds, vm + part, kind, value)


def _choose(rng: numpy.random.Generator, table: tuple) -> tuple:
    return table[int(rng.integers(len(table)))]
