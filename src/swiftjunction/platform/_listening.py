"""Sockets of an edge VM for callers, the platform and peers."""

from swiftjunction import coordination
from swiftjunction.platform import _settings
from swiftjunction import web

# Longer than callers keep an idle connection open.
KEEP_ALIVE_TIMEOUT_SECONDS = 75.0


def open_listener(settings: _settings.EdgeSettings) -> web.HttpListener:
    """Return a listener at all addresses that callers or the platform use."""
    sockets = []
    addresses = [settings.front, settings.readiness, settings.directory]
    for address in filter(None, addresses):
        ip, _, port = address.rpartition(':')
        sockets.append(web.bind_socket(ip, int(port)))
    return web.HttpListener(
        *sockets, keep_alive_seconds=KEEP_ALIVE_TIMEOUT_SECONDS
    )


def open_datagrams(
    settings: _settings.EdgeSettings,
) -> coordination.PeerDatagrams:
    """Return the datagrams at the address for peers."""
    return coordination.PeerDatagrams(
        lambda: web.bind_datagram_socket(settings.ip, settings.peer_port)
    )
