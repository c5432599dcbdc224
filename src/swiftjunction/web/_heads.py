"""Connections that bound the heads of responses, and reset if cut short.

httpcore bounds a single head, but reads any number of informational ones
(status 1xx) before the response.
"""

import collections.abc
import contextlib
import socket
import ssl
import struct
import typing

import httpcore

# A valid head has some KB, with an informational one or two before it. h11
# itself cuts off a single head at 100 KB.
MAX_HEAD_BYTES = 128 * 1024
# Limits one read before the head is complete, as all informational heads in it
# are parsed in one turn of the event loop.
HEAD_READ_BYTES = 4 * 1024
# Lingering for no time makes the system reset a connection as it is closed.
RESET_LINGER = struct.pack('ii', 1, 0)

SocketOptions = collections.abc.Iterable[httpcore.SOCKET_OPTION]


class HeadBoundBackend(httpcore.AsyncNetworkBackend):
    """Opens connections that bound the bytes of the heads they receive.

    Parameters
    ----------
    backend : AsyncNetworkBackend, optional
        Opens the connections; by default, directly.
    """

    def __init__(
        self, backend: httpcore.AsyncNetworkBackend | None = None
    ) -> None:
        self._backend = backend or httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: SocketOptions | None = None,
    ) -> httpcore.AsyncNetworkStream:
        try:
            stream = await self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        except (ExceptionGroup, ValueError, OverflowError) as error:
            # What the system and its name resolution raise for a host or a
            # port that cannot exist. httpcore passes these errors on.
            raise httpcore.ConnectError(str(error)) from error
        return HeadBoundStream(stream)

    async def sleep(self, seconds: float) -> None:
        await self._backend.sleep(seconds)


class HeadBoundStream(httpcore.AsyncNetworkStream):
    """A connection that receives at most ``MAX_HEAD_BYTES`` for a head.

    If it is closed during an exchange, it is reset, so that the system does
    not send on what the server has not yet read.

    Parameters
    ----------
    stream : AsyncNetworkStream
        The connection itself.

    Attributes
    ----------
    reads : int
        Number of reads so far.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        self.reads = 0
        self._awaits_head = True
        self._head_bytes = 0
        self._in_exchange = False

    def end_head(self) -> None:
        """Stop counting, as the head of the response is complete."""
        self._awaits_head = False

    def end_exchange(self) -> None:
        """Stop resetting on close, as the response is complete."""
        self._in_exchange = False

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        if self._awaits_head:
            if self._head_bytes > MAX_HEAD_BYTES:
                raise httpcore.RemoteProtocolError(
                    f'response head exceeds {MAX_HEAD_BYTES} bytes'
                )
            max_bytes = min(max_bytes, HEAD_READ_BYTES)
        self.reads += 1
        data = await self._stream.read(max_bytes, timeout)
        self._head_bytes += len(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        # The next response follows.
        self._awaits_head = True
        self._head_bytes = 0
        self._in_exchange = True
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        if self._in_exchange:
            self._set_reset()
        await self._stream.aclose()

    def _set_reset(self) -> None:
        raw_socket = self._stream.get_extra_info('socket')
        # The connection may be closed already.
        with contextlib.suppress(OSError):
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER
            )

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        return HeadBoundStream(
            await self._stream.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, info: str) -> typing.Any:
        return self._stream.get_extra_info(info)
