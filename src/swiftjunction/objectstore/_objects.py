"""The object API: versions, conditional updates and watches over HTTP."""

import abc
import base64
import typing

import httpx
import msgspec

from swiftjunction import errors

MAX_VALUE_BYTES = 1_000_000
WATCH_MARGIN_SECONDS = 5.0


class Object(msgspec.Struct, frozen=True):
    """One object as the platform holds it.

    Attributes
    ----------
    key : str
        Its name.
    version : int
        The store's revision at its last change; it never goes down, also
        when the object is deleted and made again.
    value : bytes
        At most one megabyte.
    """

    key: str
    version: int
    value: bytes


ValueT = typing.TypeVar('ValueT')


def decode_value(item: Object, kind: type[ValueT]) -> ValueT:
    """Return the JSON value of an object.

    Raises
    ------
    ObjectBroken
        If it is not a value of that kind.
    """
    try:
        return msgspec.json.decode(item.value, type=kind)
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.ObjectBroken(
            f'{item.key} not understood: {error}',
            step='decode',
            peer='object API',
        ) from error


class ChangeSet(msgspec.Struct, frozen=True):
    """What changed under a prefix, up to `revision` of the store."""

    revision: int
    changed: list[Object]
    deleted: list[str]


class ObjectStore(abc.ABC):
    """What this project needs of an object API.

    Each method raises ``PlatformUnavailable`` where nothing was changed, and
    each write raises ``WriteUncertain`` where its answer was lost.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> Object:
        """Return the object; ``ObjectMissing`` if there is none."""

    @abc.abstractmethod
    async def list(self, prefix: str) -> ChangeSet:
        """Return all objects under `prefix` and the store's revision."""

    @abc.abstractmethod
    async def create(self, key: str, value: bytes) -> int:
        """Make an object; ``RevisionConflict`` if it exists already."""

    @abc.abstractmethod
    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replace the object if it is still at `version`."""

    @abc.abstractmethod
    async def delete(self, key: str, version: int) -> None:
        """Delete the object if it is still at `version`."""

    @abc.abstractmethod
    async def watch(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> ChangeSet:
        """Wait for changes under `prefix` after `revision`."""


class _WireObject(msgspec.Struct):
    key: str
    version: int
    value: str

    def unpack(self) -> Object:
        return Object(self.key, self.version, base64.b64decode(self.value))


class _WireWatch(msgspec.Struct):
    revision: int
    changed: list[_WireObject] = []
    deleted: list[str] = []


class HttpObjectStore(ObjectStore):
    """The object API over HTTP, conditional on entity tags.

    Parameters
    ----------
    client : httpx.AsyncClient
        With the platform's address as its base URL.
    """

    __slots__ = ('_client',)

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def read(self, key: str) -> Object:
        response = await self._call('GET', f'/objects/{key}', 'read')
        return Object(key, _read_tag(response), response.content)

    async def list(self, prefix: str) -> ChangeSet:
        response = await self._call(
            'GET', '/objects', 'list', params={'prefix': prefix}
        )
        return _read_watch(response)

    async def create(self, key: str, value: bytes) -> int:
        response = await self._call(
            'PUT',
            f'/objects/{key}',
            'create',
            content=value,
            headers={'if-none-match': '*'},
        )
        return _read_tag(response)

    async def update(self, key: str, value: bytes, version: int) -> int:
        response = await self._call(
            'PUT',
            f'/objects/{key}',
            'update',
            content=value,
            headers={'if-match': f'"{version}"'},
        )
        return _read_tag(response)

    async def delete(self, key: str, version: int) -> None:
        await self._call(
            'DELETE',
            f'/objects/{key}',
            'delete',
            headers={'if-match': f'"{version}"'},
        )

    async def watch(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> ChangeSet:
        response = await self._call(
            'GET',
            '/watch',
            'watch',
            params={
                'prefix': prefix,
                'after': revision,
                'wait_seconds': wait_seconds,
            },
            timeout=wait_seconds + WATCH_MARGIN_SECONDS,
        )
        return _read_watch(response)

    async def _call(
        self, method: str, url: str, step: str, **options: typing.Any
    ) -> httpx.Response:
        content = options.get('content', b'')
        if len(content) > MAX_VALUE_BYTES:
            raise errors.ObjectTooLarge(
                f'{url} has {len(content)} bytes, at most {MAX_VALUE_BYTES}',
                step=step,
                peer='object API',
            )
        try:
            response = await self._client.request(method, url, **options)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise errors.PlatformUnavailable(
                f'cannot connect: {error}', step=step, peer='object API'
            ) from error
        except httpx.HTTPError as error:
            raise _lost_answer(method, f'no answer: {error}', step) from error
        _check_status(method, url, response, step)
        return response


def _lost_answer(method: str, message: str, step: str) -> errors.PlatformError:
    kind = (
        errors.PlatformUnavailable
        if method == 'GET'
        else errors.WriteUncertain
    )
    return kind(message, step=step, peer='object API')


_STATUS_ERRORS: dict[int, type[errors.PlatformError]] = {
    404: errors.ObjectMissing,
    409: errors.RevisionConflict,
    412: errors.RevisionConflict,
    413: errors.ObjectTooLarge,
    429: errors.PlatformUnavailable,
    503: errors.PlatformUnavailable,
}


def _check_status(
    method: str, url: str, response: httpx.Response, step: str
) -> None:
    if response.is_success:
        return
    message = f'{method} {url} answered {response.status_code}'
    kind = _STATUS_ERRORS.get(response.status_code)
    if kind is None:
        raise _lost_answer(method, message, step)
    raise kind(message, step=step, peer='object API')


def _read_tag(response: httpx.Response) -> int:
    tag = response.headers.get('etag', '')
    try:
        return int(tag.strip('"'))
    except ValueError as error:
        raise _lost_answer(
            response.request.method, f'not an entity tag: {tag!r}', 'tag'
        ) from error


def _read_watch(response: httpx.Response) -> ChangeSet:
    try:
        wire = msgspec.json.decode(response.content, type=_WireWatch)
        changed = [item.unpack() for item in wire.changed]
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.PlatformUnavailable(
            f'answer not understood: {error}', step='list', peer='object API'
        ) from error
    return ChangeSet(wire.revision, changed, wire.deleted)
