"""Keeps finished samples on the disks of a few VMs."""

from swiftjunction.spool._client import SpoolClient
from swiftjunction.spool._messages import Payload
from swiftjunction.spool._server import SpoolServer
from swiftjunction.spool._store import SpoolStore

__all__ = ['Payload', 'SpoolClient', 'SpoolServer', 'SpoolStore']
