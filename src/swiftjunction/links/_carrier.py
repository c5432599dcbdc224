"""Carries messages between daemons: datagrams, and links for large ones."""

import abc
import collections.abc
import ipaddress
import logging
import socket

import anyio
import anyio.abc
import msgspec

from swiftjunction import errors
from swiftjunction.links import _messages
from swiftjunction.links import _sockets

LOG = logging.getLogger(__name__)

# What fits into one datagram on an Ethernet path without fragments. A
# datagram costs a sixth of the processor time of a pynng message.
MAX_DATAGRAM_BYTES = 1400
SEND_QUEUE_MESSAGES = 2048
RECEIVE_BUFFER_BYTES = 1024 * 1024
IDLE_LINK_SECONDS = 10.0
MAX_LINKS = 32

Handler = collections.abc.Callable[[_messages.Message], None]


class Traffic(msgspec.Struct):
    """What a transport has sent and received so far."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0


class MessageTransport(abc.ABC):
    """Takes messages to addresses; any of them may be lost or come late."""

    __slots__ = ('address',)

    address: str

    @abc.abstractmethod
    def post(self, message: _messages.Message, address: str) -> None:
        """Send `message` to `address` without waiting."""


class PeerTransport(MessageTransport):
    """Sends small messages as datagrams and large ones over pynng links.

    A link is opened when it is first needed and closed when it was idle for
    some time, so that a daemon holds tens of them at most.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on, both for TCP and for UDP.
    """

    __slots__ = (
        '_inbox',
        '_links',
        '_queue',
        '_tasks',
        '_waiting',
        'traffic',
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.traffic = Traffic()
        self._inbox = _sockets.Inbox(address)
        self._links: dict[str, _Link] = {}
        self._queue, self._waiting = anyio.create_memory_object_stream[
            tuple[bytes, str]
        ](SEND_QUEUE_MESSAGES)
        self._tasks: anyio.abc.TaskGroup | None = None

    def post(self, message: _messages.Message, address: str) -> None:
        if not _is_address(address):
            # Addresses to answer to come in peers' messages.
            self.traffic.dropped_messages += 1
            return
        data = _messages.encode_message(message)
        self.traffic.sent_messages += 1
        self.traffic.sent_bytes += len(data)
        try:
            if len(data) <= MAX_DATAGRAM_BYTES:
                self._queue.send_nowait((data, address))
            else:
                self._open_link(address).box.post(message)
        except (anyio.WouldBlock, errors.LinkError):
            self.traffic.dropped_messages += 1

    def count_dropped(self) -> dict[str, int]:
        """Return the messages dropped so far on each open link."""
        return {a: link.box.dropped for a, link in self._links.items()}

    async def run(self, handle: Handler) -> None:
        """Call `handle` with each message received, until cancelled."""
        host, _, port = self.address.rpartition(':')
        udp = await anyio.create_udp_socket(
            local_host=host.strip('[]'), local_port=int(port)
        )
        raw = udp.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        async with udp, anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._send_datagrams, udp)
            tasks.start_soon(self._receive_datagrams, udp, handle)
            tasks.start_soon(self._receive_large, handle)
            tasks.start_soon(self._close_idle_links)

    def close(self) -> None:
        """Close the listening socket."""
        self._inbox.close()

    async def _send_datagrams(self, udp: anyio.abc.UDPSocket) -> None:
        async for data, address in self._waiting:
            host, _, port = address.rpartition(':')
            try:
                await udp.sendto(data, host.strip('[]'), int(port))
            except (OSError, ValueError):
                self.traffic.dropped_messages += 1

    async def _receive_datagrams(
        self, udp: anyio.abc.UDPSocket, handle: Handler
    ) -> None:
        async for data, (host, port) in udp:
            try:
                message = _messages.decode_message(data, f'{host}:{port}')
            except errors.LinkError as error:
                LOG.warning('dropped a datagram: %s', error)
                continue
            self._count(len(data))
            handle(message)

    async def _receive_large(self, handle: Handler) -> None:
        while True:
            message, size = await self._inbox.receive_sized()
            self._count(size)
            handle(message)

    def _count(self, size: int) -> None:
        self.traffic.received_messages += 1
        self.traffic.received_bytes += size

    def _open_link(self, address: str) -> '_Link':
        link = self._links.get(address)
        if link is None:
            if self._tasks is None or len(self._links) >= MAX_LINKS:
                raise errors.LinkError(
                    'no link to be had now', step='open', peer=address
                )
            link = _Link(address)
            self._links[address] = link
            self._tasks.start_soon(link.run)
        link.used_at = anyio.current_time()
        return link

    async def _close_idle_links(self) -> None:
        while True:
            await anyio.sleep(IDLE_LINK_SECONDS / 2)
            limit = anyio.current_time() - IDLE_LINK_SECONDS
            for address, link in list(self._links.items()):
                if link.used_at < limit:
                    del self._links[address]
                    link.scope.cancel()


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
        return 0 < int(port) < 65536
    except ValueError:
        return False


class _Link:
    """An open link with the time of its last use."""

    __slots__ = ('box', 'scope', 'used_at')

    def __init__(self, address: str) -> None:
        self.box = _sockets.Outbox(address)
        self.scope = anyio.CancelScope()
        self.used_at = 0.0

    async def run(self) -> None:
        with self.scope:
            await self.box.run()
