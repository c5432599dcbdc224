"""pynng sockets behind wrappers that cancel cleanly."""

import collections.abc
import contextlib
import logging

import anyio
import anyio.lowlevel
import pynng

from swiftjunction import errors
from swiftjunction.links import _messages

LOG = logging.getLogger(__name__)

OUTBOX_MESSAGES = 256
SEND_TIMEOUT_MS = 1000
MAX_MESSAGE_BYTES = 64 * 1024 * 1024


@contextlib.asynccontextmanager
async def _clean_cancellation() -> collections.abc.AsyncIterator[None]:
    # pynng raises a bare CancelledError when an anyio scope cancels it, and
    # that escapes move_on_after. Passing through a checkpoint lets anyio
    # raise its own, which the scope recognises.
    try:
        yield
    except anyio.get_cancelled_exc_class():
        await anyio.lowlevel.checkpoint()
        raise


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
        try:
            self._socket.listen(f'tcp://{address}')
        except pynng.NNGException as error:
            self._socket.close()
            raise errors.SettingsError(
                [f'cannot listen on {address}: {error}']
            ) from error

    async def receive_sized(self) -> tuple[_messages.Message, int]:
        """Wait for the next message that can be understood.

        Returns
        -------
        tuple
            The message and its size in bytes.
        """
        while True:
            async with _clean_cancellation():
                data = await self._socket.arecv()
            try:
                return _messages.decode_message(data), len(data)
            except errors.LinkError as error:
                LOG.warning('dropped a message: %s', error)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class Outbox:
    """Sends messages to one peer from a bounded queue.

    A message is dropped when the queue is full or the peer does not take it
    in time; anti-entropy makes up for it, so no caller waits for a peer.
    """

    __slots__ = ('_receive', '_send', 'address', 'dropped')

    def __init__(self, address: str) -> None:
        self.address = address
        self.dropped = 0
        self._send, self._receive = anyio.create_memory_object_stream[
            _messages.Message
        ](OUTBOX_MESSAGES)

    def post(self, message: _messages.Message) -> None:
        """Queue one message, or count it as dropped."""
        try:
            self._send.send_nowait(message)
        except anyio.WouldBlock:
            self.dropped += 1

    async def run(self) -> None:
        """Send queued messages until cancelled."""
        with pynng.Push0(send_timeout=SEND_TIMEOUT_MS) as socket:
            socket.dial(f'tcp://{self.address}', block=False)
            async for message in self._receive:
                data = _messages.encode_message(message)
                try:
                    async with _clean_cancellation():
                        await socket.asend(data)
                except pynng.NNGException:
                    self.dropped += 1


class Requester:
    """Asks one peer and waits for its reply.

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

        Raises
        ------
        LinkError
            If no reply came in time.
        """
        timeout_ms = int(timeout_seconds * 1000)
        with self._socket.new_context() as context:
            context.send_timeout = timeout_ms
            context.recv_timeout = timeout_ms
            try:
                async with _clean_cancellation():
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
    """Answers requests, several at a time."""

    __slots__ = ('_socket', 'address')

    def __init__(self, address: str) -> None:
        self.address = address
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        try:
            self._socket.listen(f'tcp://{address}')
        except pynng.NNGException as error:
            self._socket.close()
            raise errors.SettingsError(
                [f'cannot listen on {address}: {error}']
            ) from error

    async def run(
        self,
        answer: collections.abc.Callable[
            [bytes], collections.abc.Awaitable[bytes]
        ],
        tasks: int = 8,
    ) -> None:
        """Answer requests with `answer` in `tasks` tasks until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(tasks):
                group.start_soon(self._answer_each, answer)

    async def _answer_each(
        self,
        answer: collections.abc.Callable[
            [bytes], collections.abc.Awaitable[bytes]
        ],
    ) -> None:
        with self._socket.new_context() as context:
            while True:
                async with _clean_cancellation():
                    request = await context.arecv()
                reply = await answer(request)
                async with _clean_cancellation():
                    await context.asend(reply)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
