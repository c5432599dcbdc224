"""What VMs say to each other, over HTTP on their peer ports."""

import msgspec

from swiftjunction import errors

STATUS_PATH = '/peer/status'
STORE_PATH = '/peer/store'
READ_PATH = '/peer/batches/read'
BODY_PATH = '/peer/batches/body'
OBJECTS_PATH = '/peer/objects'
END_PATH = '/peer/batches/end'


class StoreCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """A call of the object store that a peer is asked to make.

    Attributes
    ----------
    operation : str
        ``read``, ``list``, ``create``, ``update``, ``delete`` or ``watch``.
    key : str
        The object, or the prefix.
    version : int
        The condition of a write; the revision that a watch begins after.
    """

    operation: str
    key: str
    value: bytes = b''
    version: int = 0
    wait_seconds: float = 0.0


class ObjectsCall(msgspec.Struct, frozen=True):
    """A question for all objects under a prefix that a peer knows."""

    prefix: str


class BatchCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """A question on a batch to the VM that runs it."""

    batch_id: str
    item_id: str = ''
    position: int = 0
    wait_seconds: float = 0.0


class BodyAnswer(msgspec.Struct, frozen=True):
    """The body of a sample; None where there is none."""

    body: bytes | None


class Failure(msgspec.Struct, frozen=True):
    """An error of the peer, by the name of its class."""

    kind: str
    message: str


PLATFORM_ERRORS: dict[str, type[errors.PlatformError]] = {
    kind.__name__: kind
    for kind in (
        errors.HistoryLost,
        errors.ObjectBroken,
        errors.ObjectMissing,
        errors.ObjectTooLarge,
        errors.PlatformError,
        errors.PlatformUnavailable,
        errors.RevisionConflict,
        errors.WriteUncertain,
    )
}
