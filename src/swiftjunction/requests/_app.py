"""The HTTP interface of an entry."""

import collections.abc
import contextlib
import logging

import anyio
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction.requests import _addresses
from swiftjunction.requests import _admission
from swiftjunction.requests import _call
from swiftjunction.requests import _formatting
from swiftjunction.requests import _forwarding
from swiftjunction.requests import _generation
from swiftjunction.requests import _parsing
from swiftjunction.requests import _segments
from swiftjunction.requests import _streaming
from swiftjunction import telemetry
from swiftjunction import web

LOG = logging.getLogger(__name__)

SERVICE_METHODS = ['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH']
IDEMPOTENT_METHODS = frozenset({'GET', 'HEAD', 'PUT', 'DELETE'})


class EntryApp:
    """Serves the HTTP interface of an entry.

    Parameters
    ----------
    tree : Tree
        The settings of each path.
    admission : AdmissionController
        Limits the requests in flight.
    generator : CompletionGenerator
        Generates completions.
    forwarder : Forwarder
        Forwards requests to plain services.
    entry_selector : EntrySelector
        Selects the entries that callers should use.
    metrics : Metrics
        Counts outcomes and measures latencies.
    """

    __slots__ = (
        '_entry_selector',
        '_admission',
        '_forwarder',
        '_generator',
        '_metrics',
        '_tree',
    )

    def __init__(
        self,
        tree: configuration.Tree,
        admission: _admission.AdmissionController,
        generator: _generation.CompletionGenerator,
        forwarder: _forwarding.Forwarder,
        entry_selector: _addresses.EntrySelector,
        metrics: telemetry.Metrics,
    ) -> None:
        self._tree = tree
        self._admission = admission
        self._generator = generator
        self._forwarder = forwarder
        self._entry_selector = entry_selector
        self._metrics = metrics

    async def list_addresses(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Return the entries that the caller should use."""
        data_center = request.query_params.get('data_center', '')
        selection = self._entry_selector.select(data_center)
        return web.respond_json(selection)

    async def complete(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Serve a completion request, as a stream or as one response."""
        request_id = _parsing.read_request_id(request)
        try:
            body = _parsing.decode_completion(
                await _parsing.read_body(request)
            )
            telemetry.set_request_context(request_id, body.model)
            call = self._build_call(request, body, request_id)
            if body.stream:
                return await self._start_stream(call, self._generate(call))
            return await _streaming.run_while_connected(
                request, lambda: self._respond_completion(call)
            )
        except errors.RequestError as error:
            return self._respond_error(request_id, error)

    def _build_call(
        self,
        request: starlette.requests.Request,
        body: _parsing.CompletionRequest,
        request_id: str,
    ) -> _call.GenerationCall:
        self._check_settings_received()
        # Latencies and limits are kept for configured paths only, not for
        # the arbitrary paths below them that callers may send.
        path, _ = self._tree.split_path(body.model)
        settings = self._tree.resolve(path)
        if not settings.model:
            raise errors.RequestInvalid(
                f'no model is configured for path {body.model!r}',
                step='resolve',
            )
        # Only the header value "false" makes a completion not idempotent.
        return _call.GenerationCall(
            request_id=request_id,
            path=path,
            settings=settings,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            deadline=_parsing.read_deadline(request, settings),
            seed=body.seed,
            priority=_admission.get_priority(settings),
            idempotent=request.headers.get('x-idempotent') != 'false',
            is_whole=not body.stream,
        )

    def _check_settings_received(self) -> None:
        """Check that this process has received settings.

        Raises
        ------
        NotRun
            If it has no settings of any team yet. Another entry may know
            whether the path exists.
        """
        if not self._tree.list_versions():
            raise errors.NotRun(
                'this entry has just started and has no settings yet',
                step='resolve',
            )

    async def _generate(
        self, call: _call.GenerationCall
    ) -> collections.abc.AsyncGenerator[backends.Chunk, None]:
        with (
            self._admission.admit(call.path, call.settings),
            self._metrics.measure(call.path, 'answer'),
        ):
            async with contextlib.aclosing(
                self._generator.generate(call)
            ) as chunks:
                async for chunk in chunks:
                    yield chunk

    async def _respond_completion(
        self,
        call: _call.GenerationCall,
    ) -> starlette.responses.Response:
        chunks = await self._collect_fresh(call)
        self._metrics.count('answers', path=call.path, outcome='complete')
        completion = _formatting.format_completion(
            call,
            ''.join(chunk.text for chunk in chunks),
            chunks[-1].finish_reason,
        )
        completion['weight_versions'] = _segments.build_segments(chunks)
        return web.respond_json(
            completion,
            headers={
                'x-request-id': call.request_id,
                'x-request-outcome': 'complete',
            },
        )

    async def _collect_fresh(
        self, call: _call.GenerationCall
    ) -> list[backends.Chunk]:
        """Return the chunks of a completion that is fresh as a whole.

        Each chunk is fresh when it arrives, but by the time of the last chunk
        the weights of the first one may be outside the freshness bound.
        """
        while True:
            try:
                chunks = [chunk async for chunk in self._generate(call)]
            except errors.WeightsSwapped:
                if anyio.current_time() > call.deadline:
                    raise
                continue
            try:
                self._generator.check_freshness(call, chunks)
                return chunks
            except errors.StaleWeights:
                if not call.idempotent or anyio.current_time() > call.deadline:
                    raise

    async def _start_stream(
        self,
        call: _call.GenerationCall,
        chunks: collections.abc.AsyncGenerator[backends.Chunk, None],
    ) -> starlette.responses.Response:
        # The first chunk is awaited before the status line is sent, so that
        # an error before it still sets the status of the response.
        first = await anext(aiter(chunks))
        return _streaming.CompletionStreamResponse(
            call.request_id,
            first,
            chunks,
            lambda chunk: _formatting.format_chunk_event(call, chunk),
            lambda outcome: self._metrics.count(
                'answers', path=call.path, outcome=outcome
            ),
        )

    async def forward_service(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Forward a request to a plain service."""
        request_id = _parsing.read_request_id(request)
        path, subpath = self._tree.split_path(request.path_params['path'])
        settings = self._tree.resolve(path)
        telemetry.set_request_context(request_id, path)
        try:
            self._check_settings_received()
            if not settings.service:
                raise errors.RequestInvalid(
                    f'no service is configured for {request.url.path}',
                    step='resolve',
                )
            call = await self._build_forwarded_call(
                request, request_id, path, subpath
            )
            with (
                self._admission.admit(path, settings),
                self._metrics.measure(path, 'answer'),
            ):
                service_response = await self._forwarder.forward(call)
        except errors.RequestError as error:
            return self._respond_error(request_id, error)
        self._metrics.count('answers', path=path, outcome='complete')
        return _formatting.build_service_response(service_response, request_id)

    async def _build_forwarded_call(
        self,
        request: starlette.requests.Request,
        request_id: str,
        path: str,
        subpath: str,
    ) -> _forwarding.ForwardedCall:
        settings = self._tree.resolve(path)
        body = await _parsing.read_body(request)
        # Without the header, the method decides. Any header value but "true"
        # makes the request not idempotent.
        default = str(request.method in IDEMPOTENT_METHODS).lower()
        return _forwarding.ForwardedCall(
            path=path,
            settings=settings,
            service_call=backends.ServiceCall(
                request_id=request_id,
                method=request.method,
                path=subpath,
                query=request.url.query,
                body=body,
                headers=[
                    (name, value)
                    for name, value in request.headers.items()
                    if name not in _formatting.HOP_BY_HOP_HEADERS
                    and name != 'x-request-id'
                ],
                timeout_seconds=0.0,
            ),
            deadline=_parsing.read_deadline(request, settings),
            idempotent=request.headers.get('x-idempotent', default) == 'true',
            idempotency_key=request.headers.get('idempotency-key', ''),
        )

    def _respond_error(
        self, request_id: str, error: errors.RequestError
    ) -> starlette.responses.Response:
        LOG.debug('request refused or failed: %s', error)
        self._metrics.count('refusals', outcome=error.outcome)
        return web.respond_error(error, request_id)


def build_app(
    entry: EntryApp, routes: list[starlette.routing.Route]
) -> starlette.applications.Starlette:
    """Build the ASGI application of an entry, with additional `routes`."""
    return starlette.applications.Starlette(
        exception_handlers=web.EXCEPTION_HANDLERS,
        routes=[
            starlette.routing.Route('/v1/addresses', entry.list_addresses),
            starlette.routing.Route(
                '/v1/completions', entry.complete, methods=['POST']
            ),
            starlette.routing.Route(
                '/services/{path:path}',
                entry.forward_service,
                methods=SERVICE_METHODS,
            ),
            *routes,
        ],
    )
