"""Admission, attempts and responses of single requests.

A request is either a completion, which an inference engine generates, or a
call to a plain service: any backend service that is not an inference engine.
"""

from swiftjunction.requests._addresses import EntrySelector
from swiftjunction.requests._admission import AdmissionController
from swiftjunction.requests._app import build_app
from swiftjunction.requests._app import EntryApp
from swiftjunction.requests._bodies import BodyReader
from swiftjunction.requests._budget import RetryBudget
from swiftjunction.requests._call import GenerationCall
from swiftjunction.requests._claims import ClaimStore
from swiftjunction.requests._crashes import CrashHistory
from swiftjunction.requests._crashes import CrashRegistry
from swiftjunction.requests._crashes import EMPTY_HISTORY
from swiftjunction.requests._crashes import HistoryListener
from swiftjunction.requests._crashes import RecordCrashRegistry
from swiftjunction.requests._forwarding import ForwardedCall
from swiftjunction.requests._forwarding import Forwarder
from swiftjunction.requests._generation import CompletionGenerator
from swiftjunction.requests._grace import compute_reserve
from swiftjunction.requests._grace import GracePeriod
from swiftjunction.requests._origins import LocalOrigins
from swiftjunction.requests._origins import MAX_REQUEST_ID_CHARS
from swiftjunction.requests._origins import OriginRegistry
from swiftjunction.requests._origins import OriginTable
from swiftjunction.requests._origins import ResumePoint
from swiftjunction.requests._origins import StreamOrigin
from swiftjunction.requests._overload import OVERLOAD_CHECK_INTERVAL_SECONDS
from swiftjunction.requests._overload import OverloadDetector
from swiftjunction.requests._relaying import RelayedStream
from swiftjunction.requests._relaying import StreamRelay
from swiftjunction.requests._resuming import StreamResumer
from swiftjunction.requests._runs import NoRunListener
from swiftjunction.requests._runs import RequestRun
from swiftjunction.requests._runs import RunListener
from swiftjunction.requests._segments import build_segments
from swiftjunction.requests._segments import Segment
from swiftjunction.requests._streaming import RelayedStreamResponse
from swiftjunction.requests._streaming import run_while_connected
from swiftjunction.requests._suspects import make_fingerprint
from swiftjunction.requests._suspects import SuspectTracker

__all__ = [
    'AdmissionController',
    'BodyReader',
    'ClaimStore',
    'CompletionGenerator',
    'CrashHistory',
    'CrashRegistry',
    'EMPTY_HISTORY',
    'EntryApp',
    'EntrySelector',
    'ForwardedCall',
    'Forwarder',
    'GenerationCall',
    'GracePeriod',
    'HistoryListener',
    'LocalOrigins',
    'MAX_REQUEST_ID_CHARS',
    'NoRunListener',
    'OVERLOAD_CHECK_INTERVAL_SECONDS',
    'OriginRegistry',
    'OriginTable',
    'OverloadDetector',
    'RecordCrashRegistry',
    'RelayedStream',
    'RelayedStreamResponse',
    'RequestRun',
    'ResumePoint',
    'RetryBudget',
    'RunListener',
    'Segment',
    'StreamOrigin',
    'StreamRelay',
    'StreamResumer',
    'SuspectTracker',
    'build_app',
    'build_segments',
    'compute_reserve',
    'make_fingerprint',
    'run_while_connected',
]
