"""Client of the plain services."""

import abc
import collections.abc
import urllib.parse

import anyio
import httpx
import msgspec

from swiftjunction.backends import _bodies
from swiftjunction.backends import _http
from swiftjunction.backends import _server
from swiftjunction import errors
from swiftjunction import web

PROBE_TIMEOUT_SECONDS = 1.0
# Reserved characters that are not percent-encoded in a path or query.
UNQUOTED_CHARS = "/:@!$&'()*+,;=~"


class ServiceCall(msgspec.Struct, frozen=True):
    """A request to a plain service.

    Attributes
    ----------
    path, query : str
        Path and query string in the form that the service's protocol uses. A
        query of None differs from an empty one.
    host : str
        The host that the caller requested; empty if the service's protocol
        does not use it.
    check : callable, optional
        Called just before the head is sent, and just before the body is. If
        it raises, the server does not get the whole request.
    organisation : str
        The organisation of the caller, which the server is told; empty if it
        is told none.
    """

    request_id: str
    method: str
    path: str
    query: str | None
    body: bytes
    headers: list[tuple[str, str]]
    timeout_seconds: float
    host: str = ''
    check: collections.abc.Callable[[], None] | None = None
    organisation: str = ''


class ServiceResponse(msgspec.Struct, frozen=True):
    """The complete response of a plain service.

    Attributes
    ----------
    signature : str
        The server's signature of the response; empty if unsigned.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    signature: str = ''

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300


class ServiceTransport(abc.ABC):
    """Sends requests to plain services in their protocol."""

    __slots__ = ()

    @abc.abstractmethod
    async def call(
        self, server: _server.BackendServer, call: ServiceCall
    ) -> ServiceResponse:
        """Send a request and return the complete response.

        Raises
        ------
        BackendUnreachable, BackendRefused
            If the request did not run.
        AnswerBroken
            If it is unknown whether the request ran.
        """

    @abc.abstractmethod
    async def is_crashed(self, server: _server.BackendServer) -> bool:
        """Return whether, after a failed call, connections are refused."""


class ServiceClient(ServiceTransport):
    """Sends requests to plain services in this project's own protocol.

    Parameters
    ----------
    peers : PeerClients
        The HTTP clients by address.
    """

    __slots__ = ('_peers',)

    def __init__(self, peers: web.PeerClients) -> None:
        self._peers = peers

    async def call(
        self, server: _server.BackendServer, call: ServiceCall
    ) -> ServiceResponse:
        step, peer = 'call', server.name
        with _http.translate_errors(step, peer):
            response = await self._peers.get_direct(server.address).send(
                call.method,
                _encode_target(call.path, call.query),
                content=call.body,
                headers=[
                    *call.headers,
                    ('x-request-id', call.request_id),
                    ('x-timeout-seconds', f'{call.timeout_seconds:.3f}'),
                ],
                timeout_seconds=call.timeout_seconds,
                check=call.check,
                check_body=call.check,
                request_id=call.request_id,
            )
            _http.update_from_headers(response, server, call.request_id, step)
            try:
                body = await _bodies.read_body(response, peer)
            finally:
                await response.aclose()
        _http.check_refusal(response, step, peer)
        self._check_request_id(response, call, peer)
        return ServiceResponse(
            response.status_code, response.headers.multi_items(), body
        )

    async def is_crashed(self, server: _server.BackendServer) -> bool:
        client = self._peers.get(server.address)
        try:
            with anyio.move_on_after(PROBE_TIMEOUT_SECONDS):
                await client.get(
                    '/health',
                    timeout=PROBE_TIMEOUT_SECONDS,
                    extensions=web.SHORT_BODY,
                )
        except httpx.ConnectError:
            return True
        except httpx.HTTPError:
            return False
        return False

    def _check_request_id(
        self, response: httpx.Response, call: ServiceCall, peer: str
    ) -> None:
        answered_id = response.headers.get('x-request-id', call.request_id)
        if answered_id != call.request_id:
            raise errors.AnswerBroken(
                f'response to another request: {answered_id!r}',
                step='call',
                peer=peer,
            )


def _encode_target(path: str, query: str | None) -> str:
    # `path` is not percent-encoded: characters that would end the path, begin
    # a query or break the request line are encoded here.
    target = '/' + urllib.parse.quote(path, safe=UNQUOTED_CHARS)
    if query:
        target += '?' + urllib.parse.quote(query, safe=UNQUOTED_CHARS + '?%')
    return target
