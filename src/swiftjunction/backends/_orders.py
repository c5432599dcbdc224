"""Orders to engines, and what engines say of themselves."""

import msgspec

from swiftjunction import errors

# An engine sends its status at least this often; a silent one is gone.
STATUS_INTERVAL_SECONDS = 1.0
STATUS_TIMEOUT_SECONDS = 4.0


class Order(msgspec.Struct, frozen=True):
    """What a conductor tells an engine to do.

    Attributes
    ----------
    kind : str
        ``stage`` fetches a version, ``activate`` serves it from now on,
        ``load`` takes up a model, ``adapter`` an adapter, ``role`` a role.
    fencing_token : int
        Of the lease that the order is given under.
    source_version : int
        The version whose files are staged, where a version goes back to
        earlier weights; 0 for its own.
    """

    kind: str
    model: str
    weight_version: int = 0
    fencing_token: int = 0
    argument: str = ''
    source_version: int = 0


class EngineStatus(msgspec.Struct, frozen=True):
    """An engine's own word on its state."""

    model: str
    weight_version: int
    staged_version: int = 0
    load: float = 0.0
    leaving: bool = False
    role: str = 'generate'
    adapters: list[str] = []


def decode_status(data: str, peer: str) -> EngineStatus:
    """Decode a status event."""
    try:
        return msgspec.json.decode(data, type=EngineStatus)
    except msgspec.MsgspecError as error:
        raise errors.AnswerBroken(
            f'status not understood: {error}', step='watch', peer=peer
        ) from error
