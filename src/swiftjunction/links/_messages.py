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
    """Records that the receiver may lack."""

    sender: str
    records: list[Record]


class Digest(msgspec.Struct, tag='digest', array_like=True):
    """The versions that the sender holds, to be answered by a delta.

    `reply_to` is the link address that the answer goes to.
    """

    sender: str
    reply_to: str
    versions: dict[str, int]


Message = Delta | Digest

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
