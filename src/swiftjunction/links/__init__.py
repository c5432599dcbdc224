"""Messages between this project's own processes, over pynng."""

from swiftjunction.links._messages import decode_message
from swiftjunction.links._messages import Delta
from swiftjunction.links._messages import Digest
from swiftjunction.links._messages import encode_message
from swiftjunction.links._messages import Message
from swiftjunction.links._messages import Record
from swiftjunction.links._sockets import Inbox
from swiftjunction.links._sockets import Outbox
from swiftjunction.links._sockets import Replier
from swiftjunction.links._sockets import Requester

__all__ = [
    'Delta',
    'Digest',
    'Inbox',
    'Message',
    'Outbox',
    'Record',
    'Replier',
    'Requester',
    'decode_message',
    'encode_message',
]
