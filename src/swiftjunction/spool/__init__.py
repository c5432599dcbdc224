"""Spools, which store finished samples on disk or in memory."""

from swiftjunction.spool._client import SpoolClient
from swiftjunction.spool._messages import Payload
from swiftjunction.spool._server import SpoolServer
from swiftjunction.spool._store import DiskStore
from swiftjunction.spool._store import MemoryStore
from swiftjunction.spool._store import Store

__all__ = [
    'DiskStore',
    'MemoryStore',
    'Payload',
    'SpoolClient',
    'SpoolServer',
    'Store',
]
