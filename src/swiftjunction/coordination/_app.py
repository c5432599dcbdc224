"""HTTP application that serves the requests of peers."""

import collections.abc
import typing

import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction import batches
from swiftjunction.coordination import _messages
from swiftjunction.coordination import _peer
from swiftjunction.coordination import _permits
from swiftjunction.coordination import _sharing
from swiftjunction.coordination import _statuses
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import objectstore

Request = starlette.requests.Request
Response = starlette.responses.Response


class PeerApp:
    """Serves status polls, relayed store calls and batch requests of peers.

    Parameters
    ----------
    get_status : callable
        Returns this VM's status.
    direct : ObjectStore
        Client that calls the object store directly. Calls of peers use only
        this one, so that no call is relayed twice.
    feed_sync : FeedSync
        The copies of stored objects that this VM keeps.
    get_batch_access : callable
        Returns access to the batches that this VM runs, or None if it runs
        no batches.
    permits : SharedPermits, optional
        Gives permits for servers with a request limit.
    """

    __slots__ = (
        '_direct',
        '_feed_sync',
        '_get_batch_access',
        '_get_status',
        '_permits',
    )

    def __init__(
        self,
        get_status: collections.abc.Callable[[], _statuses.MemberStatus],
        direct: objectstore.ObjectStore,
        feed_sync: _sharing.FeedSync,
        get_batch_access: collections.abc.Callable[
            [], batches.BatchAccess | None
        ],
        permits: _permits.SharedPermits | None = None,
    ) -> None:
        self._permits = permits
        self._get_status = get_status
        self._direct = direct
        self._feed_sync = feed_sync
        self._get_batch_access = get_batch_access

    def build(self) -> starlette.applications.Starlette:
        """Return the HTTP application."""
        handlers = {
            _messages.STATUS_PATH: self._handle_status,
            _messages.STORE_PATH: self._call_store,
            _messages.OBJECTS_PATH: self._list_objects,
            _messages.RESULTS_PATH: self._read_results,
            _messages.SAMPLE_BODY_PATH: self._read_sample_body,
            _messages.END_BATCH_PATH: self._end_batch,
            _messages.OWN_RESULTS_PATH: self._read_results,
            _messages.OWN_SAMPLE_BODY_PATH: self._read_sample_body,
            _messages.OWN_END_BATCH_PATH: self._end_batch,
            _messages.PERMIT_PATH: self._grant_permit,
        }
        return starlette.applications.Starlette(
            exception_handlers={
                errors.PlatformError: _respond_with_error,
                errors.ContentBroken: _respond_with_error,
            },
            routes=[
                starlette.routing.Route(path, handler, methods=['POST'])
                for path, handler in handlers.items()
            ],
        )

    async def _handle_status(self, request: Request) -> Response:
        return _respond(self._get_status())

    async def _call_store(self, request: Request) -> Response:
        call = await _decode(request, _messages.StoreCall)
        return _respond(await _run_store_call(self._direct, call))

    async def _list_objects(self, request: Request) -> Response:
        call = await _decode(request, _messages.ObjectsCall)
        feed = self._feed_sync.get(call.prefix)
        return _respond(feed.copy_since(call.since))

    async def _read_results(self, request: Request) -> Response:
        call = await _decode(request, _messages.BatchCall)
        page = await self._require_batch_access().read_results(
            call.batch_id, call.position, call.wait_seconds, call.organisation
        )
        return _respond(page)

    async def _read_sample_body(self, request: Request) -> Response:
        call = await _decode(request, _messages.BatchCall)
        body = await self._require_batch_access().read_body(
            call.batch_id, call.sample_id, call.organisation
        )
        return _respond(_messages.SampleBody(body))

    async def _end_batch(self, request: Request) -> Response:
        call = await _decode(request, _messages.BatchCall)
        await self._require_batch_access().end(
            call.batch_id, call.organisation
        )
        return _respond(None)

    async def _grant_permit(self, request: Request) -> Response:
        call = await _decode(request, _permits.PermitCall)
        if self._permits is None:
            raise errors.PlatformUnavailable(
                'this VM gives no permits', step='permit'
            )
        return _respond(self._permits.grant(call))

    def _require_batch_access(self) -> batches.BatchAccess:
        access = self._get_batch_access()
        if access is None:
            raise errors.PlatformUnavailable(
                'this VM is not running batches', step='find batch'
            )
        return access


async def _run_store_call(
    store: objectstore.ObjectStore, call: _messages.StoreCall
) -> object:
    match call.operation:
        case 'read':
            return await store.read(call.key)
        case 'list':
            return await store.list(call.key)
        case 'create':
            return await store.create(call.key, call.value)
        case 'update':
            return await store.update(call.key, call.value, call.version)
        case 'delete':
            await store.delete(call.key, call.version)
            return 0
        case 'watch':
            return await store.watch(call.key, call.version, call.wait_seconds)
    raise errors.PlatformError(
        f'unknown store operation {call.operation!r}', step='relay'
    )


Message = typing.TypeVar('Message')


async def _decode(request: Request, kind: type[Message]) -> Message:
    return decoding.decode_msgpack(await request.body(), kind)


def _respond(content: object, status: int = _peer.OK_STATUS) -> Response:
    return Response(msgspec.msgpack.encode(content), status_code=status)


async def _respond_with_error(request: Request, error: Exception) -> Response:
    failure = _messages.Failure(
        type(error).__name__, getattr(error, 'message', str(error))
    )
    return _respond(failure, _peer.FAILED_STATUS)
