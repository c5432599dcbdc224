"""Keeps finished samples, on disks where VMs have them."""

from swiftjunction.spool._client import SpoolClient
from swiftjunction.spool._messages import Payload
from swiftjunction.spool._server import SpoolServer
from swiftjunction.spool._store import MemoryStore
from swiftjunction.spool._store import SpoolStore
from swiftjunction.spool._store import Store

__all__ = [
    'MemoryStore',
    'Payload',
    'SpoolClient',
    'SpoolServer',
    'SpoolStore',
    'Store',
]
