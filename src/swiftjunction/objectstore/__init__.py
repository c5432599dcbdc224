"""Clients of the platform's object store and VM list."""

from swiftjunction.objectstore._broken import BrokenObjects
from swiftjunction.objectstore._following import CallbackListener
from swiftjunction.objectstore._following import follow
from swiftjunction.objectstore._following import Listener
from swiftjunction.objectstore._following import WATCH_SECONDS
from swiftjunction.objectstore._objects import ChangeSet
from swiftjunction.objectstore._objects import decode_value
from swiftjunction.objectstore._objects import HttpObjectStore
from swiftjunction.objectstore._objects import Object
from swiftjunction.objectstore._objects import ObjectStore
from swiftjunction.objectstore._resilient import ResilientObjectStore
from swiftjunction.objectstore._vms import Vm
from swiftjunction.objectstore._vms import VmList
from swiftjunction.objectstore._writes import create_or_confirm
from swiftjunction.objectstore._writes import update_or_confirm

__all__ = [
    'BrokenObjects',
    'CallbackListener',
    'ChangeSet',
    'HttpObjectStore',
    'Listener',
    'Object',
    'ObjectStore',
    'ResilientObjectStore',
    'Vm',
    'VmList',
    'WATCH_SECONDS',
    'create_or_confirm',
    'decode_value',
    'follow',
    'update_or_confirm',
]
