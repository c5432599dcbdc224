"""Client of the platform's metadata store."""

import http
import logging
import typing
import urllib.parse

import httpx
import msgspec

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.platform import _names
from swiftjunction import web

LOG = logging.getLogger(__name__)

PEER_NAME = 'platform store'
CALL_TIMEOUT_SECONDS = 0.7
# Time by which the timeout of a watch exceeds its wait time. A short watch
# has less, as it is for a recent response.
WATCH_MARGIN_SECONDS = 2.0
# Levels of an object's value in the responses to a read, list and watch.
READ_LEVEL = 2
LIST_LEVEL = 4
WATCH_LEVEL = 5


class _Metadata(msgspec.Struct):
    name: str = ''
    revision: decoding.Count = 0
    create_revision: decoding.Count = 0
    finalizers: list[str] = []
    deleting: bool = False


class _StoredObject(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class _ListResponse(msgspec.Struct):
    items: list[msgspec.Raw]
    store_revision: decoding.Count
    more_pages: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _WatchResponse(msgspec.Struct):
    events: list[_Event]
    store_revision: decoding.Count


class PlatformStore(objectstore.ObjectStore):
    """Accesses the store over HTTP; keys have the form ``kind/name``.

    Parameters
    ----------
    peers : PeerClients
        HTTP clients of the process.
    address : str
        ``ip:port`` of the store.
    """

    __slots__ = ('_peers', 'address')

    def __init__(self, peers: web.PeerClients, address: str) -> None:
        self._peers = peers
        self.address = address

    async def read(self, key: str) -> objectstore.Object:
        body = await self._call('GET', _build_path(key), 'read')
        return _convert_object(
            _parse_kind(key), _decode_json(body, _StoredObject, READ_LEVEL)
        )

    async def list(self, prefix: str) -> objectstore.ChangeSet:
        kind = _parse_kind(prefix)
        objects: list[objectstore.Object] = []
        revision = 0
        last_name = ''
        asked_names = {last_name}
        while True:
            target = _build_path(kind)
            if last_name:
                target += f'?after={urllib.parse.quote(last_name)}'
            page = _decode_json(
                await self._call('GET', target, 'list'),
                _ListResponse,
                LIST_LEVEL,
            )
            # A watch from the revision of the first page returns the objects
            # that change while the next pages are read.
            revision = revision or page.store_revision
            page_objects = _decode_items(kind, page.items)
            objects += [
                _convert_object(kind, stored) for stored in page_objects
            ]
            if not page.more_pages or not page.items:
                return objectstore.ChangeSet(revision, objects, [])
            if not page_objects:
                raise errors.PlatformUnavailable(
                    f'no item of a page of {kind} can be decoded',
                    step='list',
                    peer=PEER_NAME,
                )
            # A page repeats if its last name is missing or was asked for.
            if page_objects[-1].metadata.name in asked_names:
                raise errors.PlatformUnavailable(
                    f'the pages of {kind} do not advance',
                    step='list',
                    peer=PEER_NAME,
                )
            last_name = page_objects[-1].metadata.name
            asked_names.add(last_name)

    async def watch(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> objectstore.ChangeSet:
        kind = _parse_kind(prefix)
        wait_ms = int(wait_seconds * _names.MS_PER_SECOND)
        body = await self._call(
            'GET',
            f'{_build_path(kind)}?watch={revision}&wait_ms={wait_ms}',
            'watch',
            timeout_seconds=wait_seconds
            + max(
                min(WATCH_MARGIN_SECONDS, wait_seconds), CALL_TIMEOUT_SECONDS
            ),
        )
        response = _decode_json(body, _WatchResponse, WATCH_LEVEL)
        newest: dict[str, objectstore.Object] = {}
        deleted: set[str] = set()
        for event in response.events:
            stored = _decode_item(kind, event.object)
            if stored is None:
                continue
            obj = _convert_object(kind, stored)
            newest.pop(obj.key, None)
            deleted.discard(obj.key)
            if event.deleted:
                deleted.add(obj.key)
            else:
                newest[obj.key] = obj
        return objectstore.ChangeSet(
            response.store_revision, [*newest.values()], sorted(deleted)
        )

    async def create(self, key: str, value: bytes) -> int:
        name = key.partition('/')[2]
        content = _encode_object({'name': name}, spec=value)
        body = await self._call(
            'POST', _build_path(_parse_kind(key)), 'create', content
        )
        return _decode_json(body, _StoredObject).metadata.revision

    async def update(self, key: str, value: bytes, version: int) -> int:
        name = key.partition('/')[2]
        content = _encode_object(
            {'name': name, 'revision': version, 'finalizers': []}, spec=value
        )
        body = await self._call('PUT', _build_path(key), 'update', content)
        return _decode_json(body, _StoredObject).metadata.revision

    async def write_status(self, key: str, status: bytes, version: int) -> int:
        """Replace the status of an object and return its new revision."""
        name = key.partition('/')[2]
        content = _encode_object(
            {'name': name, 'revision': version}, status=status
        )
        body = await self._call(
            'PUT', f'{_build_path(key)}/status', 'write status', content
        )
        return _decode_json(body, _StoredObject).metadata.revision

    async def delete(self, key: str, version: int) -> None:
        await self._call(
            'DELETE', f'{_build_path(key)}?revision={version}', 'delete'
        )

    async def _call(
        self,
        method: str,
        target: str,
        step: str,
        content: bytes = b'',
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> bytes:
        headers = [('content-type', 'application/json')] if content else []
        try:
            status, body = await self._peers.get_direct(self.address).fetch(
                method,
                target,
                headers=headers,
                content=content,
                timeout_seconds=timeout_seconds,
            )
        except web.UNSENT_ERRORS as error:
            raise errors.PlatformUnavailable(
                f'connection failed: {errors.describe(error)}',
                step=step,
                peer=PEER_NAME,
            ) from error
        except (httpx.HTTPError, httpx.StreamError) as error:
            raise _build_lost_response_error(
                method, f'no response: {errors.describe(error)}', step
            ) from error
        if status < http.HTTPStatus.MULTIPLE_CHOICES:
            return body
        raise _build_status_error(method, target, status, step)


def _build_lost_response_error(
    method: str, message: str, step: str
) -> errors.PlatformError:
    error_type = (
        errors.PlatformUnavailable
        if method == 'GET'
        else errors.WriteUncertain
    )
    return error_type(message, step=step, peer=PEER_NAME)


_STATUS_ERRORS: dict[int, type[errors.PlatformError]] = {
    http.HTTPStatus.NOT_FOUND: errors.ObjectMissing,
    http.HTTPStatus.CONFLICT: errors.RevisionConflict,
    http.HTTPStatus.GONE: errors.HistoryLost,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE: errors.ObjectTooLarge,
    http.HTTPStatus.TOO_MANY_REQUESTS: errors.PlatformUnavailable,
    http.HTTPStatus.SERVICE_UNAVAILABLE: errors.PlatformUnavailable,
}


def _build_status_error(
    method: str, target: str, status: int, step: str
) -> errors.PlatformError:
    message = f'{method} {target} returned status {status}'
    error_type = _STATUS_ERRORS.get(status)
    if error_type is None:
        return _build_lost_response_error(method, message, step)
    return error_type(message, step=step, peer=PEER_NAME)


def _build_path(key: str) -> str:
    return _names.OBJECTS_PATH_PREFIX + urllib.parse.quote(key)


def _parse_kind(key: str) -> str:
    return key.partition('/')[0]


def _encode_object(metadata: dict[str, object], **parts: bytes) -> bytes:
    raw = {name: msgspec.Raw(value) for name, value in parts.items()}
    return msgspec.json.encode({'metadata': metadata, **raw})


Schema = typing.TypeVar('Schema')


def _decode_json(
    body: bytes, schema: type[Schema], value_level: int = READ_LEVEL
) -> Schema:
    """Decode a response whose objects have their values at `value_level`.

    A value that is nested too deeply is taken for null, which is valid for
    no kind, so that it hides neither its key nor the other objects.
    """
    try:
        return decoding.decode_json(body, schema)
    except errors.ContentBroken as error:
        if not isinstance(error.__cause__, RecursionError):
            raise _build_decode_error(error) from error
    try:
        return decoding.decode_json(
            decoding.cut_deep_values(body, value_level), schema
        )
    except errors.ContentBroken as error:
        raise _build_decode_error(error) from error


def _build_decode_error(error: errors.ContentBroken) -> errors.PlatformError:
    return errors.PlatformUnavailable(
        f'invalid response: {error.message}', step='decode', peer=PEER_NAME
    )


def _decode_items(kind: str, items: list[msgspec.Raw]) -> list[_StoredObject]:
    """Return the objects of a page, without those that are invalid."""
    found = (_decode_item(kind, item) for item in items)
    return [stored for stored in found if stored is not None]


def _decode_item(kind: str, item: msgspec.Raw) -> _StoredObject | None:
    """Return an object of a list or watch; None, and a log line, if invalid.

    It must not hide the others.
    """
    try:
        return _decode_json(bytes(item), _StoredObject)
    except errors.PlatformError as error:
        LOG.warning(
            'ignoring an invalid object: %s', error, extra={'kind': kind}
        )
        return None


def _convert_object(kind: str, stored: _StoredObject) -> objectstore.Object:
    return objectstore.Object(
        f'{kind}/{stored.metadata.name}',
        stored.metadata.revision,
        bytes(stored.spec),
    )
