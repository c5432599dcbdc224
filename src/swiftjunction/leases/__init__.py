"""Leases on platform objects, with fencing tokens."""

from swiftjunction.leases._lease import Lease
from swiftjunction.leases._lease import LeaseKeeper

__all__ = ['Lease', 'LeaseKeeper']
