"""The head object of a step's ledger, as kept in the object store."""

import msgspec

from swiftjunction import errors
from swiftjunction import objectstore


class Head(msgspec.Struct, frozen=True, omit_defaults=True):
    """The stored progress and owner of a step.

    Attributes
    ----------
    owner : str
        Name of the process that owns the step.
    writer : str
        Unique identifier of the ledger instance that wrote the head. Unlike
        `owner`, it changes when the process restarts.
    serial : int
        Incremented by each change of the head, also across writers.
    ended : bool
        Whether the step has ended.
    expires_at : float
        Deadline of the step, in Unix seconds.
    parts : list of str
        Keys of the objects that hold the specification, in order.
    sealed : int
        Number of sealed blocks, each of ``SEALED_BLOCK_SAMPLES`` indices,
        that hold the beginning of the delivery order.
    tail : list of int
        The rest of the delivery order, as sample indices.
    acknowledged : int
        The last sequence number that the trainer acknowledged.
    missing : int
        In an ended step, the number of samples that were not acknowledged.
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


def decode_open_head(stored: objectstore.Object, step_id: str) -> Head:
    """Decode the head of a step that has not ended.

    Raises
    ------
    StepEnded
        If the step ended and every sample was acknowledged.
    StepIncomplete
        If the step ended before every sample was acknowledged.
    """
    head = objectstore.decode_value(stored, Head)
    if not head.ended:
        return head
    if head.missing:
        raise errors.StepIncomplete(
            f'step {step_id} ended with {head.missing} unacknowledged samples',
            step='read ledger',
        )
    raise errors.StepEnded(f'step {step_id} has ended', step='read ledger')
