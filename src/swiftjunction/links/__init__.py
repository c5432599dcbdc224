"""Message transports between swiftjunction processes: UDP and pynng."""

from swiftjunction.links._carrier import MAX_DATAGRAM_BYTES
from swiftjunction.links._carrier import MessageTransport
from swiftjunction.links._carrier import PeerTransport
from swiftjunction.links._messages import Ack
from swiftjunction.links._messages import Compare
from swiftjunction.links._messages import decode_message
from swiftjunction.links._messages import Delta
from swiftjunction.links._messages import Digest
from swiftjunction.links._messages import encode_message
from swiftjunction.links._messages import Message
from swiftjunction.links._messages import Ping
from swiftjunction.links._messages import PingRequest
from swiftjunction.links._messages import Record
from swiftjunction.links._sockets import Replier
from swiftjunction.links._sockets import Requester

__all__ = [
    'Ack',
    'Compare',
    'Delta',
    'Digest',
    'MAX_DATAGRAM_BYTES',
    'Message',
    'MessageTransport',
    'PeerTransport',
    'Ping',
    'PingRequest',
    'Record',
    'Replier',
    'Requester',
    'decode_message',
    'encode_message',
]
