"""Orders to engines, and the status reports of engines."""

import msgspec

from swiftjunction import decoding
from swiftjunction import errors

# An engine sends its status at least this often; one that is silent for the
# timeout is considered gone.
STATUS_INTERVAL_SECONDS = 1.0
STATUS_TIMEOUT_SECONDS = 4.0


class Order(msgspec.Struct, frozen=True):
    """A command to an engine, sent by the holder of a lease.

    Attributes
    ----------
    kind : str
        ``stage`` fetches a weight version, ``activate`` starts to serve it,
        ``load`` loads a model, ``adapter`` loads an adapter, ``role`` changes
        the role.
    fencing_token : int
        The fencing token of the lease that the order is sent under.
    argument : str
        The name of the adapter for ``adapter``, the role for ``role``; empty
        otherwise.
    source_version : int
        The version whose files are staged, for a version that rolls back to
        earlier weights; 0 for the files of `weight_version`.
    """

    kind: str
    model: str
    weight_version: int = 0
    fencing_token: int = 0
    argument: str = ''
    source_version: int = 0


class EngineStatus(msgspec.Struct, frozen=True):
    """The state that an engine reports in its status events.

    Attributes
    ----------
    model : str
        The model that it serves.
    weight_version : int
        The version that it runs.
    staged_version : int
        The newest version that it can activate immediately; 0 if none.
    load : float
        Its load; 1 means at capacity.
    leaving : bool
        Whether it accepts no new requests.
    role : str
        The role set by the last ``role`` order.
    adapters : list of str
        The names of the loaded adapters.
    """

    model: str
    weight_version: int
    staged_version: int = 0
    load: float = 0.0
    leaving: bool = False
    role: str = 'generate'
    adapters: list[str] = []


def decode_status(data: str, peer: str) -> EngineStatus:
    """Decode the data of a status event."""
    try:
        return decoding.decode_json(data, EngineStatus)
    except errors.ContentBroken as error:
        raise errors.AnswerBroken(
            f'invalid status event: {error}', step='watch', peer=peer
        ) from error
