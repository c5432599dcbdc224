"""The messages with which a tunnel begins, one each way."""

import enum
import struct

import msgspec

# A message is preceded by its length in bytes.
LENGTH_FORMAT = struct.Struct('>H')
MAX_MESSAGE_BYTES = 512


class TunnelOutcome(enum.Enum):
    """What became of the request for a tunnel.

    Attributes
    ----------
    CONNECTED
        The server accepted the connection; its bytes follow.
    REFUSED
        The server refused the connection.
    UNREACHABLE
        The server did not accept it in time.
    UNKNOWN_SERVER
        The peer lists no server at that address.
    BUSY
        The peer has as many tunnels as it may have.
    """

    CONNECTED = 'connected'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    UNKNOWN_SERVER = 'unknown_server'
    BUSY = 'busy'


class TunnelRequest(msgspec.Struct, frozen=True):
    """Request for a tunnel to the server at ``ip:port``."""

    address: str


class TunnelReply(msgspec.Struct, frozen=True):
    """Response to :class:`TunnelRequest`."""

    outcome: TunnelOutcome


def encode_message(message: msgspec.Struct) -> bytes:
    """Return a message with its length."""
    content = msgspec.msgpack.encode(message)
    return LENGTH_FORMAT.pack(len(content)) + content
