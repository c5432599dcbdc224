"""Sockets of an edge VM for callers, the platform and peers."""

import collections.abc
import logging
import socket
import typing

import anyio

from swiftjunction import coordination
from swiftjunction import errors
from swiftjunction.platform import _settings
from swiftjunction import web

LOG = logging.getLogger(__name__)

# Longer than callers keep an idle connection open.
KEEP_ALIVE_TIMEOUT_SECONDS = 75.0
# Requests in progress end 0.15 s earlier (requests.GracePeriod), so that their
# responses are sent before. Connections that are still open then are idle, or
# their callers do not read: they would keep the process until it is killed.
GRACEFUL_TIMEOUT_SECONDS = 1.2
# The process before this one may still have the addresses as it ends.
MAX_ADDRESS_WAIT_SECONDS = 5.0
ADDRESS_RETRY_SECONDS = 0.1
METRICS_RETRY_SECONDS = 2.0


async def wait_for_addresses(settings: _settings.EdgeSettings) -> None:
    """Wait until no other process has an address that this one needs.

    Raises
    ------
    AddressInUse
        If one still has after `MAX_ADDRESS_WAIT_SECONDS`.
    SettingsError
        If an address is not one of this VM.
    """
    give_up_at = anyio.current_time() + MAX_ADDRESS_WAIT_SECONDS
    is_reported = False
    while True:
        try:
            _check_addresses(settings)
            return
        except errors.AddressInUse as error:
            if anyio.current_time() >= give_up_at:
                raise
            if not is_reported:
                LOG.warning('waiting for an address: %s', error)
            is_reported = True
        await anyio.sleep(ADDRESS_RETRY_SECONDS)


def open_listener(
    settings: _settings.EdgeSettings, policy: web.ClientPolicy
) -> web.HttpListener:
    """Return a listener at all addresses that callers or the platform use."""
    return web.HttpListener(
        *(web.bind_socket(*item) for item in _list_caller_addresses(settings)),
        keep_alive_seconds=KEEP_ALIVE_TIMEOUT_SECONDS,
        graceful_seconds=GRACEFUL_TIMEOUT_SECONDS,
        policy=policy,
    )


def open_datagrams(
    settings: _settings.EdgeSettings,
) -> coordination.PeerDatagrams:
    """Return the datagrams at the address for peers."""
    return coordination.PeerDatagrams(
        lambda: web.bind_datagram_socket(settings.ip, settings.peer_port)
    )


class MetricsPort:
    """The port for metrics, which another process may have.

    Parameters
    ----------
    ip : str
        Address of this VM.
    port : int
        The port.
    """

    __slots__ = ('_ip', '_port')

    def __init__(self, ip: str, port: int) -> None:
        self._ip = ip
        self._port = port

    def open(self) -> list[socket.socket]:
        """Return a listening socket, or none if the port cannot be bound."""
        try:
            return [web.bind_socket(self._ip, self._port)]
        except errors.SettingsError as error:
            LOG.warning(
                'no metrics until their port is free: %s',
                error,
                extra={'port': self._port},
            )
            return []

    async def serve_later(self, app: typing.Any) -> None:
        """Serve an application once the port can be bound."""
        while True:
            await anyio.sleep(METRICS_RETRY_SECONDS)
            try:
                bound_socket = web.bind_socket(self._ip, self._port)
            except errors.SettingsError:
                continue
            LOG.info('the port for metrics is free')
            await web.HttpListener(bound_socket).serve(app)


def _check_addresses(settings: _settings.EdgeSettings) -> None:
    """Raise a SettingsError if an address cannot be bound."""
    for ip, port in _list_caller_addresses(settings):
        web.check_address(ip, port)
    web.check_address(settings.ip, settings.peer_port)
    web.bind_datagram_socket(settings.ip, settings.peer_port).close()


def _list_caller_addresses(
    settings: _settings.EdgeSettings,
) -> collections.abc.Iterator[tuple[str, int]]:
    addresses = [settings.front, settings.readiness, settings.directory]
    for address in dict.fromkeys(filter(None, addresses)):
        yield web.parse_address(address)
