"""Selection of the backend server for each request."""

from swiftjunction.routing._blocks import BLOCK_CHARS
from swiftjunction.routing._blocks import hash_blocks
from swiftjunction.routing._holders import CacheEvent
from swiftjunction.routing._holders import PrefixIndex
from swiftjunction.routing._policy import Policy
from swiftjunction.routing._policy import RoutingRequest
from swiftjunction.routing._prefix import PrefixAffinity
from swiftjunction.routing._router import BackendServer
from swiftjunction.routing._router import Router
from swiftjunction.routing._shares import FlowRate
from swiftjunction.routing._simple import LeastOutstanding
from swiftjunction.routing._simple import RoundRobin
from swiftjunction.routing._simple import TwoChoices

__all__ = [
    'BLOCK_CHARS',
    'BackendServer',
    'CacheEvent',
    'FlowRate',
    'LeastOutstanding',
    'Policy',
    'PrefixAffinity',
    'PrefixIndex',
    'RoundRobin',
    'Router',
    'RoutingRequest',
    'TwoChoices',
    'hash_blocks',
]
