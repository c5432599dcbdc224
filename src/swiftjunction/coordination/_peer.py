"""Client of a peer, and access to the object store and batches through it."""

import typing

import httpx
import msgspec

from swiftjunction import batches
from swiftjunction.coordination import _messages
from swiftjunction.coordination import _statuses
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import web

CALL_TIMEOUT_SECONDS = 1.0
# Added to the time for which the peer itself may wait.
WAIT_MARGIN_SECONDS = 1.0
OK_STATUS = 200
# Sent with every error; the class that the body names tells errors apart.
FAILED_STATUS = 409

Response = typing.TypeVar('Response')


class PeerClient:
    """Calls the peer at one address.

    Parameters
    ----------
    peers : PeerClients
        HTTP clients for all peers.
    address : str
        ``ip:port`` of the peer.
    """

    __slots__ = ('_address', '_peers')

    def __init__(self, peers: web.PeerClients, address: str) -> None:
        self._peers = peers
        self._address = address

    async def call(
        self,
        path: str,
        message: msgspec.Struct | None,
        response_type: type[Response],
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> Response:
        """Send a message to the peer and return the decoded response.

        Raises
        ------
        PlatformUnavailable
            If the peer cannot have received the message.
        WriteUncertain
            If the peer may have carried out the call.
        PlatformError
            If the peer responded with an error. Its class is the one that the
            peer named, if that is one of `PLATFORM_ERRORS`.
        """
        content = b'' if message is None else msgspec.msgpack.encode(message)
        try:
            status, body = await self._peers.get_direct(self._address).fetch(
                'POST',
                path,
                content=content,
                timeout_seconds=timeout_seconds,
            )
        except web.UNSENT_ERRORS as error:
            raise errors.PeerUnreachable(
                f'cannot connect to the peer: {errors.describe(error)}',
                step='peer',
                peer=self._address,
            ) from error
        except (httpx.HTTPError, httpx.StreamError) as error:
            raise errors.WriteUncertain(
                f'no response from the peer: {errors.describe(error)}',
                step='peer',
                peer=self._address,
            ) from error
        return self._decode(status, body, response_type)

    def _decode(
        self, status: int, body: bytes, response_type: type[Response]
    ) -> Response:
        try:
            if status == OK_STATUS:
                return decoding.decode_msgpack(body, response_type)
            failure = decoding.decode_msgpack(body, _messages.Failure)
        except errors.ContentBroken as error:
            raise errors.WriteUncertain(
                f'invalid response from the peer, HTTP status {status}: '
                f'{error.message}',
                step='peer',
                peer=self._address,
            ) from error
        error_class = _messages.PLATFORM_ERRORS.get(
            failure.kind, errors.PlatformError
        )
        raise error_class(failure.message, step='peer', peer=self._address)


class PeerStore(objectstore.ObjectStore):
    """Object store client that calls through a peer.

    Parameters
    ----------
    peer : PeerClient
        Client of the peer.
    """

    __slots__ = ('_peer',)

    def __init__(self, peer: PeerClient) -> None:
        self._peer = peer

    async def read(self, key: str) -> objectstore.Object:
        return await self._read(
            _messages.StoreCall('read', key), objectstore.Object
        )

    async def list(self, prefix: str) -> objectstore.ChangeSet:
        return await self._read(
            _messages.StoreCall('list', prefix), objectstore.ChangeSet
        )

    async def watch(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> objectstore.ChangeSet:
        call = _messages.StoreCall(
            'watch', prefix, version=revision, wait_seconds=wait_seconds
        )
        return await self._read(call, objectstore.ChangeSet, wait_seconds)

    async def create(self, key: str, value: bytes) -> int:
        call = _messages.StoreCall('create', key, value)
        return await self._peer.call(_messages.STORE_PATH, call, int)

    async def update(self, key: str, value: bytes, version: int) -> int:
        call = _messages.StoreCall('update', key, value, version)
        return await self._peer.call(_messages.STORE_PATH, call, int)

    async def delete(self, key: str, version: int) -> None:
        call = _messages.StoreCall('delete', key, version=version)
        await self._peer.call(_messages.STORE_PATH, call, int)

    async def _read(
        self,
        call: _messages.StoreCall,
        response_type: type[Response],
        wait_seconds: float = 0.0,
    ) -> Response:
        try:
            return await self._peer.call(
                _messages.STORE_PATH,
                call,
                response_type,
                # One margin each for the call of the peer and its own call.
                wait_seconds + 2 * WAIT_MARGIN_SECONDS,
            )
        except errors.WriteUncertain as error:
            raise errors.PeerUnreachable(
                error.message, step=error.step, peer=error.peer
            ) from error


class PeerBatchAccess(batches.BatchAccess):
    """Accesses batches through the peer that runs them.

    Parameters
    ----------
    peer : PeerClient
        Client of that peer.
    """

    __slots__ = ('_peer',)

    def __init__(self, peer: PeerClient) -> None:
        self._peer = peer

    async def read_results(
        self,
        batch_id: str,
        position: int,
        wait_seconds: float,
        organisation: str | None = None,
    ) -> batches.ResultPage:
        call = _messages.BatchCall(
            batch_id,
            position=position,
            wait_seconds=wait_seconds,
            organisation=organisation,
        )
        return await self._peer.call(
            _messages.RESULTS_PATH
            if organisation is None
            else _messages.OWN_RESULTS_PATH,
            call,
            batches.ResultPage,
            wait_seconds + WAIT_MARGIN_SECONDS,
        )

    async def read_body(
        self, batch_id: str, sample_id: str, organisation: str | None = None
    ) -> bytes | None:
        call = _messages.BatchCall(
            batch_id, sample_id, organisation=organisation
        )
        response = await self._peer.call(
            _messages.SAMPLE_BODY_PATH
            if organisation is None
            else _messages.OWN_SAMPLE_BODY_PATH,
            call,
            _messages.SampleBody,
        )
        return response.body

    async def end(
        self, batch_id: str, organisation: str | None = None
    ) -> None:
        call = _messages.BatchCall(batch_id, organisation=organisation)
        await self._peer.call(
            _messages.END_BATCH_PATH
            if organisation is None
            else _messages.OWN_END_BATCH_PATH,
            call,
            type(None),
            2 * CALL_TIMEOUT_SECONDS,
        )


async def fetch_status(
    peer: PeerClient, timeout_seconds: float = CALL_TIMEOUT_SECONDS
) -> _statuses.MemberStatus:
    """Return the status of a peer."""
    return await peer.call(
        _messages.STATUS_PATH, None, _statuses.MemberStatus, timeout_seconds
    )
