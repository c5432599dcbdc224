"""A stand-in for a trainer, which verifies the samples it receives."""

import collections
import collections.abc

import anyio
import msgspec

from swiftjunction import client
from swiftjunction.standins import _texts

# A published version must be known to every process within this time.
VERSION_PROPAGATION_SECONDS = 1.0


class TrainerStats(msgspec.Struct):
    """What a trainer received.

    Attributes
    ----------
    samples : int
        Samples received, each counted once.
    duplicates : int
        Samples received again.
    lost : int
        Samples that were not received.
    stale : int
        Samples with an older version than the step allows.
    cut_off : int
        Samples whose text is not the expected one.
    unnamed : int
        Samples without segments, or with a segment that names no version.
    idle_seconds : float
        Total duration of the steps in seconds, each from its submission to
        its last sample.
    staleness : Counter
        Number of samples by how many versions their oldest segment was
        behind the newest one.
    """

    samples: int = 0
    duplicates: int = 0
    lost: int = 0
    stale: int = 0
    cut_off: int = 0
    unnamed: int = 0
    idle_seconds: float = 0.0
    staleness: collections.Counter[int] = msgspec.field(
        default_factory=collections.Counter
    )


class TrainerStandin:
    """Runs steps and verifies each sample.

    Parameters
    ----------
    trainer : TrainerClient
        Client with which it submits steps.
    find_newest_version : callable
        Returns the version that was the newest one the given number of
        seconds ago, according to its publisher.

    Attributes
    ----------
    stats : TrainerStats
        Counts of the samples received so far.
    """

    def __init__(
        self,
        trainer: client.TrainerClient,
        find_newest_version: collections.abc.Callable[[float], int],
    ) -> None:
        self.stats = TrainerStats()
        self._trainer = trainer
        self._find_newest_version = find_newest_version

    async def run_step(
        self,
        step: str,
        path: str,
        groups: list[dict],
        *,
        scorer: str = '',
        max_versions_behind: int = 1,
    ) -> None:
        """Submit a step and fetch all of its samples.

        Parameters
        ----------
        step : str
            Identifies the step.
        path : str
            Path of the model.
        groups : list of dict
            Groups with ``prompt``, ``samples`` and ``max_tokens``.
        scorer : str
            Path of the scorer; no samples are scored if it is empty.
        max_versions_behind : int
            Samples that are further behind count as stale.
        """
        started_at = anyio.current_time()
        expected = [
            (group['prompt'], group['max_tokens'])
            for group in groups
            for _ in range(group['samples'])
        ]
        receipts: collections.Counter[int] = collections.Counter()
        async for sample in self._trainer.run_step(
            step, path, groups, scorer=scorer
        ):
            receipts[sample.index] += 1
            self._check_sample(
                sample, expected[sample.index], max_versions_behind
            )
        self.stats.samples += len(receipts)
        self.stats.duplicates += sum(receipts.values()) - len(receipts)
        self.stats.lost += len(expected) - len(receipts)
        self.stats.idle_seconds += anyio.current_time() - started_at

    def _check_sample(
        self,
        sample: client.DeliveredSample,
        expected: tuple[str, int],
        max_versions_behind: int,
    ) -> None:
        prompt, max_tokens = expected
        if sample.text != _texts.make_completion_text(
            prompt, sample.index, max_tokens
        ):
            self.stats.cut_off += 1
        versions = [segment[0] for segment in sample.segments]
        if not versions or min(versions) <= 0:
            self.stats.unnamed += 1
            return
        versions_behind = self._find_newest_version(0.0) - min(versions)
        self.stats.staleness[versions_behind] += 1
        # Ignore versions so new that a process may not know them yet.
        known_version = self._find_newest_version(VERSION_PROPAGATION_SECONDS)
        if known_version - min(versions) > max_versions_behind:
            self.stats.stale += 1
