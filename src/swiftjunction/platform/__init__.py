"""Clients of the platform: the object API, the VM list, the weight store."""

from swiftjunction.platform._guarded import GuardedObjectStore
from swiftjunction.platform._objects import decode_value
from swiftjunction.platform._objects import HttpObjectStore
from swiftjunction.platform._objects import Object
from swiftjunction.platform._objects import ObjectStore
from swiftjunction.platform._objects import Watch
from swiftjunction.platform._vms import Vm
from swiftjunction.platform._vms import VmList
from swiftjunction.platform._writes import create_or_confirm
from swiftjunction.platform._writes import update_or_confirm

__all__ = [
    'GuardedObjectStore',
    'HttpObjectStore',
    'Object',
    'ObjectStore',
    'Vm',
    'VmList',
    'Watch',
    'create_or_confirm',
    'decode_value',
    'update_or_confirm',
]
