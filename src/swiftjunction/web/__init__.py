"""HTTP servers on hypercorn and HTTP clients on httpx."""

from swiftjunction.web._addresses import format_address
from swiftjunction.web._addresses import is_address
from swiftjunction.web._addresses import parse_address
from swiftjunction.web._bodies import EVENT_STREAM_TYPE
from swiftjunction.web._bodies import SHORT_BODY
from swiftjunction.web._bodies import UNBOUNDED_STREAM
from swiftjunction.web._client_limits import BYTES_PER_MIB
from swiftjunction.web._client_limits import ClientLimits
from swiftjunction.web._client_limits import compute_client_limits
from swiftjunction.web._client_limits import DEFAULT_DESCRIPTORS
from swiftjunction.web._client_limits import DEFAULT_MEMORY_BYTES
from swiftjunction.web._client_policy import ClientPolicy
from swiftjunction.web._client_policy import HeadLimits
from swiftjunction.web._clients import create_client
from swiftjunction.web._clients import DirectClient
from swiftjunction.web._clients import PeerClients
from swiftjunction.web._clients import REQUEST_START_EVENT
from swiftjunction.web._clients import UNSENT_ERRORS
from swiftjunction.web._event_blocks import BlockSplitter
from swiftjunction.web._event_blocks import BYTE_ORDER_MARK
from swiftjunction.web._event_blocks import find_first_line
from swiftjunction.web._event_blocks import iter_fields
from swiftjunction.web._event_reading import read_events
from swiftjunction.web._event_reading import ServerEvent
from swiftjunction.web._event_streams import bound_events
from swiftjunction.web._event_streams import MAX_EVENT_BYTES
from swiftjunction.web._heads import RESET_LINGER
from swiftjunction.web._heads import SocketOptions
from swiftjunction.web._listeners import bind_datagram_socket
from swiftjunction.web._listeners import bind_socket
from swiftjunction.web._listeners import check_address
from swiftjunction.web._listeners import HttpListener
from swiftjunction.web._listeners import open_listener
from swiftjunction.web._memory import get_account
from swiftjunction.web._memory import MemoryAccount
from swiftjunction.web._memory import MemoryBudget
from swiftjunction.web._memory import MemoryHold
from swiftjunction.web._responses import describe_error
from swiftjunction.web._responses import EXCEPTION_HANDLERS
from swiftjunction.web._responses import read_bearer_token
from swiftjunction.web._responses import respond_error
from swiftjunction.web._responses import respond_json
from swiftjunction.web._sending import check_request
from swiftjunction.web._sending import find_name_problem
from swiftjunction.web._sending import find_target_problem
from swiftjunction.web._sending import find_value_problem
from swiftjunction.web._steps import StepCounter
from swiftjunction.web._streams import format_event
from swiftjunction.web._targets import read_target
from swiftjunction.web._tls import create_client_context
from swiftjunction.web._tls import TlsContexts
from swiftjunction.web._tls import TlsFiles
from swiftjunction.web._transport import SOCKET_OPTIONS

__all__ = [
    'BYTES_PER_MIB',
    'BYTE_ORDER_MARK',
    'BlockSplitter',
    'ClientLimits',
    'ClientPolicy',
    'DEFAULT_DESCRIPTORS',
    'DEFAULT_MEMORY_BYTES',
    'DirectClient',
    'EVENT_STREAM_TYPE',
    'EXCEPTION_HANDLERS',
    'HeadLimits',
    'HttpListener',
    'MAX_EVENT_BYTES',
    'MemoryAccount',
    'MemoryBudget',
    'MemoryHold',
    'PeerClients',
    'REQUEST_START_EVENT',
    'RESET_LINGER',
    'SHORT_BODY',
    'SOCKET_OPTIONS',
    'ServerEvent',
    'SocketOptions',
    'StepCounter',
    'TlsContexts',
    'TlsFiles',
    'UNBOUNDED_STREAM',
    'UNSENT_ERRORS',
    'bind_datagram_socket',
    'bind_socket',
    'check_address',
    'bound_events',
    'check_request',
    'compute_client_limits',
    'create_client',
    'create_client_context',
    'describe_error',
    'find_first_line',
    'find_name_problem',
    'find_target_problem',
    'find_value_problem',
    'format_address',
    'format_event',
    'get_account',
    'is_address',
    'iter_fields',
    'open_listener',
    'parse_address',
    'read_bearer_token',
    'read_events',
    'read_target',
    'respond_error',
    'respond_json',
]
