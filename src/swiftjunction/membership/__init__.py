"""Daemons, the state they share, and who owns what."""

from swiftjunction.membership._exchange import Exchange
from swiftjunction.membership._processes import Announcement
from swiftjunction.membership._processes import Process
from swiftjunction.membership._processes import ProcessList
from swiftjunction.membership._records import RecordTable
from swiftjunction.membership._rendezvous import choose_owner
from swiftjunction.membership._rendezvous import rank_owners

__all__ = [
    'Announcement',
    'Exchange',
    'Process',
    'ProcessList',
    'RecordTable',
    'choose_owner',
    'rank_owners',
]
