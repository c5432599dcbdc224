"""Calls one peer."""

import typing

import httpx
import msgspec

from swiftjunction import batches
from swiftjunction.coordination import _members
from swiftjunction.coordination import _messages
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import web

CALL_TIMEOUT_SECONDS = 1.0
# Beyond what the peer itself may wait.
WAIT_MARGIN_SECONDS = 1.0
OK = 200
FAILED = 409

Answer = typing.TypeVar('Answer')


class PeerClient:
    """Calls the peer at one address.

    Parameters
    ----------
    peers : PeerClients
        The HTTP clients.
    address : str
        ``ip:port`` of the peer.
    """

    __slots__ = ('_address', '_peers')

    def __init__(self, peers: web.PeerClients, address: str) -> None:
        self._peers = peers
        self._address = address

    async def ask(
        self,
        path: str,
        call: msgspec.Struct | None,
        kind: type[Answer],
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Answer:
        """Return the peer's answer.

        Raises
        ------
        PlatformUnavailable
            If the peer did not get the call.
        WriteUncertain
            If the peer may have carried it out.
        PlatformError
            As the peer says.
        """
        content = b'' if call is None else msgspec.msgpack.encode(call)
        try:
            status, body = await self._peers.peer(self._address).fetch(
                'POST',
                path,
                content=content,
                timeout_seconds=timeout_seconds,
            )
        except web.UNSENT_ERRORS as error:
            raise errors.PlatformUnavailable(
                f'peer not reached: {error or type(error).__name__}',
                step='peer',
                peer=self._address,
            ) from error
        except (httpx.HTTPError, httpx.StreamError) as error:
            raise errors.WriteUncertain(
                f'no answer of the peer: {error or type(error).__name__}',
                step='peer',
                peer=self._address,
            ) from error
        return self._decode(status, body, kind)

    def _decode(self, status: int, body: bytes, kind: type[Answer]) -> Answer:
        try:
            if status == OK:
                return msgspec.msgpack.decode(body, type=kind)
            failure = msgspec.msgpack.decode(body, type=_messages.Failure)
        except msgspec.MsgspecError as error:
            raise errors.WriteUncertain(
                f'peer answered {status}, not understood: {error}',
                step='peer',
                peer=self._address,
            ) from error
        error_kind = _messages.PLATFORM_ERRORS.get(
            failure.kind, errors.PlatformError
        )
        raise error_kind(failure.message, step='peer', peer=self._address)


class RelayedStore(objectstore.ObjectStore):
    """The object store, as a peer reaches it.

    Parameters
    ----------
    peer : PeerClient
        Makes the calls.
    """

    __slots__ = ('_peer',)

    def __init__(self, peer: PeerClient) -> None:
        self._peer = peer

    async def read(self, key: str) -> objectstore.Object:
        return await self._read(
            _messages.StoreCall('read', key), objectstore.Object
        )

    async def list(self, prefix: str) -> objectstore.Watch:
        return await self._read(
            _messages.StoreCall('list', prefix), objectstore.Watch
        )

    async def watch(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> objectstore.Watch:
        call = _messages.StoreCall(
            'watch', prefix, version=revision, wait_seconds=wait_seconds
        )
        return await self._read(call, objectstore.Watch, wait_seconds)

    async def create(self, key: str, value: bytes) -> int:
        call = _messages.StoreCall('create', key, value)
        return await self._peer.ask(_messages.STORE_PATH, call, int)

    async def update(self, key: str, value: bytes, version: int) -> int:
        call = _messages.StoreCall('update', key, value, version)
        return await self._peer.ask(_messages.STORE_PATH, call, int)

    async def delete(self, key: str, version: int) -> None:
        call = _messages.StoreCall('delete', key, version=version)
        await self._peer.ask(_messages.STORE_PATH, call, int)

    async def _read(
        self,
        call: _messages.StoreCall,
        kind: type[Answer],
        wait_seconds: float = 0.0,
    ) -> Answer:
        try:
            return await self._peer.ask(
                _messages.STORE_PATH,
                call,
                kind,
                wait_seconds + 2 * WAIT_MARGIN_SECONDS,
            )
        except errors.WriteUncertain as error:
            raise errors.PlatformUnavailable(
                error.message, step=error.step, peer=error.peer
            ) from error


class PeerAccess(batches.BatchAccess):
    """Asks the peer that runs the batches.

    Parameters
    ----------
    peer : PeerClient
        Calls it.
    """

    __slots__ = ('_peer',)

    def __init__(self, peer: PeerClient) -> None:
        self._peer = peer

    async def read_results(
        self, batch_id: str, position: int, wait_seconds: float
    ) -> batches.ResultPage:
        call = _messages.BatchCall(
            batch_id, position=position, wait_seconds=wait_seconds
        )
        return await self._peer.ask(
            _messages.READ_PATH,
            call,
            batches.ResultPage,
            wait_seconds + WAIT_MARGIN_SECONDS,
        )

    async def read_body(self, batch_id: str, item_id: str) -> bytes | None:
        call = _messages.BatchCall(batch_id, item_id)
        answer = await self._peer.ask(
            _messages.BODY_PATH, call, _messages.BodyAnswer
        )
        return answer.body

    async def end(self, batch_id: str) -> None:
        call = _messages.BatchCall(batch_id)
        await self._peer.ask(
            _messages.END_PATH, call, type(None), 2 * CALL_TIMEOUT_SECONDS
        )


async def ask_status(peer: PeerClient) -> _members.MemberStatus:
    """Return what a peer says of itself."""
    return await peer.ask(_messages.STATUS_PATH, None, _members.MemberStatus)
