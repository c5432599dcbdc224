"""Trainers that draw one step after the other."""

import time

import anyio
import numpy

from bench import plan
from bench import results
from bench import versions
from swiftjunction import client
from swiftjunction import errors
from swiftjunction import standins

FINISH_SECONDS = 45.0
PROMISES = (
    ('samples once: no duplicate', 'duplicates'),
    ('samples once: none lost', 'lost'),
    ('samples within the bound', 'stale'),
    ('samples whole', 'cut_off'),
    ('samples name their versions', 'unnamed'),
)


class Trainers:
    """Runs the trainers of an experiment."""

    def __init__(
        self,
        experiment: plan.Experiment,
        seed: int,
        seeds: list[str],
        recorder: results.Recorder,
        published: versions.Published,
        started: float,
    ) -> None:
        self._experiment = experiment
        self._seed = seed
        self._seeds = seeds
        self._recorder = recorder
        self._published = published
        self._started = started

    async def run(self) -> None:
        """Train until the time is over, and finish the open steps."""
        async with anyio.create_task_group() as tasks:
            for number in range(self._experiment.training.trainers):
                tasks.start_soon(self._train, number)

    async def _train(self, number: int) -> None:
        rng = numpy.random.default_rng([self._seed, 2, number])
        end = self._started + self._experiment.seconds
        name = f'trainer-{number + 1}'
        order = [str(a) for a in rng.permutation(self._seeds)]
        async with client.TrainerClient(name, order) as trainer:
            step = 0
            while time.monotonic() < end:
                step += 1
                await self._run_step(trainer, rng, f'{name}-step-{step}')

    async def _run_step(
        self,
        trainer: client.TrainerClient,
        rng: numpy.random.Generator,
        step: str,
    ) -> None:
        training = self._experiment.training
        lengths = rng.integers(8, training.tokens_max, training.groups)
        groups = [
            {
                'prompt': f'{step} group {number}',
                'samples': training.samples_per_group,
                'max_tokens': int(length),
            }
            for number, length in enumerate(lengths)
        ]
        standin = standins.TrainerStandin(trainer, self._published.newest)
        began = time.monotonic()
        left = self._started + self._experiment.seconds - began
        note = self._recorder.promises['steps come to their end']
        try:
            with anyio.fail_after(left + FINISH_SECONDS):
                await standin.run_step(
                    step,
                    f'{self._experiment.deployment}/samples',
                    groups,
                    scorer=f'{self._experiment.deployment}/scorer',
                    max_versions_behind=self._experiment.freshness_versions,
                )
        except TimeoutError:
            note.note(False, f'{step} did not end')
            return
        except errors.SwiftjunctionError as error:
            note.note(False, f'{step}: {error}')
            return
        note.note(True)
        self._record(step, standin.stats, began)

    def _record(
        self, step: str, stats: standins.TrainerStats, began: float
    ) -> None:
        recorder = self._recorder
        recorder.steps += 1
        recorder.samples += stats.samples
        recorder.idle_seconds.append(round(stats.idle_seconds, 3))
        recorder.staleness['samples'].update(stats.staleness)
        recorder.note_call(
            began - self._started, 'step', stats.idle_seconds, 'complete'
        )
        for promise, field in PROMISES:
            found = getattr(stats, field)
            held = recorder.promises[promise]
            held.tried += stats.samples
            held.violations += found
            if found:
                at = time.monotonic() - self._started
                held.examples = [
                    *held.examples,
                    f'{step}: {found} {field} at {at:.1f} s',
                ][: results.MAX_EXAMPLES]
