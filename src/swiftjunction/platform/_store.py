"""The platform's metadata store as an object store."""

import http
import typing
import urllib.parse

import httpx
import msgspec

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.platform import _names
from swiftjunction import web

PEER = 'platform store'
CALL_TIMEOUT_SECONDS = 0.7
# A watch may end this much later than it was told to.
WATCH_MARGIN_SECONDS = 2.0


class _Metadata(msgspec.Struct):
    name: str = ''
    revision: int = 0
    create_revision: int = 0
    finalizers: list[str] = []
    deleting: bool = False


class _Entry(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class _ListAnswer(msgspec.Struct):
    items: list[msgspec.Raw]
    store_revision: int
    more_pages: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    deleted: bool = False


class _WatchAnswer(msgspec.Struct):
    events: list[_Event]
    store_revision: int


class PlatformStore(objectstore.ObjectStore):
    """The store over HTTP; a key is a kind and a name, ``kind/name``.

    Parameters
    ----------
    peers : PeerClients
        The HTTP clients.
    address : str
        ``ip:port`` of the store.
    """

    __slots__ = ('_peers', 'address')

    def __init__(self, peers: web.PeerClients, address: str) -> None:
        self._peers = peers
        self.address = address

    async def read(self, key: str) -> objectstore.Object:
        body = await self._call('GET', _locate(key), 'read')
        return _unpack(_kind(key), _decode(body, _Entry))

    async def list(self, prefix: str) -> objectstore.ChangeSet:
        kind = _kind(prefix)
        found: list[objectstore.Object] = []
        revision = 0
        after = ''
        while True:
            target = _locate(kind)
            if after:
                target += f'?after={urllib.parse.quote(after)}'
            page = _decode(
                await self._call('GET', target, 'list'), _ListAnswer
            )
            # What changes while the next pages are read is watched later.
            revision = revision or page.store_revision
            entries = [_decode(item, _Entry) for item in page.items]
            found += [_unpack(kind, entry) for entry in entries]
            if not page.more_pages or not entries:
                return objectstore.ChangeSet(revision, found, [])
            after = entries[-1].metadata.name

    async def watch(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> objectstore.ChangeSet:
        kind = _kind(prefix)
        wait_ms = int(wait_seconds * _names.MS_PER_SECOND)
        body = await self._call(
            'GET',
            f'{_locate(kind)}?watch={revision}&wait_ms={wait_ms}',
            'watch',
            timeout_seconds=wait_seconds + WATCH_MARGIN_SECONDS,
        )
        answer = _decode(body, _WatchAnswer)
        newest: dict[str, objectstore.Object] = {}
        deleted: set[str] = set()
        for event in answer.events:
            found = _unpack(kind, _decode(event.object, _Entry))
            newest.pop(found.key, None)
            deleted.discard(found.key)
            if event.deleted:
                deleted.add(found.key)
            else:
                newest[found.key] = found
        return objectstore.ChangeSet(
            answer.store_revision, [*newest.values()], sorted(deleted)
        )

    async def create(self, key: str, value: bytes) -> int:
        name = key.partition('/')[2]
        content = _pack({'name': name}, spec=value)
        body = await self._call('POST', _locate(_kind(key)), 'create', content)
        return _decode(body, _Entry).metadata.revision

    async def update(self, key: str, value: bytes, version: int) -> int:
        name = key.partition('/')[2]
        content = _pack(
            {'name': name, 'revision': version, 'finalizers': []}, spec=value
        )
        body = await self._call('PUT', _locate(key), 'update', content)
        return _decode(body, _Entry).metadata.revision

    async def write_status(self, key: str, status: bytes, version: int) -> int:
        """Replace the status of an object of the platform's own kinds."""
        name = key.partition('/')[2]
        content = _pack({'name': name, 'revision': version}, status=status)
        body = await self._call(
            'PUT', f'{_locate(key)}/status', 'write status', content
        )
        return _decode(body, _Entry).metadata.revision

    async def delete(self, key: str, version: int) -> None:
        await self._call(
            'DELETE', f'{_locate(key)}?revision={version}', 'delete'
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
            status, body = await self._peers.peer(self.address).fetch(
                method,
                target,
                headers=headers,
                content=content,
                timeout_seconds=timeout_seconds,
            )
        except web.UNSENT_ERRORS as error:
            raise errors.PlatformUnavailable(
                f'cannot connect: {error or type(error).__name__}',
                step=step,
                peer=PEER,
            ) from error
        except (httpx.HTTPError, httpx.StreamError) as error:
            raise _lose_answer(
                method, f'no answer: {error or type(error).__name__}', step
            ) from error
        if status < http.HTTPStatus.MULTIPLE_CHOICES:
            return body
        raise _describe_refusal(method, target, status, step)


def _lose_answer(method: str, message: str, step: str) -> errors.PlatformError:
    kind = (
        errors.PlatformUnavailable
        if method == 'GET'
        else errors.WriteUncertain
    )
    return kind(message, step=step, peer=PEER)


_REFUSALS: dict[int, type[errors.PlatformError]] = {
    http.HTTPStatus.NOT_FOUND: errors.ObjectMissing,
    http.HTTPStatus.CONFLICT: errors.RevisionConflict,
    http.HTTPStatus.GONE: errors.HistoryLost,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE: errors.ObjectTooLarge,
    http.HTTPStatus.TOO_MANY_REQUESTS: errors.PlatformUnavailable,
    http.HTTPStatus.SERVICE_UNAVAILABLE: errors.PlatformUnavailable,
}


def _describe_refusal(
    method: str, target: str, status: int, step: str
) -> errors.PlatformError:
    message = f'{method} {target} answered {status}'
    kind = _REFUSALS.get(status)
    if kind is None:
        return _lose_answer(method, message, step)
    return kind(message, step=step, peer=PEER)


def _locate(key: str) -> str:
    return _names.OBJECTS_PREFIX + urllib.parse.quote(key)


def _kind(key: str) -> str:
    return key.partition('/')[0]


def _pack(metadata: dict[str, object], **parts: bytes) -> bytes:
    raw = {name: msgspec.Raw(value) for name, value in parts.items()}
    return msgspec.json.encode({'metadata': metadata, **raw})


Kind = typing.TypeVar('Kind')


def _decode(body: bytes | msgspec.Raw, kind: type[Kind]) -> Kind:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.PlatformUnavailable(
            f'answer not understood: {error}', step='decode', peer=PEER
        ) from error


def _unpack(kind: str, entry: _Entry) -> objectstore.Object:
    return objectstore.Object(
        f'{kind}/{entry.metadata.name}',
        entry.metadata.revision,
        bytes(entry.spec),
    )
