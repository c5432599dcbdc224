"""The client of a plain service."""

import abc
import urllib.parse

import httpx
import msgspec

from swiftjunction.backends import _http
from swiftjunction.backends import _server
from swiftjunction import errors
from swiftjunction import web

PROBE_TIMEOUT_SECONDS = 1.0
# What may stand in a path or a query as it is.
PATH_SAFE = "/:@!$&'()*+,;=~"
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class ServiceCall(msgspec.Struct, frozen=True):
    """One request to a plain service.

    Attributes
    ----------
    path, query : str
        As the service's protocol has them.
    host : str
        The host that the caller named; empty where that has no meaning.
    """

    request_id: str
    method: str
    path: str
    query: str
    body: bytes
    headers: list[tuple[str, str]]
    timeout_seconds: float
    host: str = ''


class ServiceResponse(msgspec.Struct, frozen=True):
    """The whole answer of a plain service.

    Attributes
    ----------
    signature : str
        By which the server vouches for the answer; empty where there is none.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    signature: str = ''

    @property
    def is_success(self) -> bool:
        """Tell whether the status says that the request was served."""
        return 200 <= self.status < 300


class ServiceTransport(abc.ABC):
    """Calls plain services, in the protocol that they speak."""

    __slots__ = ()

    @abc.abstractmethod
    async def call(
        self, server: _server.BackendServer, call: ServiceCall
    ) -> ServiceResponse:
        """Send one request and return its whole answer.

        Raises
        ------
        BackendUnreachable, BackendRefused
            If it did not run.
        AnswerBroken
            If whether it ran is unknown.
        """

    @abc.abstractmethod
    async def is_crashed(self, server: _server.BackendServer) -> bool:
        """Tell whether the server refuses connections after a failure."""


class ServiceClient(ServiceTransport):
    """Calls plain services in this project's own protocol.

    Parameters
    ----------
    peers : PeerClients
        The HTTP clients of all servers.
    """

    __slots__ = ('_peers',)

    def __init__(self, peers: web.PeerClients) -> None:
        self._peers = peers

    async def call(
        self, server: _server.BackendServer, call: ServiceCall
    ) -> ServiceResponse:
        step, peer = 'call', server.name
        with _http.translate_errors(step, peer):
            response = await self._peers.peer(server.address).send(
                call.method,
                _encode_target(call.path, call.query),
                content=call.body,
                headers=[
                    *call.headers,
                    ('x-request-id', call.request_id),
                    ('x-timeout-seconds', f'{call.timeout_seconds:.3f}'),
                ],
                timeout_seconds=call.timeout_seconds,
            )
            try:
                body = await _read_body(response, peer)
            finally:
                await response.aclose()
        _http.update_from_headers(response, server)
        _http.check_refusal(response, step, peer)
        self._check_match(response, call, peer)
        return ServiceResponse(
            response.status_code, response.headers.multi_items(), body
        )

    async def is_crashed(self, server: _server.BackendServer) -> bool:
        client = self._peers.get(server.address)
        try:
            await client.get('/health', timeout=PROBE_TIMEOUT_SECONDS)
        except httpx.ConnectError:
            return True
        except httpx.HTTPError:
            return False
        return False

    def _check_match(
        self, response: httpx.Response, call: ServiceCall, peer: str
    ) -> None:
        answered = response.headers.get('x-request-id', call.request_id)
        if answered != call.request_id:
            raise errors.AnswerBroken(
                f'answer of another request: {answered!r}',
                step='call',
                peer=peer,
            )


def _encode_target(path: str, query: str) -> str:
    # The path came decoded: what it holds must not end it, begin a query or
    # break the request line.
    target = '/' + urllib.parse.quote(path, safe=PATH_SAFE)
    if query:
        target += '?' + urllib.parse.quote(query, safe=PATH_SAFE + '?%')
    return target


async def _read_body(response: httpx.Response, peer: str) -> bytes:
    parts = []
    size = 0
    async for part in response.aiter_raw():
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise errors.AnswerBroken(
                f'answer over {MAX_ANSWER_BYTES} bytes',
                step='call',
                peer=peer,
            )
        parts.append(part)
    return b''.join(parts)
