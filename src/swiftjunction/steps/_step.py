"""A step and its samples."""

import collections.abc
import typing

import msgspec

from swiftjunction import errors
from swiftjunction import requests

Name = typing.Annotated[
    str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9.-]*$', max_length=100)
]
Positive = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]

MAX_SAMPLES = 100_000


class Group(msgspec.Struct, frozen=True):
    """Samples that share a prompt."""

    prompt: str
    samples: Positive = 1
    max_tokens: Positive = 16


class StepSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a trainer asks for.

    Attributes
    ----------
    path : str
        The path whose model makes the samples.
    scorer : str
        The path of the service that scores them; empty for none.
    freshness_versions, freshness_seconds
        A bound for this step, where it differs from the path's.
    """

    trainer: Name
    step: Name
    path: str
    groups: list[Group]
    deadline_seconds: typing.Annotated[float, msgspec.Meta(gt=0, le=86400)] = (
        780.0
    )
    scorer: str = ''
    freshness_versions: int | None = None
    freshness_seconds: float | None = None

    @property
    def step_id(self) -> str:
        """Return the name of the step among all trainers' steps."""
        return f'{self.trainer}.{self.step}'

    def count_samples(self) -> int:
        """Return how many samples the step has."""
        return sum(group.samples for group in self.groups)

    def validate(self) -> None:
        """Raise ``RequestInvalid`` if the step is too large to be kept."""
        count = self.count_samples()
        if count > MAX_SAMPLES:
            raise errors.RequestInvalid(
                f'{count} samples: a step has at most {MAX_SAMPLES}',
                step='submit',
            )

    def iter_tasks(self) -> collections.abc.Iterator['SampleTask']:
        """Yield one task for each sample, in order of their indices."""
        index = 0
        for group_index, group in enumerate(self.groups):
            for _ in range(group.samples):
                yield SampleTask(index, group_index, group)
                index += 1


class SampleTask(msgspec.Struct, frozen=True):
    """One sample that is to be made."""

    index: int
    group_index: int
    group: Group


class Sample(msgspec.Struct, frozen=True):
    """A finished sample.

    Attributes
    ----------
    index : int
        Its place in the step; each index is delivered once.
    sequence : int
        Its place in the order of delivery, from 1; 0 while not yet given.
    segments : list of Segment
        The weight versions that made it.
    """

    index: int
    group_index: int
    text: str
    segments: list[requests.Segment]
    sequence: int = 0
    score: float | None = None

    @property
    def oldest_version(self) -> int:
        """Return the oldest version that made any of its tokens."""
        return min(segment.version for segment in self.segments)

    @property
    def tokens(self) -> int:
        """Return how long it is."""
        return sum(segment.tokens for segment in self.segments)


class Step:
    """One step as its owner holds it.

    The order of delivery is the ledger's. `samples` holds what is in memory
    by index, and `order` the indices in sequence. After `expires_at`, in Unix
    seconds, no more is made; 0 is never.
    """

    __slots__ = (
        'acknowledged',
        'cancelled',
        'expired',
        'expires_at',
        'order',
        'committed',
        'samples',
        'spec',
        'total',
    )

    def __init__(self, spec: StepSpec) -> None:
        self.spec = spec
        self.total = spec.count_samples()
        self.samples: dict[int, Sample] = {}
        self.order: list[int] = []
        self.committed: set[int] = set()
        self.acknowledged = 0
        self.cancelled = False
        self.expired = False
        self.expires_at = 0.0

    @property
    def is_complete(self) -> bool:
        """Tell whether every sample has its place in the order."""
        return len(self.order) == self.total

    @property
    def is_acknowledged(self) -> bool:
        """Tell whether the trainer has every sample."""
        return self.acknowledged == self.total

    def commit(self, index: int) -> int:
        """Give a sample the next sequence number, which it keeps."""
        assert index not in self.committed, 'a sample is placed once'
        self.committed.add(index)
        self.order.append(index)
        return len(self.order)

    def acknowledge(self, cursor: int) -> None:
        """Take note that the trainer has all up to `cursor`.

        Raises
        ------
        RequestInvalid
            If no such sequence number was given yet.
        """
        if cursor > len(self.order):
            raise errors.RequestInvalid(
                f'cursor = {cursor}: the newest is {len(self.order)}',
                step='acknowledge',
            )
        for index in self.order[self.acknowledged : cursor]:
            self.samples.pop(index, None)
        self.acknowledged = max(self.acknowledged, cursor)

    def restore(self, kept: dict[int, Sample]) -> None:
        """Take what an earlier owner kept and was not acknowledged."""
        acknowledged = set(self.order[: self.acknowledged])
        for index, sample in kept.items():
            if index not in acknowledged:
                self.samples[index] = sample

    def list_missing(self) -> list[int]:
        """Return the samples to be made, those with a number first.

        They hold up all samples behind them in the order of delivery.
        """
        waited_for = [
            index
            for index in self.order[self.acknowledged :]
            if index not in self.samples
        ]
        rest = [
            index
            for index in range(self.total)
            if index not in self.committed and index not in self.samples
        ]
        return waited_for + rest
