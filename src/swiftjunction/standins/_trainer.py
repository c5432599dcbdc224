"""A stand-in for a trainer, which checks what it gets."""

import collections
import collections.abc

import anyio
import msgspec

from swiftjunction import client
from swiftjunction.standins import _texts

# By when a published version must be known to every process.
VERSION_PROPAGATION_SECONDS = 1.0


class TrainerStats(msgspec.Struct):
    """What a trainer received, counted by itself."""

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
    """Runs steps and checks each sample it is given.

    Parameters
    ----------
    trainer : TrainerClient
        Its connection to the system.
    newest_version : callable
        Returns the newest version as it was so many seconds ago, known from
        outside of the system.
    """

    def __init__(
        self,
        trainer: client.TrainerClient,
        newest_version: collections.abc.Callable[[float], int],
    ) -> None:
        self.stats = TrainerStats()
        self._trainer = trainer
        self._newest_version = newest_version

    async def run_step(
        self,
        step: str,
        path: str,
        groups: list[dict],
        *,
        scorer: str = '',
        max_versions_behind: int = 1,
    ) -> None:
        """Submit one step and draw all of it."""
        started = anyio.current_time()
        prompts = [
            (group['prompt'], group['max_tokens'])
            for group in groups
            for _ in range(group['samples'])
        ]
        seen: collections.Counter[int] = collections.Counter()
        async for sample in self._trainer.run_step(
            step, path, groups, scorer=scorer
        ):
            seen[sample.index] += 1
            self._check(sample, prompts[sample.index], max_versions_behind)
        self.stats.samples += len(seen)
        self.stats.duplicates += sum(seen.values()) - len(seen)
        self.stats.lost += len(prompts) - len(seen)
        self.stats.idle_seconds += anyio.current_time() - started

    def _check(
        self,
        sample: client.DeliveredSample,
        asked: tuple[str, int],
        max_versions_behind: int,
    ) -> None:
        prompt, max_tokens = asked
        if sample.text != _texts.make_completion_text(
            prompt, sample.index, max_tokens
        ):
            self.stats.cut_off += 1
        versions = [segment[0] for segment in sample.segments]
        if not versions or min(versions) <= 0:
            self.stats.unnamed += 1
            return
        behind = self._newest_version(0.0) - min(versions)
        self.stats.staleness[behind] += 1
        # A version counts from when it must be known everywhere.
        known = self._newest_version(VERSION_PROPAGATION_SECONDS)
        if known - min(versions) > max_versions_behind:
            self.stats.stale += 1
