"""Client of the object store: conditional writes and watches.

The store counts its changes in a revision. The version of an object is the
revision at which it last changed.
"""

import abc
import base64
import typing

import httpx
import msgspec

from swiftjunction import decoding
from swiftjunction import errors

MAX_VALUE_BYTES = 1_000_000
WATCH_MARGIN_SECONDS = 5.0


class Object(msgspec.Struct, frozen=True):
    """One stored object.

    Attributes
    ----------
    key : str
        The unique name.
    version : int
        The store's revision at the last change of the object, which
        conditional writes compare. It never decreases, even if the object is
        deleted and created again.
    value : bytes
        At most ``MAX_VALUE_BYTES``.
    """

    key: str
    version: int
    value: bytes


ValueT = typing.TypeVar('ValueT')


def decode_value(item: Object, kind: type[ValueT]) -> ValueT:
    """Decode the JSON value of an object.

    Raises
    ------
    ObjectBroken
        If the value is not valid JSON of type `kind`.
    """
    try:
        return decoding.decode_json(item.value, kind)
    except errors.ContentBroken as error:
        raise errors.ObjectBroken(
            f'cannot decode the value of {item.key}: {error.message}',
            step='decode',
            peer='object API',
        ) from error


class ChangeSet(msgspec.Struct, frozen=True):
    """The objects or changes under a prefix, as returned by a list or watch.

    Attributes
    ----------
    revision : int
        The store's revision up to which the changes are complete.
    changed : list of Object
        All objects for a list; the new and changed ones for a watch.
    deleted : list of str
        Keys of deleted objects.
    """

    revision: int
    changed: list[Object]
    deleted: list[str]


class ObjectStore(abc.ABC):
    """The operations of an object store.

    Each method raises ``PlatformUnavailable`` if the call failed without
    effect. Writes raise ``WriteUncertain`` if the response was lost.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> Object:
        """Return the object; raise ``ObjectMissing`` if there is none."""

    @abc.abstractmethod
    async def list(self, prefix: str) -> ChangeSet:
        """Return all objects under `prefix` and the store's revision."""

    @abc.abstractmethod
    async def create(self, key: str, value: bytes) -> int:
        """Create an object and return its version.

        Raises ``RevisionConflict`` if the object exists.
        """

    @abc.abstractmethod
    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replace an object at `version` and return its new version.

        Raises ``RevisionConflict`` if the object has another version.
        """

    @abc.abstractmethod
    async def delete(self, key: str, version: int) -> None:
        """Delete an object at `version`.

        Raises ``RevisionConflict`` if the object has another version.
        """

    @abc.abstractmethod
    async def watch(
        self, prefix: str, revision: int, wait_seconds: float
    ) -> ChangeSet:
        """Return changes under `prefix` after `revision`.

        Waits up to `wait_seconds` for the first change.
        """


class _WireObject(msgspec.Struct):
    key: str
    version: int
    value: str

    def unpack(self) -> Object:
        return Object(self.key, self.version, base64.b64decode(self.value))


class _WireChangeSet(msgspec.Struct):
    revision: int
    changed: list[_WireObject] = []
    deleted: list[str] = []


class HttpObjectStore(ObjectStore):
    """Client of the object store over HTTP; versions are entity tags.

    Parameters
    ----------
    client : httpx.AsyncClient
        Its base URL is the address of the object store.
    """

    __slots__ = ('_client',)

    def __init__(self, client: httpx.AsyncClient) -> None:
        self._client = client

    async def read(self, key: str) -> Object:
        response = await self._call('GET', f'/objects/{key}', 'read')
        return Object(key, _parse_etag(response), response.content)

    async def list(self, prefix: str) -> ChangeSet:
        response = await self._call(
            'GET', '/objects', 'list', params={'prefix': prefix}
        )
        return _parse_change_set(response)

    async def create(self, key: str, value: bytes) -> int:
        response = await self._call(
            'PUT',
            f'/objects/{key}',
            'create',
            content=value,
            headers={'if-none-match': '*'},
        )
        return _parse_etag(response)

    async def update(self, key: str, value: bytes, version: int) -> int:
        response = await self._call(
            'PUT',
            f'/objects/{key}',
            'update',
            content=value,
            headers={'if-match': f'"{version}"'},
        )
        return _parse_etag(response)

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
        return _parse_change_set(response)

    async def _call(
        self, method: str, url: str, step: str, **options: typing.Any
    ) -> httpx.Response:
        content = options.get('content', b'')
        if len(content) > MAX_VALUE_BYTES:
            raise errors.ObjectTooLarge(
                f'{url} has {len(content)} bytes, limit {MAX_VALUE_BYTES}',
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
            raise _make_no_response_error(
                method, f'no response: {error}', step
            ) from error
        _check_status(method, url, response, step)
        return response


def _make_no_response_error(
    method: str, message: str, step: str
) -> errors.PlatformError:
    """Return the error of a call that got no usable response."""
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
    message = f'{method} {url} returned status {response.status_code}'
    kind = _STATUS_ERRORS.get(response.status_code)
    if kind is None:
        raise _make_no_response_error(method, message, step)
    raise kind(message, step=step, peer='object API')


def _parse_etag(response: httpx.Response) -> int:
    tag = response.headers.get('etag', '')
    try:
        return int(tag.strip('"'))
    except ValueError as error:
        raise _make_no_response_error(
            response.request.method, f'invalid entity tag: {tag!r}', 'tag'
        ) from error


def _parse_change_set(response: httpx.Response) -> ChangeSet:
    try:
        wire = decoding.decode_json(response.content, _WireChangeSet)
        changed = [item.unpack() for item in wire.changed]
    except (errors.ContentBroken, ValueError) as error:
        raise errors.PlatformUnavailable(
            f'cannot decode the response: {error}',
            step='list',
            peer='object API',
        ) from error
    return ChangeSet(wire.revision, changed, wire.deleted)
