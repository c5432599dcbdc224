"""State of the backend servers, and the clients that call them."""

from swiftjunction.backends._bodies import read_body
from swiftjunction.backends._connections import ConnectionCleaner
from swiftjunction.backends._directory import Directory
from swiftjunction.backends._directory import SERVER_PREFIX
from swiftjunction.backends._engine import Chunk
from swiftjunction.backends._engine import EngineCall
from swiftjunction.backends._engine import EngineClient
from swiftjunction.backends._engine import ORDER_TIMEOUT_SECONDS
from swiftjunction.backends._exchange import Exchange
from swiftjunction.backends._http import read_load
from swiftjunction.backends._http import translate_errors
from swiftjunction.backends._lapses import DelayedRemoval
from swiftjunction.backends._lateness import LoopLag
from swiftjunction.backends._limit import SAMPLE_LATENCY_TOLERANCE
from swiftjunction.backends._order_sender import OrderSender
from swiftjunction.backends._orders import EngineStatus
from swiftjunction.backends._orders import Order
from swiftjunction.backends._orders import STATUS_INTERVAL_SECONDS
from swiftjunction.backends._peer_paths import NoPeerPaths
from swiftjunction.backends._peer_paths import PeerPath
from swiftjunction.backends._peer_paths import PeerPaths
from swiftjunction.backends._permits import Permit
from swiftjunction.backends._permits import PermitBuckets
from swiftjunction.backends._permits import PermitSource
from swiftjunction.backends._permits import UnlimitedPermits
from swiftjunction.backends._rates import RateStatement
from swiftjunction.backends._rates import ServerRates
from swiftjunction.backends._rates import UNLIMITED
from swiftjunction.backends._reachability import Reachability
from swiftjunction.backends._report import ServerReport
from swiftjunction.backends._server import BackendServer
from swiftjunction.backends._server_paths import ServerPaths
from swiftjunction.backends._service import ServiceCall
from swiftjunction.backends._service import ServiceClient
from swiftjunction.backends._service import ServiceResponse
from swiftjunction.backends._service import ServiceTransport
from swiftjunction.backends._software import may_continue
from swiftjunction.backends._software import UNKNOWN_SOFTWARE
from swiftjunction.backends._streams import NO_EVENT
from swiftjunction.backends._streams import ServiceStream
from swiftjunction.backends._streams import StreamEvent
from swiftjunction.backends._streams import StreamPosition
from swiftjunction.backends._streams import StreamTransport
from swiftjunction.backends._verifier import ListTrust
from swiftjunction.backends._verifier import RunVerifier
from swiftjunction.backends._verifier import StartVerifier

__all__ = [
    'BackendServer',
    'Chunk',
    'ConnectionCleaner',
    'DelayedRemoval',
    'Directory',
    'EngineCall',
    'EngineClient',
    'EngineStatus',
    'Exchange',
    'ListTrust',
    'LoopLag',
    'NO_EVENT',
    'NoPeerPaths',
    'ORDER_TIMEOUT_SECONDS',
    'Order',
    'OrderSender',
    'PeerPath',
    'PeerPaths',
    'Permit',
    'PermitBuckets',
    'PermitSource',
    'RateStatement',
    'RunVerifier',
    'SAMPLE_LATENCY_TOLERANCE',
    'SERVER_PREFIX',
    'STATUS_INTERVAL_SECONDS',
    'Reachability',
    'ServerPaths',
    'ServerRates',
    'ServerReport',
    'ServiceCall',
    'ServiceClient',
    'ServiceResponse',
    'ServiceStream',
    'ServiceTransport',
    'StartVerifier',
    'StreamEvent',
    'StreamPosition',
    'StreamTransport',
    'UNKNOWN_SOFTWARE',
    'UNLIMITED',
    'UnlimitedPermits',
    'may_continue',
    'read_body',
    'read_load',
    'translate_errors',
]
