"""Weight versions: publishing, freshness, and getting them onto engines."""

from swiftjunction.weights._board import Board
from swiftjunction.weights._board import Bound
from swiftjunction.weights._board import WEIGHTS_PREFIX
from swiftjunction.weights._publishing import Publisher
from swiftjunction.weights._swap import Swap
from swiftjunction.weights._swap import SWAP_POLICIES
from swiftjunction.weights._swap import SwapAction
from swiftjunction.weights._swap import SwapPolicy
from swiftjunction.weights._versions import History
from swiftjunction.weights._versions import PublishedVersion
from swiftjunction.weights._wave import Wave

__all__ = [
    'Board',
    'Bound',
    'History',
    'PublishedVersion',
    'Publisher',
    'SWAP_POLICIES',
    'Swap',
    'SwapAction',
    'SwapPolicy',
    'WEIGHTS_PREFIX',
    'Wave',
]
