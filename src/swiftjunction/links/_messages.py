"""The messages between processes and their codec."""

import typing

import msgspec

from swiftjunction import decoding
from swiftjunction import errors


# Above any real version, yet it can be incremented and still be encoded.
MAX_VERSION = 2**53
RecordVersion = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_VERSION)]


class Record(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the replicated state; the highest version of a key wins."""

    key: str
    version: RecordVersion
    value: bytes


class Delta(msgspec.Struct, tag='delta', array_like=True):
    """Records that the receiver may lack; `sender` is a link address."""

    sender: str
    records: list[Record]


class Compare(msgspec.Struct, tag='compare', array_like=True):
    """Hashes of the sender's records, one for each bucket.

    Attributes
    ----------
    sender : str
        The link address for the reply.
    hashes : bytes
        Four bytes for each bucket; zeros if the bucket changed recently.
    """

    sender: str
    hashes: bytes


class Digest(msgspec.Struct, tag='digest', array_like=True):
    """The record versions that the sender holds in some buckets.

    The receiver replies with a delta of the records that the sender lacks.
    If `ask` is set and the receiver lacks records too, it also replies with a
    digest without `ask`.

    Attributes
    ----------
    sender : str
        The link address for the reply.
    buckets : list of int
        The buckets that `marks` covers; an empty list means all.
    marks : dict
        The version and a hash of the record, by key.
    ask : bool
        Whether the receiver may reply with a digest.
    """

    sender: str
    buckets: list[int]
    marks: dict[str, tuple[int, int]]
    ask: bool = True


class Ping(msgspec.Struct, tag='ping', array_like=True):
    """Requests an :class:`Ack` to `sender`.

    For an indirect probe, `origin` is the process that requested it;
    otherwise it is empty.
    """

    sender: str
    origin: str = ''


class Ack(msgspec.Struct, tag='ack', array_like=True):
    """Confirms to `origin`, if set, that the process at `target` is alive."""

    target: str
    origin: str = ''


class PingRequest(msgspec.Struct, tag='ping-request', array_like=True):
    """Requests an indirect probe of `target` on behalf of `sender`."""

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
        If `data` is not a valid message.
    """
    try:
        return decoding.decode(_decoder.decode, data)
    except errors.ContentBroken as error:
        raise errors.LinkError(
            f'invalid message: {error}', step='decode', peer=peer
        ) from error
