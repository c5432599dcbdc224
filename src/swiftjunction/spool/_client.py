"""The client of one spool."""

import msgspec

import anyio

from swiftjunction import errors
from swiftjunction import links
from swiftjunction.spool import _messages

TIMEOUT_SECONDS = 5.0
# A new owner of a step waits for this, and its trainer with it.
FETCH_TIMEOUT_SECONDS = 2.0


class SpoolClient:
    """Keeps and fetches payloads on one spool.

    Each method raises ``LinkError`` if the spool did not say that it did it.

    Parameters
    ----------
    address : str
        ``ip:port`` of the spool.
    """

    __slots__ = ('_requester', 'address')

    def __init__(self, address: str) -> None:
        self.address = address
        self._requester = links.Requester(address)

    async def put(
        self, step_id: str, payloads: list[_messages.Payload]
    ) -> None:
        """Keep `payloads` until the step is dropped."""
        await self._call(_messages.Put(step_id, payloads))

    async def fetch(self, step_id: str) -> list[_messages.Payload]:
        """Return the newest payload of each index."""
        reply = await self._call(
            _messages.Fetch(step_id), FETCH_TIMEOUT_SECONDS
        )
        return reply.payloads

    async def drop(self, step_id: str) -> None:
        """Forget a step."""
        await self._call(_messages.Drop(step_id))

    async def _call(
        self,
        request: _messages.Request,
        timeout_seconds: float = TIMEOUT_SECONDS,
    ) -> _messages.Reply:
        data = None
        # The socket's own timeout does not end a wait for a spool that went
        # away after it had taken the request.
        with anyio.move_on_after(timeout_seconds):
            data = await self._requester.call(
                _messages.encoder.encode(request), timeout_seconds
            )
        if data is None:
            raise errors.LinkError(
                'no reply in time', step='spool', peer=self.address
            )
        try:
            reply = _messages.reply_decoder.decode(data)
        except (msgspec.MsgspecError, ValueError) as error:
            raise errors.LinkError(
                f'reply not understood: {error}',
                step='spool',
                peer=self._requester.address,
            ) from error
        if reply.error:
            raise errors.LinkError(
                reply.error, step='spool', peer=self._requester.address
            )
        return reply
