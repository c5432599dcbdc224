"""Requests to a spool and its replies."""

import msgspec


class Payload(msgspec.Struct, frozen=True, array_like=True):
    """One sample's bytes; `index` is its place in the step."""

    index: int
    data: bytes


class Put(msgspec.Struct, tag='put', array_like=True):
    """Keeps payloads; a later one of the same index replaces an earlier."""

    step_id: str
    payloads: list[Payload]


class Fetch(msgspec.Struct, tag='fetch', array_like=True):
    """Asks for all payloads of a step."""

    step_id: str


class Drop(msgspec.Struct, tag='drop', array_like=True):
    """Forgets a step."""

    step_id: str


class Reply(msgspec.Struct, array_like=True):
    """The answer to each request; `error` is empty where it succeeded."""

    error: str = ''
    payloads: list[Payload] = []


Request = Put | Fetch | Drop

request_decoder: msgspec.msgpack.Decoder[Request] = msgspec.msgpack.Decoder(
    Request
)
reply_decoder = msgspec.msgpack.Decoder(Reply)
encoder = msgspec.msgpack.Encoder()
