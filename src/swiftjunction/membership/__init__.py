"""Membership, failure detection and replication of records.

Each daemon has a copy of the shared records. Conductors relay changes along
a tree, repair differences by comparing hashes, and probe each other.

This is the membership of the processes of :mod:`swiftjunction.daemons`. The
processes of :mod:`swiftjunction.platform` have another one, which
:mod:`swiftjunction.coordination` defines.
"""

from swiftjunction.membership._exchange import Replicator
from swiftjunction.membership._member import MembershipAgent
from swiftjunction.membership._probing import Prober
from swiftjunction.membership._processes import Announcement
from swiftjunction.membership._processes import declare_dead
from swiftjunction.membership._processes import Process
from swiftjunction.membership._processes import ProcessList
from swiftjunction.membership._records import RecordTable
from swiftjunction.membership._rendezvous import choose_owner
from swiftjunction.membership._rendezvous import rank_owners
from swiftjunction.membership._topology import find_probe_targets
from swiftjunction.membership._topology import find_relay_neighbours
from swiftjunction.membership._topology import find_watchers

__all__ = [
    'Announcement',
    'MembershipAgent',
    'Prober',
    'Process',
    'ProcessList',
    'RecordTable',
    'Replicator',
    'choose_owner',
    'declare_dead',
    'find_probe_targets',
    'find_relay_neighbours',
    'find_watchers',
    'rank_owners',
]
