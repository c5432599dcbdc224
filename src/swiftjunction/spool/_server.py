"""The server of a spool."""

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import links
from swiftjunction.spool import _messages
from swiftjunction.spool import _store


class SpoolServer:
    """Serves a :class:`Store` to rollout processes.

    Parameters
    ----------
    replier : Replier
        Receives the requests.
    store : Store
        Holds the payloads.
    """

    __slots__ = ('_replier', '_store')

    def __init__(self, replier: links.Replier, store: _store.Store) -> None:
        self._replier = replier
        self._store = store

    async def run(self) -> None:
        """Reply to requests until cancelled."""
        await self._replier.run(self._reply)

    async def _reply(self, data: bytes) -> bytes:
        try:
            request = decoding.decode(_messages.request_decoder.decode, data)
            reply = self._handle(request)
        except (errors.LinkError, errors.ContentBroken, OSError) as error:
            reply = _messages.Reply(error=str(error))
        return _messages.encoder.encode(reply)

    def _handle(self, request: _messages.Request) -> _messages.Reply:
        if isinstance(request, _messages.Put):
            self._store.put(request.step_id, request.payloads)
            return _messages.Reply()
        if isinstance(request, _messages.Fetch):
            return _messages.Reply(payloads=self._store.fetch(request.step_id))
        self._store.drop(request.step_id)
        return _messages.Reply()
