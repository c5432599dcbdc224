"""Daemons, the state they share, and who owns what."""

from swiftjunction.membership._exchange import Exchange
from swiftjunction.membership._member import Member
from swiftjunction.membership._probing import Prober
from swiftjunction.membership._processes import Announcement
from swiftjunction.membership._processes import declare_dead
from swiftjunction.membership._processes import Process
from swiftjunction.membership._processes import ProcessList
from swiftjunction.membership._records import RecordTable
from swiftjunction.membership._rendezvous import choose_owner
from swiftjunction.membership._rendezvous import rank_owners
from swiftjunction.membership._topology import find_neighbours
from swiftjunction.membership._topology import find_targets
from swiftjunction.membership._topology import find_watchers

__all__ = [
    'Announcement',
    'Exchange',
    'Member',
    'Prober',
    'Process',
    'ProcessList',
    'RecordTable',
    'choose_owner',
    'declare_dead',
    'find_neighbours',
    'find_targets',
    'find_watchers',
    'rank_owners',
]
