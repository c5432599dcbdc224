"""Messages of the spool protocol."""

import msgspec


class Payload(msgspec.Struct, frozen=True, array_like=True):
    """The encoded sample at position `index` of its step."""

    index: int
    data: bytes


class Put(msgspec.Struct, tag='put', array_like=True):
    """Requests to store payloads; the newest one of an index is kept."""

    step_id: str
    payloads: list[Payload]


class Fetch(msgspec.Struct, tag='fetch', array_like=True):
    """Requests all payloads of a step."""

    step_id: str


class Drop(msgspec.Struct, tag='drop', array_like=True):
    """Requests that all payloads of a step are deleted."""

    step_id: str


class Reply(msgspec.Struct, array_like=True):
    """The reply to any request; `error` is empty on success."""

    error: str = ''
    payloads: list[Payload] = []


Request = Put | Fetch | Drop

request_decoder: msgspec.msgpack.Decoder[Request] = msgspec.msgpack.Decoder(
    Request
)
reply_decoder = msgspec.msgpack.Decoder(Reply)
encoder = msgspec.msgpack.Encoder()
