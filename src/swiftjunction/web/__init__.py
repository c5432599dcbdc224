"""HTTP for every daemon: serving by hypercorn, calling by httpx."""

from swiftjunction.web._answers import describe_error
from swiftjunction.web._answers import EXCEPTION_HANDLERS
from swiftjunction.web._answers import read_bearer
from swiftjunction.web._answers import respond_error
from swiftjunction.web._answers import respond_json
from swiftjunction.web._calling import connect_client
from swiftjunction.web._calling import Peer
from swiftjunction.web._calling import PeerClients
from swiftjunction.web._calling import SEND_EVENT
from swiftjunction.web._calling import UNSENT_ERRORS
from swiftjunction.web._serving import bind_socket
from swiftjunction.web._serving import Listener
from swiftjunction.web._serving import open_listener
from swiftjunction.web._streams import format_event
from swiftjunction.web._tls import TlsContexts
from swiftjunction.web._tls import TlsFiles
from swiftjunction.web._tls import trust_authority

__all__ = [
    'EXCEPTION_HANDLERS',
    'Listener',
    'Peer',
    'PeerClients',
    'SEND_EVENT',
    'TlsContexts',
    'TlsFiles',
    'UNSENT_ERRORS',
    'bind_socket',
    'connect_client',
    'describe_error',
    'format_event',
    'open_listener',
    'read_bearer',
    'respond_error',
    'respond_json',
    'trust_authority',
]
