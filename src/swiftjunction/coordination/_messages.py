"""Messages between VMs, sent over HTTP to the peer port."""

import msgspec

from swiftjunction import errors
from swiftjunction import objectstore

STATUS_PATH = '/peer/status'
STORE_PATH = '/peer/store'
RESULTS_PATH = '/peer/batches/read'
SAMPLE_BODY_PATH = '/peer/batches/body'
OBJECTS_PATH = '/peer/objects'
END_BATCH_PATH = '/peer/batches/end'
PERMIT_PATH = '/peer/permits'
# Calls for callers of one organisation. The former build has no such paths,
# so that it cannot ignore the organisation.
OWN_RESULTS_PATH = '/peer/organisations/batches/read'
OWN_SAMPLE_BODY_PATH = '/peer/organisations/batches/body'
OWN_END_BATCH_PATH = '/peer/organisations/batches/end'


class StoreCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request to a peer to call the object store on behalf of the sender.

    Attributes
    ----------
    operation : str
        ``read``, ``list``, ``create``, ``update``, ``delete`` or ``watch``.
    key : str
        The key of the object, or the prefix to list or watch.
    value : bytes
        The value to write.
    version : int
        The version that a write is conditional on, or the revision after
        which a watch begins.
    wait_seconds : float
        How long a watch waits for changes.
    """

    operation: str
    key: str
    value: bytes = b''
    version: int = 0
    wait_seconds: float = 0.0


class ObjectsCall(msgspec.Struct, frozen=True):
    """Request for the objects under a prefix that the peer has in memory.

    Attributes
    ----------
    since : int
        The revision that the caller has; -1 for none.
    """

    prefix: str
    since: int = -1


class FeedCopy(msgspec.Struct, frozen=True):
    """Response to :class:`ObjectsCall`: all objects, or what has changed.

    Attributes
    ----------
    revision : int
        The revision of the store up to which the copy is complete.
    changed : list of Object
        All objects, or those that have changed after `since`.
    deleted : list of str
        Keys of the objects that were deleted after `since`.
    since : int
        The revision that the changes follow; -1 with all objects.
    """

    revision: int
    changed: list[objectstore.Object]
    deleted: list[str]
    since: int = -1


class BatchCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """Request about a batch, to the VM that runs it.

    Attributes
    ----------
    batch_id : str
        The batch; all calls use it.
    sample_id : str
        The sample whose request body is read; only for `SAMPLE_BODY_PATH`.
    position : int
        The position of the first result to return; only for `RESULTS_PATH`.
    wait_seconds : float
        How long to wait for results; only for `RESULTS_PATH`.
    organisation : str or None
        The organisation of the caller, empty for none; None if organisations
        do not matter.
    """

    batch_id: str
    sample_id: str = msgspec.field(default='', name='item_id')
    position: int = 0
    wait_seconds: float = 0.0
    organisation: str | None = None


class SampleBody(msgspec.Struct, frozen=True):
    """The request body of a sample, or None if the peer does not have it."""

    body: bytes | None


class Failure(msgspec.Struct, frozen=True):
    """Response of a peer that raised an error.

    Attributes
    ----------
    kind : str
        The name of the error's class.
    message : str
        The error message.
    """

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
