"""The end of a tunnel at the VM that reaches the server."""

import collections.abc
import contextlib
import logging
import socket

import anyio
import anyio.abc

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction.tunnels import _messages
from swiftjunction import web

LOG = logging.getLogger(__name__)

CHUNK_BYTES = 64 * 1024
REQUEST_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.3
ACCEPT_RETRY_SECONDS = 0.1
# Each takes two descriptors, and at most a chunk of memory each way.
MAX_TUNNELS = 512
# Connections of peers that have not yet named an address.
MAX_PENDING_PEERS = 16
# How long a tunnel whose server has closed it waits for the peer to do so.
CLOSE_TIMEOUT_SECONDS = 5.0

# An error by which one end of a tunnel shows that the connection broke.
BROKEN = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)

OutcomeListener = collections.abc.Callable[
    [str, _messages.TunnelOutcome], None
]


class TunnelServer:
    """Connects peers to backend servers, and passes their bytes on.

    Parameters
    ----------
    sock : socket
        The listening socket.
    is_server : callable
        Returns whether a backend server is listed at an address. Tunnels lead
        to no other address.
    max_tunnels : int, optional
        How many may be open at once; at most ``MAX_TUNNELS``, which is the
        default.

    Attributes
    ----------
    port : int
        Port of the socket.
    """

    __slots__ = (
        '_is_server',
        '_listeners',
        '_max_tunnels',
        '_peers',
        '_sock',
        '_tunnels',
        'port',
    )

    def __init__(
        self,
        sock: socket.socket,
        is_server: collections.abc.Callable[[str], bool],
        max_tunnels: int | None = None,
    ) -> None:
        if max_tunnels is None:
            max_tunnels = MAX_TUNNELS
        self._max_tunnels = min(max_tunnels, MAX_TUNNELS)
        self._peers = 0
        self._sock = sock
        self._is_server = is_server
        self._listeners: list[OutcomeListener] = []
        self._tunnels = 0
        self.port: int = sock.getsockname()[1]

    def listen(self, listener: OutcomeListener) -> None:
        """Call `listener` with each requested address and the outcome."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Serve tunnels until cancelled."""
        listener = await anyio.abc.SocketListener.from_socket(self._sock)
        async with listener, anyio.create_task_group() as tasks:
            while True:
                try:
                    peer = await listener.accept()
                except OSError as error:
                    # For example, too many open files.
                    LOG.warning('cannot accept a tunnel: %s', error)
                    await anyio.sleep(ACCEPT_RETRY_SECONDS)
                    continue
                if self._peers >= self._max_tunnels + MAX_PENDING_PEERS:
                    await anyio.aclose_forcefully(peer)
                    continue
                self._peers += 1
                tasks.start_soon(self._serve, peer)

    async def _serve(self, peer: anyio.abc.SocketStream) -> None:
        try:
            await self._serve_peer(peer)
        finally:
            self._peers -= 1

    async def _serve_peer(self, peer: anyio.abc.SocketStream) -> None:
        async with peer:
            try:
                await self._serve_tunnel(peer)
            except (*BROKEN, anyio.EndOfStream):
                # A TimeoutError, too, is an OSError.
                LOG.debug('a tunnel broke before it was open')
            except (errors.ContentBroken, ValueError) as error:
                LOG.warning('ignoring an invalid tunnel request: %s', error)
            except Exception:
                # One tunnel must not end the others, or the process.
                LOG.exception('unhandled error in a tunnel')

    async def _serve_tunnel(self, peer: anyio.abc.SocketStream) -> None:
        _set_options(peer)
        with anyio.fail_after(REQUEST_TIMEOUT_SECONDS):
            address = await _read_address(peer)
        outcome, server = await self._connect(address)
        for listener in self._listeners:
            listener(address, outcome)
        if server is None:
            await _send_reply(peer, outcome)
            return
        self._tunnels += 1
        try:
            async with server:
                _set_options(server)
                await _send_reply(peer, outcome)
                await _relay(peer, server)
        finally:
            self._tunnels -= 1

    async def _connect(
        self, address: str
    ) -> tuple[_messages.TunnelOutcome, anyio.abc.SocketStream | None]:
        if not self._is_server(address):
            return _messages.TunnelOutcome.UNKNOWN_SERVER, None
        if self._tunnels >= self._max_tunnels:
            return _messages.TunnelOutcome.BUSY, None
        try:
            host, port = web.parse_address(address)
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                server = await anyio.connect_tcp(host, port)
        except (TimeoutError, ValueError):
            return _messages.TunnelOutcome.UNREACHABLE, None
        except OSError as error:
            # anyio raises an OSError of its own from that of the system.
            if isinstance(error.__cause__, ConnectionRefusedError):
                return _messages.TunnelOutcome.REFUSED, None
            return _messages.TunnelOutcome.UNREACHABLE, None
        return _messages.TunnelOutcome.CONNECTED, server


