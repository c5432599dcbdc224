"""The end of a tunnel at the VM that sends requests through it."""

import anyio
import httpcore

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction.tunnels import _messages
from swiftjunction import web

INVALID_REPLY_ERRORS = (
    errors.ContentBroken,
    httpcore.NetworkError,
    ValueError,
)


class TunnelBackend(httpcore.AsyncNetworkBackend):
    """Opens connections to servers through one peer.

    All errors before the connection is open are those of connecting, as
    nothing of a request has been sent.

    Parameters
    ----------
    tunnel_address : str
        ``ip:port`` at which the peer serves tunnels.
    """

    def __init__(self, tunnel_address: str) -> None:
        self._address = tunnel_address
        self._backend = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: web.SocketOptions | None = None,
    ) -> httpcore.AsyncNetworkStream:
        try:
            with anyio.fail_after(timeout):
                stream, outcome = await self.open(
                    web.format_address(host, port), socket_options
                )
        except TimeoutError as error:
            raise httpcore.ConnectTimeout(
                'the peer opened no tunnel in time'
            ) from error
        if outcome is not _messages.TunnelOutcome.CONNECTED:
            await stream.aclose()
            raise httpcore.ConnectError(
                f'the peer opened no tunnel: {outcome.value}'
            )
        return stream

    async def open(
        self, address: str, socket_options: web.SocketOptions | None
    ) -> tuple[httpcore.AsyncNetworkStream, _messages.TunnelOutcome]:
        """Return a connection to the peer, and what became of the tunnel.

        Raises
        ------
        httpcore.ConnectError
            If the peer does not answer as one that serves tunnels.
        """
        try:
            host, port = web.parse_address(self._address)
        except ValueError as error:
            raise httpcore.ConnectError(str(error)) from error
        stream = await self._backend.connect_tcp(
            host, port, socket_options=socket_options
        )
        try:
            await stream.write(
                _messages.encode_message(_messages.TunnelRequest(address))
            )
            return stream, await _read_outcome(stream)
        except BaseException as error:
            with anyio.CancelScope(shield=True):
                await stream.aclose()
            if isinstance(error, INVALID_REPLY_ERRORS):
                raise httpcore.ConnectError(
                    f'the peer opened no tunnel: {error}'
                ) from error
            raise

    async def sleep(self, seconds: float) -> None:
        await self._backend.sleep(seconds)


async def _read_outcome(
    stream: httpcore.AsyncNetworkStream,
) -> _messages.TunnelOutcome:
    """Return the outcome that the peer sends; ``ValueError`` without one."""
    head = await _read_exactly(stream, _messages.LENGTH_FORMAT.size)
    (length,) = _messages.LENGTH_FORMAT.unpack(head)
    if length > _messages.MAX_MESSAGE_BYTES:
        raise ValueError(f'a message of {length} bytes is too long')
    content = await _read_exactly(stream, length)
    return decoding.decode_msgpack(content, _messages.TunnelReply).outcome


async def _read_exactly(
    stream: httpcore.AsyncNetworkStream, length: int
) -> bytes:
    content = b''
    while len(content) < length:
        data = await stream.read(length - len(content))
        if not data:
            raise ValueError('the peer closed the connection')
        content += data
    return content


async def probe(
    tunnel_address: str, server_address: str, timeout_seconds: float
) -> _messages.TunnelOutcome | None:
    """Ask a peer whether a server accepts a connection from it.

    Returns
    -------
    TunnelOutcome or None
        None if the peer did not answer.
    """
    backend = TunnelBackend(tunnel_address)
    with anyio.move_on_after(timeout_seconds):
        try:
            stream, outcome = await backend.open(server_address, None)
        except (httpcore.NetworkError, httpcore.TimeoutException):
            return None
        await stream.aclose()
        return outcome
    return None
