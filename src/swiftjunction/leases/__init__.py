"""Leases in the object store, with fencing tokens."""

from swiftjunction.leases._holders import LeaseHolder
from swiftjunction.leases._holders import list_holders
from swiftjunction.leases._keeper import LeaseKeeper
from swiftjunction.leases._lease import Lease
from swiftjunction.leases._lease import LeaseTiming
from swiftjunction.leases._lease import read_boot_clock

__all__ = [
    'Lease',
    'LeaseHolder',
    'LeaseKeeper',
    'LeaseTiming',
    'list_holders',
    'read_boot_clock',
]
