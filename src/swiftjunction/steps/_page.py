"""A page of samples, as returned to a trainer."""

import msgspec

from swiftjunction.steps import _step


class SamplePage(msgspec.Struct, frozen=True):
    """The samples that follow a trainer's cursor.

    Attributes
    ----------
    start : int
        The page begins after this sequence number.
    samples : list of Sample
        Samples in the order of their sequence numbers, without gaps.
    cursor : int
        The cursor of the next request, which acknowledges these samples.
    total : int
        The number of samples in the step.
    done : bool
        Whether no sample will ever follow `cursor`.
    """

    start: int
    samples: list[_step.Sample]
    cursor: int
    total: int
    done: bool
