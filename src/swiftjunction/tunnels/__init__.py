"""Connections to backend servers that lead through another VM.

A VM that is cut off from a server connects to a peer that reaches it. The peer
opens the connection and passes bytes on, both ways; it reads none of them.
"""

from swiftjunction.tunnels._client import probe
from swiftjunction.tunnels._client import TunnelBackend
from swiftjunction.tunnels._messages import TunnelOutcome
from swiftjunction.tunnels._server import open_tunnel_server
from swiftjunction.tunnels._server import TunnelServer

__all__ = [
    'TunnelBackend',
    'TunnelOutcome',
    'TunnelServer',
    'open_tunnel_server',
    'probe',
]
