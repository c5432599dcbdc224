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
    """Serves live callers.

    Parameters
    ----------
    tree : Tree
        The settings of each path.
    admission : AdmissionController
        Which requests may start.
    generator : CompletionGenerator
        Makes completions.
    forwarder : Forwarder
        Calls plain services.
    addresses : EntrySelector
        Which entries callers should use.
    metrics : Metrics
        Counts and times.
    """

    __slots__ = (
        '_addresses',
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
        addresses: _addresses.EntrySelector,
        metrics: telemetry.Metrics,
    ) -> None:
        self._tree = tree
        self._admission = admission
        self._generator = generator
        self._forwarder = forwarder
        self._addresses = addresses
        self._metrics = metrics

    async def list_addresses(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Answer which entries to use."""
        data_center = request.query_params.get('data_center', '')
        answer = self._addresses.select(data_center)
        return web.respond_json(answer)

    async def complete(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Serve a completion, streamed or whole."""
        request_id = _parsing.read_request_id(request)
        try:
            body = _parsing.decode_completion(
                await _parsing.read_body(request)
            )
            telemetry.note_request(request_id, body.model)
            call = self._build_call(request, body, request_id)
            if body.stream:
                return await self._stream(call, self._run(call))
            return await _streaming.run_while_connected(
                request, lambda: self._collect(call)
            )
        except errors.RequestError as error:
            return self._refuse(request_id, error)

    def _build_call(
        self,
        request: starlette.requests.Request,
        body: _parsing.CompletionRequest,
        request_id: str,
    ) -> _call.GenerationCall:
        self._check_settings()
        # Latencies and limits are kept for each path that is set, not for
        # each one that a caller makes up below it.
        path, _ = self._tree.find_service(body.model)
        settings = self._tree.resolve(path)
        if not settings.model:
            raise errors.RequestInvalid(
                f'no model is set for path {body.model!r}', step='resolve'
            )
        return _call.GenerationCall(
            request_id=request_id,
            path=path,
            settings=settings,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            deadline=_parsing.read_deadline(request, settings),
            seed=body.seed,
            priority=_admission.find_priority(settings),
            idempotent=request.headers.get('x-idempotent') != 'false',
            is_whole=not body.stream,
        )

    def _check_settings(self) -> None:
        """Refuse while this process has no settings of any team yet.

        Raises
        ------
        NotRun
            Whether the path exists cannot be said; another entry may know.
        """
        if not self._tree.versions():
            raise errors.NotRun(
                'this entry has just started and has no settings yet',
                step='resolve',
            )

    async def _run(
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

    async def _collect(
        self,
        call: _call.GenerationCall,
    ) -> starlette.responses.Response:
        collected = await self._collect_fresh(call)
        self._metrics.count('answers', path=call.path, outcome='complete')
        answer = _formatting.shape_chunk(
            call,
            ''.join(chunk.text for chunk in collected),
            collected[-1].finish_reason,
        )
        answer['weight_versions'] = _segments.build_segments(collected)
        return web.respond_json(
            answer,
            headers={
                'x-request-id': call.request_id,
                'x-request-outcome': 'complete',
            },
        )

    async def _collect_fresh(
        self, call: _call.GenerationCall
    ) -> list[backends.Chunk]:
        """Return the chunks of an answer that is fresh as a whole.

        Each chunk was fresh when it came, but the first may have become too
        old by the time the last one is there.
        """
        while True:
            try:
                collected = [chunk async for chunk in self._run(call)]
            except errors.WeightsSwapped:
                if anyio.current_time() > call.deadline:
                    raise
                continue
            try:
                self._generator.check_freshness(call, collected)
                return collected
            except errors.StaleWeights:
                if not call.idempotent or anyio.current_time() > call.deadline:
                    raise

    async def _stream(
        self,
        call: _call.GenerationCall,
        chunks: collections.abc.AsyncGenerator[backends.Chunk, None],
    ) -> starlette.responses.Response:
        # The first chunk is awaited before the status line is sent, so that
        # a refusal still has a status of its own.
        first = await anext(aiter(chunks))
        return _streaming.CompletionStreamResponse(
            call.request_id,
            first,
            chunks,
            lambda chunk: _formatting.frame_chunk(call, chunk),
            lambda outcome: self._metrics.count(
                'answers', path=call.path, outcome=outcome
            ),
        )

    async def serve_service(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        """Forward a request to a plain service."""
        request_id = _parsing.read_request_id(request)
        path, rest = self._tree.find_service(request.path_params['path'])
        settings = self._tree.resolve(path)
        telemetry.note_request(request_id, path)
        try:
            self._check_settings()
            if not settings.service:
                raise errors.RequestInvalid(
                    f'no service is set for {request.url.path}',
                    step='resolve',
                )
            call = await self._build_forwarded(request, request_id, path, rest)
            with (
                self._admission.admit(path, settings),
                self._metrics.measure(path, 'answer'),
            ):
                answer = await self._forwarder.forward(call)
        except errors.RequestError as error:
            return self._refuse(request_id, error)
        self._metrics.count('answers', path=path, outcome='complete')
        return _formatting.relay_answer(answer, request_id)

    async def _build_forwarded(
        self,
        request: starlette.requests.Request,
        request_id: str,
        path: str,
        rest: str,
    ) -> _forwarding.ForwardedCall:
        settings = self._tree.resolve(path)
        body = await _parsing.read_body(request)
        default = str(request.method in IDEMPOTENT_METHODS).lower()
        return _forwarding.ForwardedCall(
            path=path,
            settings=settings,
            service_call=backends.ServiceCall(
                request_id=request_id,
                method=request.method,
                path=rest,
                query=request.url.query,
                body=body,
                headers=[
                    (name, value)
                    for name, value in request.headers.items()
                    if name not in _formatting.HOP_HEADERS
                    and name != 'x-request-id'
                ],
                timeout_seconds=0.0,
            ),
            deadline=_parsing.read_deadline(request, settings),
            idempotent=request.headers.get('x-idempotent', default) == 'true',
            idempotency_key=request.headers.get('idempotency-key', ''),
        )

    def _refuse(
        self, request_id: str, error: errors.RequestError
    ) -> starlette.responses.Response:
        LOG.debug('refused: %s', error)
        self._metrics.count('refusals', outcome=error.outcome)
        return web.respond_error(error, request_id)


def build_app(
    live: EntryApp, routes: list[starlette.routing.Route]
) -> starlette.applications.Starlette:
    """Assemble the application of an entry, with `routes` of the process."""
    return starlette.applications.Starlette(
        exception_handlers=web.EXCEPTION_HANDLERS,
        routes=[
            starlette.routing.Route('/v1/addresses', live.list_addresses),
            starlette.routing.Route(
                '/v1/completions', live.complete, methods=['POST']
            ),
            starlette.routing.Route(
                '/services/{path:path}',
                live.serve_service,
                methods=SERVICE_METHODS,
            ),
            *routes,
        ],
    )
