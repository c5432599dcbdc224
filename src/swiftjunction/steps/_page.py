"""What a trainer is handed of a step."""

import msgspec

from swiftjunction.steps import _step


class SamplePage(msgspec.Struct, frozen=True):
    """What a trainer gets for a cursor.

    Attributes
    ----------
    start : int
        The sequence number after which it begins.
    cursor : int
        What to draw with next; it acknowledges these samples.
    done : bool
        Whether nothing comes after `cursor`, now or later.
    """

    start: int
    samples: list[_step.Sample]
    cursor: int
    total: int
    done: bool
