"""The specification, samples and state of a step."""

import collections.abc
import typing

import msgspec

from swiftjunction import errors
from swiftjunction import requests

Identifier = typing.Annotated[
    str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9.-]*$', max_length=100)
]
PositiveInt = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]

MAX_SAMPLES = 100_000


class Group(msgspec.Struct, frozen=True):
    """A number of samples that share a prompt.

    Attributes
    ----------
    samples : int
        Number of samples to generate.
    max_tokens : int
        Maximum length of each sample, in tokens.
    """

    prompt: str
    samples: PositiveInt = 1
    max_tokens: PositiveInt = 16


class StepSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The specification of a step, as submitted by a trainer.

    Attributes
    ----------
    trainer : str
        Name of the trainer.
    step : str
        Name of the step, unique for the trainer.
    path : str
        The path whose model generates the samples.
    groups : list of Group
        The prompts and the number of samples of each.
    deadline_seconds : float
        Seconds after submission at which generation stops.
    scorer : str
        The path of the service that scores the samples; empty for none.
    freshness_versions, freshness_seconds
        Override the freshness bound of the path if set.
    """

    trainer: Identifier
    step: Identifier
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
        """Return the identifier of the step, unique among all trainers."""
        return f'{self.trainer}.{self.step}'

    def count_samples(self) -> int:
        """Return the number of samples in the step."""
        return sum(group.samples for group in self.groups)

    def validate(self) -> None:
        """Raise ``RequestInvalid`` if the step has too many samples."""
        count = self.count_samples()
        if count > MAX_SAMPLES:
            raise errors.RequestInvalid(
                f'{count} samples exceed the limit of {MAX_SAMPLES} per step',
                step='submit',
            )

    def iter_tasks(self) -> collections.abc.Iterator['SampleTask']:
        """Yield one task for each sample, in ascending order of the index."""
        index = 0
        for group_index, group in enumerate(self.groups):
            for _ in range(group.samples):
                yield SampleTask(index, group_index, group)
                index += 1


class SampleTask(msgspec.Struct, frozen=True):
    """A sample to be generated.

    Attributes
    ----------
    index : int
        Position of the sample in the step.
    group_index : int
        Position of the group in the step.
    """

    index: int
    group_index: int
    group: Group


class Sample(msgspec.Struct, frozen=True):
    """A finished sample.

    Attributes
    ----------
    index : int
        Position in the step; each index is delivered once.
    group_index : int
        Position of the group in the step.
    text : str
        The generated text.
    segments : list of Segment
        The weight versions that generated each part of the text.
    sequence : int
        Position in the delivery order, from 1; 0 until it is committed.
    score : float or None
        Result of the scorer, if the step has one.
    """

    index: int
    group_index: int
    text: str
    segments: list[requests.Segment]
    sequence: int = 0
    score: float | None = None

    @property
    def oldest_version(self) -> int:
        """Return the oldest weight version that generated any token."""
        return min(segment.version for segment in self.segments)

    @property
    def tokens(self) -> int:
        """Return the length in tokens."""
        return sum(segment.tokens for segment in self.segments)


class Step:
    """The in-memory state of a step on its owner.

    Attributes
    ----------
    samples : dict
        The finished samples that are in memory, by index.
    order : list of int
        The committed indices in delivery order, as in the ledger.
    committed : set of int
        The same indices, for look-ups.
    acknowledged : int
        The last sequence number that the trainer acknowledged.
    cancelled : bool
        Whether the step was cancelled.
    expired : bool
        Whether the deadline has passed.
    expires_at : float
        Deadline in Unix seconds, after which no samples are generated; 0
        means none.
    """

    __slots__ = (
        'acknowledged',
        'cancelled',
        'committed',
        'expired',
        'expires_at',
        'order',
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
        """Return whether every sample has a sequence number."""
        return len(self.order) == self.total

    @property
    def is_acknowledged(self) -> bool:
        """Return whether the trainer acknowledged every sample."""
        return self.acknowledged == self.total

    def commit(self, index: int) -> int:
        """Permanently assign a sample the next sequence number; return it."""
        assert index not in self.committed, 'sample is already committed'
        self.committed.add(index)
        self.order.append(index)
        return len(self.order)

    def acknowledge(self, cursor: int) -> None:
        """Discard the samples up to `cursor`, which the trainer received.

        Raises
        ------
        RequestInvalid
            If `cursor` is beyond the last committed sequence number.
        """
        if cursor > len(self.order):
            raise errors.RequestInvalid(
                f'cursor {cursor} is beyond the last committed sequence '
                f'number {len(self.order)}',
                step='acknowledge',
            )
        for index in self.order[self.acknowledged : cursor]:
            self.samples.pop(index, None)
        self.acknowledged = max(self.acknowledged, cursor)

    def restore(self, stored_samples: dict[int, Sample]) -> None:
        """Add the unacknowledged samples that a previous owner stored."""
        acknowledged = set(self.order[: self.acknowledged])
        for index, sample in stored_samples.items():
            if index not in acknowledged:
                self.samples[index] = sample

    def list_missing(self) -> list[int]:
        """Return the indices to be generated, committed ones first.

        A missing committed sample blocks delivery of all samples after it.
        """
        committed = [
            index
            for index in self.order[self.acknowledged :]
            if index not in self.samples
        ]
        uncommitted = [
            index
            for index in range(self.total)
            if index not in self.committed and index not in self.samples
        ]
        return committed + uncommitted
