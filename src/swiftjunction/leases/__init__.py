"""Leases in the object store, with fencing tokens."""

from swiftjunction.leases._keeper import LeaseKeeper
from swiftjunction.leases._lease import Lease
from swiftjunction.leases._lease import LeaseTiming
from swiftjunction.leases._lease import read_boot_clock
from swiftjunction.leases._listing import LeaseState
from swiftjunction.leases._listing import list_leases

__all__ = [
    'Lease',
    'LeaseKeeper',
    'LeaseState',
    'LeaseTiming',
    'list_leases',
    'read_boot_clock',
]
