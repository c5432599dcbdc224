"""Client of backend servers that speak the platform's protocol."""

import collections.abc
import http
import logging

import anyio
import httpx
import msgspec

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import errors
from swiftjunction.platform import _names
from swiftjunction.platform.servers import _events
from swiftjunction.platform.servers import _outgoing
from swiftjunction.platform.servers import _reports
from swiftjunction.platform.servers import _request_headers
from swiftjunction.platform.servers import _responses
from swiftjunction import web

LOG = logging.getLogger(__name__)

CONTROL_TIMEOUT_SECONDS = 1.0
# A server whose accept queue is full leaves new connections pending for
# seconds.
CONNECT_TIMEOUT_SECONDS = 0.5
# Longest wait for one read of a stream; readers apply shorter timeouts.
STREAM_TIMEOUT_SECONDS = 30.0


class WorkerClient(
    backends.ServiceTransport,
    backends.StreamTransport,
    batches.SampleEngineClient,
):
    """Sends requests to plain services and engines.

    Parameters
    ----------
    peers : PeerClients
        HTTP clients of the process.
    paths : ServerPaths, optional
        Chooses the path of each request; by default, the direct one.
    """

    __slots__ = ('_control_peers', '_paths')

    def __init__(
        self,
        peers: web.PeerClients,
        paths: backends.ServerPaths | None = None,
    ) -> None:
        self._paths = paths or backends.ServerPaths(peers)
        # Responses to control requests carry no request id. These requests use
        # connections of their own, because a server may send an unsolicited
        # second response on the connections of other requests.
        self._control_peers = web.PeerClients()

    async def call(
        self, server: backends.BackendServer, call: backends.ServiceCall
    ) -> backends.ServiceResponse:
        with self._paths.reachability.track(server) as exchange:
            response = await self._send_call(
                server, call, call.timeout_seconds, 'call', exchange
            )
            try:
                _responses.check_request_id(response, server, call.request_id)
                _responses.check_executed(response, server)
                _responses.check_signature(response, server)
                body = await backends.read_body(response, server.name)
            finally:
                await response.aclose()
        return backends.ServiceResponse(
            response.status_code,
            response.headers.multi_items(),
            body,
            response.headers.get(_names.SIGNATURE_HEADER, ''),
        )

    async def open_stream(
        self,
        server: backends.BackendServer,
        call: backends.ServiceCall,
        position: backends.StreamPosition,
    ) -> backends.ServiceStream:
        headers = [
            h for h in call.headers if h[0] != _names.LAST_EVENT_ID_HEADER
        ]
        if position.number != backends.NO_EVENT:
            headers.append((_names.LAST_EVENT_ID_HEADER, str(position.number)))
        with self._paths.reachability.track(server) as exchange:
            response = await self._send_call(
                server,
                msgspec.structs.replace(call, headers=headers),
                STREAM_TIMEOUT_SECONDS,
                'stream',
                exchange,
                is_stream=True,
            )
        try:
            _responses.check_request_id(response, server, call.request_id)
            _responses.check_executed(response, server)
            _responses.check_signature(response, server)
        except errors.BackendError:
            await response.aclose()
            raise
        return backends.ServiceStream(
            response.status_code,
            response.headers.multi_items(),
            self._relay_events(response, server, position.version),
            _responses.is_event_stream(response),
            response.aclose,
        )

    async def _relay_events(
        self,
        response: httpx.Response,
        server: backends.BackendServer,
        known_version: int,
    ) -> collections.abc.AsyncGenerator[backends.StreamEvent, None]:
        try:
            if not _responses.is_event_stream(response):
                body = await backends.read_body(response, server.name)
                yield backends.StreamEvent(backends.NO_EVENT, '', frame=body)
                return
            with self._paths.reachability.track(server) as exchange:
                exchange.is_sent = True
                async for event in _read_events(response, server, exchange):
                    if event.is_event and known_version:
                        event = _events.insert_version(event, known_version)
                        # From now on, the server states each change itself.
                        known_version = 0
                    yield event
        finally:
            await response.aclose()

    async def _send_call(
        self,
        server: backends.BackendServer,
        call: backends.ServiceCall,
        timeout_seconds: float,
        source: str,
        exchange: backends.Exchange,
        is_stream: bool = False,
    ) -> httpx.Response:
        headers = [
            *call.headers,
            (_names.ATTEMPT_ID_HEADER, call.request_id),
            *_request_headers.make_organisation_headers(call.organisation),
        ]
        outgoing = _outgoing.OutgoingRequest(
            call.method,
            call.path if call.query is None else f'{call.path}?{call.query}',
            headers,
            call.body,
            timeout_seconds,
            source,
            host=call.host,
            deadline=anyio.current_time() + call.timeout_seconds,
            check=call.check,
            request_id=call.request_id,
            is_stream=is_stream,
        )
        return await self._send(server, exchange, outgoing)

    async def is_crashed(self, server: backends.BackendServer) -> bool:
        return await self._paths.is_crashed(server)

    async def generate(
        self,
        server: backends.BackendServer,
        host: str,
        sample: batches.Sample,
        after_number: int,
        check: collections.abc.Callable[[], None],
        organisation: str = '',
    ) -> collections.abc.AsyncGenerator[backends.StreamEvent, None]:
        headers = [
            *sample.headers,
            (_names.ATTEMPT_ID_HEADER, sample.sample_id),
            *_request_headers.make_organisation_headers(organisation),
        ]
        if after_number >= 0:
            headers.append((_names.LAST_EVENT_ID_HEADER, str(after_number)))
        outgoing = _outgoing.OutgoingRequest(
            'POST',
            sample.request_path,
            headers,
            sample.body,
            STREAM_TIMEOUT_SECONDS,
            'sample',
            host=host,
            check=check,
            request_id=sample.sample_id,
            is_stream=True,
        )
        with self._paths.reachability.track(server) as exchange:
            response = await self._send(server, exchange, outgoing)
            try:
                _responses.check_request_id(response, server, sample.sample_id)
                _responses.check_executed(response, server)
                _responses.check_sample_status(response, server)
                async for event in _read_events(response, server, exchange):
                    if event.number != backends.NO_EVENT:
                        yield event
            finally:
                await response.aclose()

    async def read_report(
        self, server: backends.BackendServer
    ) -> batches.EngineReport:
        status, body = await self._send_control_request(
            server, 'GET', _names.REPORT_PATH
        )
        if status != http.HTTPStatus.OK:
            raise _responses.build_response_error(
                f'the server answered the report request with status {status}',
                server,
            )
        return _reports.parse_report(body, server)

    async def send_order(
        self,
        server: backends.BackendServer,
        order: batches.VersionOrder,
        check: collections.abc.Callable[[], None],
    ) -> bool:
        content = msgspec.json.encode(
            {
                'operation': 'version',
                'model': order.model,
                'version': order.version,
                'mode': 'retain' if order.keeps_running else 'wait',
                'holder': order.holder,
                'fencing_token': order.fencing_token,
                'expected': order.expected_orders,
            }
        )
        status, _ = await self._send_control_request(
            server, 'POST', _names.ORDER_PATH, content, check
        )
        match status:
            case http.HTTPStatus.ACCEPTED:
                return False
            case http.HTTPStatus.OK:
                return True
            case http.HTTPStatus.PRECONDITION_FAILED:
                raise errors.LeaseLost(
                    'the engine has accepted a higher fencing token',
                    step='order',
                    peer=server.name,
                )
            case (
                http.HTTPStatus.CONFLICT
                | http.HTTPStatus.BAD_REQUEST
                | http.HTTPStatus.MISDIRECTED_REQUEST
            ):
                raise errors.BackendRefused(
                    f'the engine answered the order with status {status}',
                    step='order',
                    peer=server.name,
                )
        raise _responses.build_response_error(
            f'the engine answered the order with status {status}', server
        )

    async def _send_control_request(
        self,
        server: backends.BackendServer,
        method: str,
        path: str,
        content: bytes = b'',
        check: collections.abc.Callable[[], None] | None = None,
    ) -> tuple[int, bytes]:
        outgoing = _outgoing.OutgoingRequest(
            method,
            path,
            [('content-type', 'application/json')] if content else [],
            content,
            CONTROL_TIMEOUT_SECONDS,
            path.removeprefix('/'),
            check=check,
        )
        with (
            anyio.move_on_after(CONTROL_TIMEOUT_SECONDS),
            self._paths.reachability.track(server) as exchange,
        ):
            response = await self._send(
                server, exchange, outgoing, self._control_peers
            )
            try:
                body = await backends.read_body(response, server.name)
            finally:
                await response.aclose()
            return response.status_code, body
        raise _responses.build_response_error(
            'no response before the timeout', server
        )

    async def _send(
        self,
        server: backends.BackendServer,
        exchange: backends.Exchange,
        outgoing: _outgoing.OutgoingRequest,
        peers: web.PeerClients | None = None,
    ) -> httpx.Response:
        """Send a request that any other server instance must refuse.

        Every response that a server sends is received here.

        Parameters
        ----------
        peers : PeerClients, optional
            Whose connections to use, directly; by default, those on the path
            that is chosen for the request.
        """

        def check_before_send() -> None:
            # The server may have started to leave while connecting. It may be
            # reserved for this request.
            if not server.accepts_requests():
                raise errors.BackendRefused(
                    'the server is shutting down',
                    step='send',
                    peer=server.name,
                )
            if outgoing.check is not None:
                outgoing.check()
            exchange.begin_sending(server.name)

        async def send(client: web.DirectClient) -> httpx.Response:
            return await client.send(
                outgoing.method,
                outgoing.target,
                headers=[
                    *outgoing.headers,
                    *_request_headers.make_deadline_headers(outgoing.deadline),
                    (_names.EXPECT_INSTANCE_HEADER, server.name),
                ],
                content=outgoing.content,
                timeout_seconds=outgoing.timeout_seconds,
                host=outgoing.host,
                connect_seconds=CONNECT_TIMEOUT_SECONDS,
                check=check_before_send,
                check_body=outgoing.check,
                request_id=outgoing.request_id,
                is_stream=outgoing.is_stream,
            )

        sent_at = server.read_rate_clock()
        with backends.translate_errors('call', server.name):
            if peers is not None:
                response = await self._paths.send_directly(server, peers, send)
            else:
                response = await self._paths.send(
                    server, exchange, outgoing.request_id, send
                )
        exchange.record_contact()
        # Otherwise UTF-8, in which the headers cannot be sent to callers.
        response.headers.encoding = 'iso-8859-1'
        _responses.record_leaving(
            response, server, outgoing.request_id, outgoing.source
        )
        _responses.record_rate_limit(
            response, server, outgoing.request_id, sent_at
        )
        return response


async def _read_events(
    response: httpx.Response,
    server: backends.BackendServer,
    exchange: backends.Exchange,
) -> collections.abc.AsyncGenerator[backends.StreamEvent, None]:
    """Yield the blocks of a stream; ``AnswerBroken`` if it ends early."""
    parser = _events.EventParser(
        _responses.parse_weight_version(response, server), server.name
    )
    async for data in _responses.read_chunks(response, server):
        exchange.record_contact()
        steps = web.StepCounter()
        for event in parser.feed(data):
            await steps.record()
            yield event
    for event in parser.finish():
        yield event
