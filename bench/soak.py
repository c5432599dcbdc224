"""Random experiments with all workloads and seeded random faults."""

import numpy

from bench import experiment_file

FIRST_FAULT_SECONDS = 3.0
# Leaves faults time to end before the load does.
FAULT_FREE_END_SECONDS = 8.0
MEAN_FAULT_GAP_SECONDS = 4.0

# Faults of stand-ins: kind, value and duration in seconds, where 0 leaves the
# fault on. Those of the platform start with the name of the stand-in.
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
# Faults of processes: kind and how many seconds they are down or paused.
PROCESS_FAULTS = (
    ('kill', 2.0),
    ('pause', 4.0),
    ('terminate', 1.0),
)
ENGINE_COUNT = 5
# Plain service of each deployment and its number of servers.
SERVICES = {'association': ('ledger', 4), 'tallamedida': ('sizing', 3)}


def make_experiment(seed: int, seconds: float) -> experiment_file.Experiment:
    """Return a random experiment that depends only on the arguments."""
    rng = numpy.random.default_rng([seed, 4])
    deployment = str(rng.choice(sorted(SERVICES)))
    faults: list[experiment_file.Fault] = []
    next_at_seconds = FIRST_FAULT_SECONDS
    while next_at_seconds < seconds - FAULT_FREE_END_SECONDS:
        # One time in three, a second fault starts within half a second.
        for _ in range(2 if rng.random() < 1 / 3 else 1):
            at_seconds = round(next_at_seconds + float(rng.uniform(0, 0.5)), 2)
            faults.append(_choose_fault(rng, deployment, at_seconds))
        next_at_seconds += float(rng.exponential(MEAN_FAULT_GAP_SECONDS))
    return experiment_file.Experiment(
        name=f'soak-{seed}',
        deployment=deployment,
        seconds=seconds,
        publish_every_seconds=float(rng.choice([3.0, 6.0, 12.0])),
        configure_every_seconds=2.0,
        faults=tuple(faults),
    )


def _choose_fault(
    rng: numpy.random.Generator, deployment: str, at_seconds: float
) -> experiment_file.Fault:
    category = rng.choice(
        ['engine', 'service', 'platform', 'process', 'operator'],
        p=[0.28, 0.2, 0.22, 0.22, 0.08],
    )
    if category == 'engine':
        target = f'engine-{rng.integers(1, ENGINE_COUNT + 1)}'
        kind, value, lasts_seconds = _choose_row(rng, ENGINE_FAULTS)
        return experiment_file.Fault(
            at_seconds, target, kind, value, lasts_seconds
        )
    if category == 'service':
        service, count = SERVICES[deployment]
        target = f'{service}-{rng.integers(1, count + 1)}'
        kind, value, lasts_seconds = _choose_row(rng, SERVICE_FAULTS)
        return experiment_file.Fault(
            at_seconds, target, kind, value, lasts_seconds
        )
    if category == 'platform':
        target, kind, value, lasts_seconds = _choose_row(rng, PLATFORM_FAULTS)
        return experiment_file.Fault(
            at_seconds, target, kind, value, lasts_seconds
        )
    if category == 'operator':
        return experiment_file.Fault(at_seconds, 'operators', 'race', 4)
    vm = f'entry-{rng.integers(1, 9)}'
    daemon_suffix = str(rng.choice(['', '/conductor', '/entry', '/rollout']))
    kind, value = _choose_row(rng, PROCESS_FAULTS)
    return experiment_file.Fault(at_seconds, vm + daemon_suffix, kind, value)


def _choose_row(rng: numpy.random.Generator, table: tuple) -> tuple:
    return table[int(rng.integers(len(table)))]
