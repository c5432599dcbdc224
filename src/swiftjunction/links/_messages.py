"""The typed messages and their codec."""

import typing

import msgspec

from swiftjunction import errors


# Far above any real one, and still to be counted up and encoded.
MAX_VERSION = 2**53
RecordVersion = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One fact of the shared state; a higher version replaces a lower."""

    key: str
    version: RecordVersion
    value: bytes


class Delta(msgspec.Struct, tag='delta', array_like=True):
    """Records that the receiver may lack; `sender` is a link address."""

    sender: str
    records: list[Record]


class Compare(msgspec.Struct, tag='compare', array_like=True):
    """A hash of each bucket of the sender's records.

    Attributes
    ----------
    sender : str
        The link address that the answer goes to.
    hashes : bytes
        Four bytes a bucket; zeros for one that changed a moment ago.
    """

    sender: str
    hashes: bytes


class Digest(msgspec.Struct, tag='digest', array_like=True):
    """The versions that the sender holds in some buckets.

    It is answered by a delta of what the sender lacks and, where `ask` is
    set and the receiver lacks something too, by a digest without `ask`.

    Attributes
    ----------
    sender : str
        The link address that the answer goes to.
    buckets : list of int
        The buckets that `marks` covers; none means all.
    marks : dict
        For each key its version and a hash of the record.
    """

    sender: str
    buckets: list[int]
    marks: dict[str, tuple[int, int]]
    ask: bool = True


class Ping(msgspec.Struct, tag='ping', array_like=True):
    """Asks the receiver to answer `sender` with an acknowledgement.

    `origin` is whom the sender asks for, empty where it asks for itself.
    """

    sender: str
    origin: str = ''


class Ack(msgspec.Struct, tag='ack', array_like=True):
    """Says that the process at `target` is alive, for `origin` if given."""

    target: str
    origin: str = ''


class PingRequest(msgspec.Struct, tag='ping-request', array_like=True):
    """Asks the receiver to ping `target` for `sender`."""

    sender: str
    target: str


Message = Delta | Compare | Digest | Ping | Ack | PingRequest

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode one message."""
    return _encoder.encode(message)


def decode_message(data: bytes, peer: str = '') -> Message:
    """Decode one message.

    Raises
    ------
    LinkError
        If `data` is not a message of this version.
    """
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.LinkError(
            f'message not understood: {error}', step='decode', peer=peer
        ) from error