async def _read_address(peer: anyio.abc.SocketStream) -> str:
    head = await _receive_exactly(peer, _messages.LENGTH_FORMAT.size)
    (length,) = _messages.LENGTH_FORMAT.unpack(head)
    if length > _messages.MAX_MESSAGE_BYTES:
        raise ValueError(f'a message of {length} bytes is too long')
    content = await _receive_exactly(peer, length)
    request = decoding.decode_msgpack(content, _messages.TunnelRequest)
    return request.address


async def _receive_exactly(peer: anyio.abc.SocketStream, length: int) -> bytes:
    content = b''
    while len(content) < length:
        content += await peer.receive(length - len(content))
    return content


async def _send_reply(
    peer: anyio.abc.SocketStream, outcome: _messages.TunnelOutcome
) -> None:
    await peer.send(_messages.encode_message(_messages.TunnelReply(outcome)))


async def _relay(
    peer: anyio.abc.SocketStream, server: anyio.abc.SocketStream
) -> None:
    """Pass bytes on until one end has closed its connection.

    A connection that broke is reset at the other end too, so that a response
    that is cut short never looks complete.
    """
    ended = False
    try:
        async with anyio.create_task_group() as tasks:

            async def send_requests() -> None:
                await _copy(peer, server)
                # An HTTP client that closes its connection wants no response.
                tasks.cancel_scope.cancel()

            tasks.start_soon(send_requests)
            await _copy(server, peer)
            await peer.send_eof()
            await anyio.sleep(CLOSE_TIMEOUT_SECONDS)
            tasks.cancel_scope.cancel()
        ended = True
    except* BROKEN:
        LOG.debug('a tunnel broke')
    finally:
        if not ended:
            _reset(peer, server)


async def _copy(
    source: anyio.abc.SocketStream, sink: anyio.abc.SocketStream
) -> None:
    """Pass bytes on until the source ends, at the pace of the sink."""
    with contextlib.suppress(anyio.EndOfStream):
        while True:
            await sink.send(await source.receive(CHUNK_BYTES))


def _set_options(stream: anyio.abc.SocketStream) -> None:
    """Make the system notice that the other end has become unreachable."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    for level, name, value in web.SOCKET_OPTIONS:
        with contextlib.suppress(OSError):
            raw_socket.setsockopt(level, name, value)


def _reset(*streams: anyio.abc.SocketStream) -> None:
    for stream in streams:
        raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        # The connection may be closed already.
        with contextlib.suppress(OSError):
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, web.RESET_LINGER
            )


def open_tunnel_server(
    ip: str,
    ports: collections.abc.Iterable[int],
    is_server: collections.abc.Callable[[str], bool],
    max_tunnels: int | None = None,
) -> TunnelServer | None:
    """Return a server at the first free one of the ports; None without one."""
    for port in ports:
        try:
            return TunnelServer(
                web.bind_socket(ip, port), is_server, max_tunnels
            )
        except errors.SettingsError:
            continue
    LOG.warning('no port is free for tunnels; peers get none from this VM')
    return None
