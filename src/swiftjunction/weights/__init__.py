"""Publication, freshness and rollout of model weight versions."""

from swiftjunction.weights._freshness import FreshnessBound
from swiftjunction.weights._freshness import VersionTracker
from swiftjunction.weights._freshness import WEIGHTS_PREFIX
from swiftjunction.weights._publishing import Publisher
from swiftjunction.weights._swap import SWAP_POLICIES
from swiftjunction.weights._swap import SwapAction
from swiftjunction.weights._swap import SwapContext
from swiftjunction.weights._swap import SwapPolicy
from swiftjunction.weights._versions import PublishedVersion
from swiftjunction.weights._versions import VersionHistory
from swiftjunction.weights._wave import RolloutController

__all__ = [
    'FreshnessBound',
    'PublishedVersion',
    'Publisher',
    'RolloutController',
    'SWAP_POLICIES',
    'SwapAction',
    'SwapContext',
    'SwapPolicy',
    'VersionHistory',
    'VersionTracker',
    'WEIGHTS_PREFIX',
]
