"""The head of a step's ledger, as it stands on the object store."""

import msgspec

from swiftjunction import errors
from swiftjunction import objectstore


class Head(msgspec.Struct, frozen=True, omit_defaults=True):
    """The object that says how far a step is and who owns it.

    Attributes
    ----------
    writer : str
        The run of the process that wrote it; unlike `owner` it is another
        one after a restart.
    serial : int
        Counts the changes of this writer.
    expires_at : float
        Deadline of the step, in Unix seconds.
    parts : list of str
        Objects that hold the specification, in order.
    sealed : int
        How many objects of ``SEALED_SAMPLES`` begin the order of delivery.
    tail : list of int
        The rest of that order, as indices of samples.
    missing : int
        In an ended step, the samples that its trainer did not acknowledge.
    """

    owner: str
    writer: str
    serial: int = 0
    ended: bool = False
    expires_at: float = 0.0
    parts: list[str] = []
    sealed: int = 0
    tail: list[int] = []
    acknowledged: int = 0
    missing: int = 0


def decode_running(found: objectstore.Object, step_id: str) -> Head:
    """Return the head of a step that goes on.

    Raises
    ------
    StepEnded, StepIncomplete
        If it has ended.
    """
    head = objectstore.decode_value(found, Head)
    if not head.ended:
        return head
    if head.missing:
        raise errors.StepIncomplete(
            f'step {step_id} ended without {head.missing} of its samples',
            step='read ledger',
        )
    raise errors.StepEnded(f'step {step_id} has ended', step='read ledger')
