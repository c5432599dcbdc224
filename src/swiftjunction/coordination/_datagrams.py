"""Datagrams between VMs, over one UDP socket of each.

A datagram takes far less processor time than an HTTP request. It may be lost,
so that whoever needs an answer sends again or goes another way.
"""

import collections.abc
import logging
import socket
import typing

import anyio
import anyio.abc
import msgspec

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import web

LOG = logging.getLogger(__name__)

# How long messages wait for the socket as the process starts.
FIRST_OPEN_TIMEOUT_SECONDS = 0.5

# Called with a message and the address of its sender as ``ip:port``.
Handler = collections.abc.Callable[
    [typing.Any, str], collections.abc.Awaitable[None]
]


class PeerDatagrams:
    """Sends messages to peers, and receives theirs.

    Parameters
    ----------
    bind : callable
        Returns a new UDP socket, bound to the peer address of this VM.
    """

    __slots__ = (
        '_bind',
        '_first_open',
        '_handlers',
        '_send_lock',
        '_sock',
        '_udp',
    )

    def __init__(
        self, bind: collections.abc.Callable[[], socket.socket]
    ) -> None:
        self._bind = bind
        # Bound before any message may be expected; None once it was used.
        self._sock: socket.socket | None = bind()
        # None while the socket is closed.
        self._udp: anyio.abc.UDPSocket | None = None
        # Set when the socket was open for the first time, or could not be.
        self._first_open = anyio.Event()
        # Several tasks send.
        self._send_lock = anyio.Lock(fast_acquire=True)
        self._handlers: dict[type[msgspec.Struct], Handler] = {}

    def listen(self, kind: type[msgspec.Struct], handler: Handler) -> None:
        """Pass received messages of a class, which has a tag, to `handler`.

        Must be called before :meth:`run`.
        """
        self._handlers[kind] = handler

    async def run(self) -> None:
        """Receive messages until cancelled; may be called again after that.

        Raises
        ------
        ConnectionError
            If the socket was closed, or cannot be bound again.
        """
        kinds: typing.Any = typing.Union[tuple(self._handlers)]
        decoder = msgspec.msgpack.Decoder(kinds)
        try:
            sock = self._take_socket()
            udp = await anyio.abc.UDPSocket.from_socket(sock)
            self._udp = udp
            self._first_open.set()
            await self._receive(udp, decoder)
        finally:
            self._udp = None
            self._first_open.set()
        raise ConnectionError('the socket for datagrams was closed')

    def _take_socket(self) -> socket.socket:
        sock, self._sock = self._sock, None
        if sock is not None:
            return sock
        try:
            return self._bind()
        except errors.SettingsError as error:
            raise ConnectionError(str(error)) from error

    async def _receive(
        self, udp: anyio.abc.UDPSocket, decoder: msgspec.msgpack.Decoder
    ) -> None:
        async with udp:
            async for data, (host, port) in udp:
                sender = web.format_address(host, port)
                try:
                    message = decoding.decode(decoder.decode, data)
                    handler = self._handlers[type(message)]
                    await handler(message, sender)
                except (errors.ContentBroken, ValueError) as error:
                    # The handler cannot reply to an invalid sender address.
                    LOG.warning(
                        'ignoring an invalid datagram: %s',
                        error,
                        extra={'peer': sender},
                    )
                except Exception:
                    # Whoever sent it must not end this process.
                    LOG.exception(
                        'cannot handle a datagram',
                        extra={'peer': sender},
                    )

    async def send(self, message: msgspec.Struct, address: str) -> None:
        """Send a message to ``ip:port``; it may be lost.

        It is lost while the socket is closed. As the process starts, it waits
        for the socket for a moment.

        Raises
        ------
        ValueError
            If the address is invalid.
        """
        host, port = web.parse_address(address)
        with anyio.move_on_after(FIRST_OPEN_TIMEOUT_SECONDS):
            await self._first_open.wait()
        async with self._send_lock:
            udp = self._udp
            if udp is None:
                return
            try:
                await udp.sendto(msgspec.msgpack.encode(message), host, port)
            except (
                OSError,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ) as error:
                # The same as a lost datagram.
                LOG.debug('cannot send to %s:%s: %s', host, port, error)
