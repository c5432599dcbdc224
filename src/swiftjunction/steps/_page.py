"""A page of samples, as returned to a trainer."""

import msgspec

from swiftjunction.steps import _step


class SamplePage(msgspec.Struct, frozen=True):
    """The samples that follow a trainer's cursor.

    Attributes
    ----------
    start : int
        The sequence number before the first sample.
    cursor : int
        The cursor of the next request, which acknowledges these samples.
    done : bool
        Whether no sample will ever follow `cursor`.
    """

    start: int
    samples: list[_step.Sample]
    cursor: int
    total: int
    done: bool
