"""Load of trainers, each of which runs one step after the other."""

import time

import anyio
import numpy

from bench import experiment_file
from bench import results
from bench import versions
from swiftjunction import client
from swiftjunction import errors
from swiftjunction import standins

# Time that steps have to finish after the load has ended.
FINISH_TIMEOUT_SECONDS = 45.0
# Invariants and the fields of TrainerStats that count their violations.
INVARIANTS = (
    ('samples once: no duplicate', 'duplicates'),
    ('samples once: none lost', 'lost'),
    ('samples within the bound', 'stale'),
    ('samples whole', 'cut_off'),
    ('samples name their versions', 'unnamed'),
)


class TrainerWorkload:
    """Runs the trainers of an experiment and records their samples."""

    def __init__(
        self,
        experiment: experiment_file.Experiment,
        seed: int,
        seed_addresses: list[str],
        recorder: results.Recorder,
        publication_log: versions.PublicationLog,
        load_started_at: float,
    ) -> None:
        self._experiment = experiment
        self._seed = seed
        self._seed_addresses = seed_addresses
        self._recorder = recorder
        self._publication_log = publication_log
        self._load_started_at = load_started_at

    async def run(self) -> None:
        """Run steps for the experiment's duration and finish the last ones."""
        async with anyio.create_task_group() as tasks:
            for number in range(self._experiment.training.trainers):
                tasks.start_soon(self._train, number)

    async def _train(self, number: int) -> None:
        rng = numpy.random.default_rng([self._seed, 2, number])
        ends_at = self._load_started_at + self._experiment.seconds
        name = f'trainer-{number + 1}'
        addresses = [str(a) for a in rng.permutation(self._seed_addresses)]
        async with client.TrainerClient(name, addresses) as trainer:
            step = 0
            while time.monotonic() < ends_at:
                step += 1
                await self._run_step(trainer, rng, f'{name}-step-{step}')

    async def _run_step(
        self,
        trainer: client.TrainerClient,
        rng: numpy.random.Generator,
        step: str,
    ) -> None:
        training = self._experiment.training
        token_limits = rng.integers(8, training.tokens_max, training.groups)
        groups = [
            {
                'prompt': f'{step} group {number}',
                'samples': training.samples_per_group,
                'max_tokens': int(token_limit),
            }
            for number, token_limit in enumerate(token_limits)
        ]
        standin = standins.TrainerStandin(
            trainer, self._publication_log.find_newest
        )
        started_at = time.monotonic()
        remaining_seconds = (
            self._load_started_at + self._experiment.seconds - started_at
        )
        invariant = self._recorder.invariants['steps come to their end']
        try:
            with anyio.fail_after(remaining_seconds + FINISH_TIMEOUT_SECONDS):
                await standin.run_step(
                    step,
                    f'{self._experiment.deployment}/samples',
                    groups,
                    scorer=f'{self._experiment.deployment}/scorer',
                    max_versions_behind=self._experiment.freshness_versions,
                )
        except TimeoutError:
            invariant.record(False, f'{step} did not end')
            return
        except errors.SwiftjunctionError as error:
            invariant.record(False, f'{step}: {error}')
            return
        invariant.record(True)
        self._record_step(step, standin.stats, started_at)

    def _record_step(
        self, step: str, stats: standins.TrainerStats, started_at: float
    ) -> None:
        recorder = self._recorder
        recorder.steps += 1
        recorder.samples += stats.samples
        recorder.idle_seconds.append(round(stats.idle_seconds, 3))
        recorder.staleness['samples'].update(stats.staleness)
        recorder.record_call(
            started_at - self._load_started_at,
            'step',
            stats.idle_seconds,
            'complete',
        )
        for name, field in INVARIANTS:
            violations = getattr(stats, field)
            invariant = recorder.invariants[name]
            invariant.cases += stats.samples
            invariant.violations += violations
            if violations:
                elapsed_seconds = time.monotonic() - self._load_started_at
                invariant.examples = [
                    *invariant.examples,
                    f'{step}: {violations} {field} at {elapsed_seconds:.1f} s',
                ][: results.MAX_EXAMPLES]
