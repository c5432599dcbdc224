"""Membership, coordinator election and shared state of a deployment's VMs."""

from swiftjunction.coordination._access import CoordinatorAccess
from swiftjunction.coordination._access import list_store_relays
from swiftjunction.coordination._app import PeerApp
from swiftjunction.coordination._clock import SharedClock
from swiftjunction.coordination._confirmer import ConfigurationConfirmer
from swiftjunction.coordination._confirming import confirm_servers
from swiftjunction.coordination._confirming import FeedConfirmation
from swiftjunction.coordination._datagrams import PeerDatagrams
from swiftjunction.coordination._deployment import Catalog
from swiftjunction.coordination._deployment import DeploymentReader
from swiftjunction.coordination._deployment import VmReport
from swiftjunction.coordination._feed import SharedFeed
from swiftjunction.coordination._members import MemberTable
from swiftjunction.coordination._outages import OutageProbe
from swiftjunction.coordination._peer import PeerBatchAccess
from swiftjunction.coordination._peer import PeerClient
from swiftjunction.coordination._peer import PeerStore
from swiftjunction.coordination._peer_paths import TunnelPaths
from swiftjunction.coordination._permits import PermitCall
from swiftjunction.coordination._permits import SharedPermits
from swiftjunction.coordination._polling import PeerPoller
from swiftjunction.coordination._refreshing import FeedRefresher
from swiftjunction.coordination._relaying import FailoverStore
from swiftjunction.coordination._sharing import FeedSync
from swiftjunction.coordination._statuses import Member
from swiftjunction.coordination._statuses import MEMBER_PREFIX
from swiftjunction.coordination._statuses import MemberStatus
from swiftjunction.coordination._watching import PeerMonitor
from swiftjunction.coordination.leadership import ControlLoops
from swiftjunction.coordination.leadership import Coordinator
from swiftjunction.coordination.leadership import CoordinatorTask
from swiftjunction.coordination.leadership import DeploymentEvents
from swiftjunction.coordination.leadership import Duty
from swiftjunction.coordination.leadership import DutyFitness
from swiftjunction.coordination.leadership import EngineFitness
from swiftjunction.coordination.records import OriginArchive
from swiftjunction.coordination.records import SharedOrigins
from swiftjunction.coordination.records import StoreCrashRegistry

__all__ = [
    'Catalog',
    'ConfigurationConfirmer',
    'ControlLoops',
    'Coordinator',
    'CoordinatorAccess',
    'CoordinatorTask',
    'DeploymentEvents',
    'DeploymentReader',
    'Duty',
    'DutyFitness',
    'EngineFitness',
    'FailoverStore',
    'FeedConfirmation',
    'FeedRefresher',
    'FeedSync',
    'MEMBER_PREFIX',
    'Member',
    'MemberStatus',
    'MemberTable',
    'OriginArchive',
    'OutageProbe',
    'PeerApp',
    'PeerBatchAccess',
    'PeerClient',
    'PeerDatagrams',
    'PeerMonitor',
    'PeerPoller',
    'PeerStore',
    'PermitCall',
    'SharedClock',
    'SharedFeed',
    'SharedOrigins',
    'SharedPermits',
    'StoreCrashRegistry',
    'TunnelPaths',
    'VmReport',
    'confirm_servers',
    'list_store_relays',
]
