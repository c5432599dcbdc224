"""The VMs of a deployment: who is there, who coordinates, who relays."""

from swiftjunction.coordination._app import PeerApp
from swiftjunction.coordination._coordinator import Coordinator
from swiftjunction.coordination._coordinator import Duty
from swiftjunction.coordination._duty import CoordinatorDuty
from swiftjunction.coordination._duty import Feeds
from swiftjunction.coordination._fleet import Catalog
from swiftjunction.coordination._fleet import FleetReader
from swiftjunction.coordination._fleet import VmReport
from swiftjunction.coordination._members import Member
from swiftjunction.coordination._members import MEMBER_PREFIX
from swiftjunction.coordination._members import MemberBook
from swiftjunction.coordination._members import MemberStatus
from swiftjunction.coordination._peer import PeerAccess
from swiftjunction.coordination._peer import PeerClient
from swiftjunction.coordination._peer import RelayedStore
from swiftjunction.coordination._relaying import RelayingStore
from swiftjunction.coordination._sharing import FeedSharing
from swiftjunction.coordination._sharing import SharedFeed
from swiftjunction.coordination._watching import PeerWatch

__all__ = [
    'Catalog',
    'Coordinator',
    'CoordinatorDuty',
    'Duty',
    'FeedSharing',
    'Feeds',
    'FleetReader',
    'MEMBER_PREFIX',
    'Member',
    'MemberBook',
    'MemberStatus',
    'PeerAccess',
    'PeerApp',
    'PeerClient',
    'PeerWatch',
    'RelayedStore',
    'RelayingStore',
    'SharedFeed',
    'VmReport',
]
