"""Wrappers of pynng sockets that support anyio cancellation."""

import collections.abc
import contextlib
import logging

import anyio
import anyio.lowlevel
import pynng

from swiftjunction import errors
from swiftjunction.links import _messages

LOG = logging.getLogger(__name__)

MAX_OUTBOX_MESSAGES = 256
SEND_TIMEOUT_MS = 1000
MAX_MESSAGE_BYTES = 64 * 1024 * 1024


@contextlib.asynccontextmanager
async def _anyio_cancellation() -> collections.abc.AsyncIterator[None]:
    # When an anyio scope cancels a pynng call, pynng raises a CancelledError
    # of its own, which move_on_after does not catch. At the checkpoint, anyio
    # raises the error that the scope recognises.
    try:
        yield
    except anyio.get_cancelled_exc_class():
        await anyio.lowlevel.checkpoint()
        raise


def _listen(listener: pynng.Socket, address: str) -> None:
    """Listen on ``ip:port``.

    Raises
    ------
    SettingsError
        If that fails; the socket is closed then.
    """
    try:
        listener.listen(f'tcp://{address}')
    except pynng.NNGException as error:
        listener.close()
        raise errors.SettingsError(
            [f'cannot listen on {address}: {error}']
        ) from error


class Inbox:
    """Receives messages from any number of peers.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    """

    __slots__ = ('_socket', 'address')

    def __init__(self, address: str) -> None:
        self.address = address
        self._socket = pynng.Pull0(recv_max_size=MAX_MESSAGE_BYTES)
        _listen(self._socket, address)

    async def receive_sized(self) -> tuple[_messages.Message, int]:
        """Wait for the next valid message.

        Returns
        -------
        tuple
            The message and its size in bytes.
        """
        while True:
            async with _anyio_cancellation():
                data = await self._socket.arecv()
            try:
                return _messages.decode_message(data), len(data)
            except errors.LinkError as error:
                LOG.warning('dropped an invalid message: %s', error)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class Outbox:
    """Sends messages to one peer from a bounded queue.

    A message is dropped if the queue is full or the peer does not accept it
    in time, so that senders never block. Anti-entropy repairs the loss.

    Parameters
    ----------
    address : str
        ``ip:port`` of the :class:`Inbox` of the peer.

    Attributes
    ----------
    dropped : int
        Number of messages dropped so far.
    """

    __slots__ = ('_receiver', '_sender', 'address', 'dropped')

    def __init__(self, address: str) -> None:
        self.address = address
        self.dropped = 0
        self._sender, self._receiver = anyio.create_memory_object_stream[
            _messages.Message
        ](MAX_OUTBOX_MESSAGES)

    def post(self, message: _messages.Message) -> None:
        """Queue a message, or count it as dropped if the queue is full."""
        try:
            self._sender.send_nowait(message)
        except anyio.WouldBlock:
            self.dropped += 1

    async def run(self) -> None:
        """Send queued messages until cancelled."""
        with pynng.Push0(send_timeout=SEND_TIMEOUT_MS) as socket:
            socket.dial(f'tcp://{self.address}', block=False)
            async for message in self._receiver:
                data = _messages.encode_message(message)
                try:
                    async with _anyio_cancellation():
                        await socket.asend(data)
                except pynng.NNGException:
                    self.dropped += 1


class Requester:
    """Sends requests to one peer and waits for the replies.

    Parameters
    ----------
    address : str
        ``ip:port`` of a :class:`Replier`.
    """

    __slots__ = ('_socket', 'address')

    def __init__(self, address: str) -> None:
        self.address = address
        self._socket = pynng.Req0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.dial(f'tcp://{address}', block=False)

    async def call(self, request: bytes, timeout_seconds: float) -> bytes:
        """Send `request` and return the reply.

        If the peer disconnects after it has received the request, the wait
        may exceed the timeout.

        Raises
        ------
        LinkError
            If no reply arrives within `timeout_seconds`.
        """
        timeout_ms = int(timeout_seconds * 1000)
        with self._socket.new_context() as context:
            context.send_timeout = timeout_ms
            context.recv_timeout = timeout_ms
            try:
                async with _anyio_cancellation():
                    await context.asend(request)
                    return await context.arecv()
            except pynng.NNGException as error:
                raise errors.LinkError(
                    f'no reply: {error}', step='ask', peer=self.address
                ) from error

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class Replier:
    """Replies to requests from peers, several at a time.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    """

    __slots__ = ('_socket', 'address')

    def __init__(self, address: str) -> None:
        self.address = address
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        _listen(self._socket, address)

    async def run(
        self,
        handle: collections.abc.Callable[
            [bytes], collections.abc.Awaitable[bytes]
        ],
        task_count: int = 8,
    ) -> None:
        """Reply with the result of `handle` until cancelled.

        Up to `task_count` requests are handled concurrently.
        """
        async with anyio.create_task_group() as group:
            for _ in range(task_count):
                group.start_soon(self._serve_requests, handle)

    async def _serve_requests(
        self,
        handle: collections.abc.Callable[
            [bytes], collections.abc.Awaitable[bytes]
        ],
    ) -> None:
        with self._socket.new_context() as context:
            while True:
                async with _anyio_cancellation():
                    request = await context.arecv()
                reply = await handle(request)
                async with _anyio_cancellation():
                    await context.asend(reply)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
