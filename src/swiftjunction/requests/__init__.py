"""One caller's request: its admission, its attempts, its answer."""

from swiftjunction.requests._addresses import AddressBook
from swiftjunction.requests._admission import Admission
from swiftjunction.requests._app import build_app
from swiftjunction.requests._app import LiveApp
from swiftjunction.requests._budget import RetryBudget
from swiftjunction.requests._call import GenerationCall
from swiftjunction.requests._claims import Claims
from swiftjunction.requests._forwarding import ForwardedCall
from swiftjunction.requests._forwarding import Forwarder
from swiftjunction.requests._generation import Generator
from swiftjunction.requests._overload import CHECK_INTERVAL_SECONDS
from swiftjunction.requests._overload import OverloadDetector
from swiftjunction.requests._reading import read_body
from swiftjunction.requests._relaying import RelayedStream
from swiftjunction.requests._relaying import StreamForwarder
from swiftjunction.requests._segments import join_segments
from swiftjunction.requests._segments import Segment
from swiftjunction.requests._streaming import RelayedAnswer
from swiftjunction.requests._streaming import run_while_connected
from swiftjunction.requests._suspects import make_fingerprint
from swiftjunction.requests._suspects import SuspectList

__all__ = [
    'AddressBook',
    'Admission',
    'CHECK_INTERVAL_SECONDS',
    'Claims',
    'ForwardedCall',
    'Forwarder',
    'GenerationCall',
    'Generator',
    'LiveApp',
    'OverloadDetector',
    'RelayedAnswer',
    'RelayedStream',
    'RetryBudget',
    'Segment',
    'StreamForwarder',
    'SuspectList',
    'build_app',
    'join_segments',
    'make_fingerprint',
    'read_body',
    'run_while_connected',
]
