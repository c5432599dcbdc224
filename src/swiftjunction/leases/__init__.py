"""Leases on platform objects, with fencing tokens."""

from swiftjunction.leases._keeper import LeaseKeeper
from swiftjunction.leases._lease import Lease

__all__ = ['Lease', 'LeaseKeeper']
