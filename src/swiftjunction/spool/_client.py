"""The client of a spool."""

import anyio

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import links
from swiftjunction.spool import _messages

REQUEST_TIMEOUT_SECONDS = 5.0
# Shorter, as a trainer waits while the new owner of its step fetches samples.
FETCH_TIMEOUT_SECONDS = 2.0


class SpoolClient:
    """Stores and fetches payloads on one spool.

    Each method raises ``LinkError`` unless the spool confirms success.

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
        """Store `payloads` until the step is dropped."""
        await self._call(_messages.Put(step_id, payloads))

    async def fetch(self, step_id: str) -> list[_messages.Payload]:
        """Return the newest payload of each sample of the step."""
        reply = await self._call(
            _messages.Fetch(step_id), FETCH_TIMEOUT_SECONDS
        )
        return reply.payloads

    async def drop(self, step_id: str) -> None:
        """Delete all payloads of a step."""
        await self._call(_messages.Drop(step_id))

    async def _call(
        self,
        request: _messages.Request,
        timeout_seconds: float = REQUEST_TIMEOUT_SECONDS,
    ) -> _messages.Reply:
        data = None
        # The timeout of the socket does not end the wait for a reply if the
        # spool disconnects after it has received the request.
        with anyio.move_on_after(timeout_seconds):
            data = await self._requester.call(
                _messages.encoder.encode(request), timeout_seconds
            )
        if data is None:
            raise errors.LinkError(
                'no reply within the timeout', step='spool', peer=self.address
            )
        try:
            reply = decoding.decode(_messages.reply_decoder.decode, data)
        except errors.ContentBroken as error:
            raise errors.LinkError(
                f'invalid reply: {error}',
                step='spool',
                peer=self._requester.address,
            ) from error
        if reply.error:
            raise errors.LinkError(
                reply.error, step='spool', peer=self._requester.address
            )
        return reply
