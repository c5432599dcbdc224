"""Message transports between daemons: UDP, and pynng for large messages."""

import abc
import collections.abc
import logging
import socket

import anyio
import anyio.abc
import msgspec

from swiftjunction import errors
from swiftjunction.links import _messages
from swiftjunction.links import _sockets
from swiftjunction import web

LOG = logging.getLogger(__name__)

# Fits an Ethernet frame without fragmentation. A datagram takes one sixth of
# the processor time of a pynng message.
MAX_DATAGRAM_BYTES = 1400
MAX_QUEUED_DATAGRAMS = 2048
RECEIVE_BUFFER_BYTES = 1024 * 1024
# A link that was not used for this time is closed.
IDLE_LINK_SECONDS = 10.0
MAX_LINKS = 32

Handler = collections.abc.Callable[[_messages.Message], None]


class Traffic(msgspec.Struct):
    """Counters of the messages that a transport sent and received.

    Attributes
    ----------
    sent_messages, sent_bytes : int
        Messages passed to the transport, including those dropped later.
    dropped_messages : int
        Messages not sent, except those that the open links count.
    """

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0


class MessageTransport(abc.ABC):
    """Sends messages, each of which may be lost or delayed.

    Attributes
    ----------
    address : str
        ``ip:port`` at which peers reach this process.
    """

    __slots__ = ('address',)

    address: str

    @abc.abstractmethod
    def post(self, message: _messages.Message, address: str) -> None:
        """Send `message` to `address` without blocking."""


class PeerTransport(MessageTransport):
    """Sends small messages as datagrams and large ones over pynng links.

    Links are opened on demand and closed when they have been idle, so that a
    daemon holds few sockets; there are at most ``MAX_LINKS`` of them.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on, both for TCP and for UDP.
    """

    __slots__ = (
        '_datagram_receiver',
        '_datagram_sender',
        '_inbox',
        '_links',
        '_tasks',
        'traffic',
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.traffic = Traffic()
        self._inbox = _sockets.Inbox(address)
        self._links: dict[str, _Link] = {}
        self._datagram_sender, self._datagram_receiver = (
            anyio.create_memory_object_stream[tuple[bytes, str]](
                MAX_QUEUED_DATAGRAMS
            )
        )
        self._tasks: anyio.abc.TaskGroup | None = None

    def post(self, message: _messages.Message, address: str) -> None:
        if not web.is_address(address):
            # Reply addresses are taken from messages of peers unchecked.
            self.traffic.dropped_messages += 1
            return
        data = _messages.encode_message(message)
        self.traffic.sent_messages += 1
        self.traffic.sent_bytes += len(data)
        try:
            if len(data) <= MAX_DATAGRAM_BYTES:
                self._datagram_sender.send_nowait((data, address))
            else:
                self._open_link(address).outbox.post(message)
        except (anyio.WouldBlock, errors.LinkError):
            self.traffic.dropped_messages += 1

    def count_dropped(self) -> dict[str, int]:
        """Return the number of dropped messages by address of the link."""
        return {a: link.outbox.dropped for a, link in self._links.items()}

    async def run(self, handle: Handler) -> None:
        """Call `handle` with each received message until cancelled."""
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
        """Close the listening TCP socket."""
        self._inbox.close()

    async def _send_datagrams(self, udp: anyio.abc.UDPSocket) -> None:
        async for data, address in self._datagram_receiver:
            try:
                host, port = web.parse_address(address)
                await udp.sendto(data, host, port)
            except (OSError, ValueError):
                self.traffic.dropped_messages += 1

    async def _receive_datagrams(
        self, udp: anyio.abc.UDPSocket, handle: Handler
    ) -> None:
        async for data, (host, port) in udp:
            try:
                message = _messages.decode_message(
                    data, web.format_address(host, port)
                )
            except errors.LinkError as error:
                LOG.warning('dropped an invalid datagram: %s', error)
                continue
            self._count_received(len(data))
            handle(message)

    async def _receive_large(self, handle: Handler) -> None:
        while True:
            message, size = await self._inbox.receive_sized()
            self._count_received(size)
            handle(message)

    def _count_received(self, size: int) -> None:
        self.traffic.received_messages += 1
        self.traffic.received_bytes += size

    def _open_link(self, address: str) -> '_Link':
        link = self._links.get(address)
        if link is None:
            if self._tasks is None or len(self._links) >= MAX_LINKS:
                raise errors.LinkError(
                    'transport is not running or has too many open links',
                    step='open',
                    peer=address,
                )
            link = _Link(address)
            self._links[address] = link
            self._tasks.start_soon(link.run)
        link.last_used_at = anyio.current_time()
        return link

    async def _close_idle_links(self) -> None:
        while True:
            await anyio.sleep(IDLE_LINK_SECONDS / 2)
            oldest_use = anyio.current_time() - IDLE_LINK_SECONDS
            for address, link in list(self._links.items()):
                if link.last_used_at < oldest_use:
                    del self._links[address]
                    link.scope.cancel()


class _Link:
    """An open link and the time of its last use."""

    __slots__ = ('last_used_at', 'outbox', 'scope')

    def __init__(self, address: str) -> None:
        self.outbox = _sockets.Outbox(address)
        self.scope = anyio.CancelScope()
        self.last_used_at = 0.0

    async def run(self) -> None:
        with self.scope:
            await self.outbox.run()
