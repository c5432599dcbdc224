"""Leases in the object store, with fencing tokens."""

from swiftjunction.leases._holders import LeaseState
from swiftjunction.leases._holders import list_leases
from swiftjunction.leases._keeper import LeaseKeeper
from swiftjunction.leases._lease import Lease
from swiftjunction.leases._lease import LeaseTiming
from swiftjunction.leases._lease import read_boot_clock

__all__ = [
    'Lease',
    'LeaseKeeper',
    'LeaseState',
    'LeaseTiming',
    'list_leases',
    'read_boot_clock',
]
