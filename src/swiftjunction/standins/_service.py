"""A stand-in for a plain service and for a scorer."""

import collections

import anyio
import msgspec
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing
import xxhash

from swiftjunction.standins import _faults
from swiftjunction import web


class ServiceStandin:
    """Answers any request with an echo of it, and counts what it ran.

    Faults
    ------
    crashed : the process is gone for so many seconds.
    slow_seconds : each request takes that much longer.
    refuse : every request is refused and not run.
    break_after_run : so many requests run and lose their answer.
    leaving : the server says that it leaves, and refuses new work.

    Attributes
    ----------
    runs : Counter
        How often each request id ran.
    refusals : Counter
        How often each request id was refused.
    key_runs : Counter
        How often each idempotency key ran.
    """

    def __init__(self, name: str, work_seconds: float = 0.005) -> None:
        self.name = name
        self.faults = _faults.FaultSwitches(
            'crashed', 'slow_seconds', 'refuse', 'break_after_run', 'leaving'
        )
        self.runs: collections.Counter[str] = collections.Counter()
        self.refusals: collections.Counter[str] = collections.Counter()
        self.key_runs: collections.Counter[str] = collections.Counter()
        self._work_seconds = work_seconds
        self._in_flight = 0

    def build_app(self) -> starlette.applications.Starlette:
        """Return the HTTP application."""
        return starlette.applications.Starlette(
            routes=[
                self.faults.make_route(),
                starlette.routing.Route('/health', self._show_health),
                starlette.routing.Route('/runs', self._show_runs),
                starlette.routing.Route(
                    '/score', self._score, methods=['POST']
                ),
                starlette.routing.Route(
                    '/{path:path}',
                    self._echo,
                    methods=['GET', 'PUT', 'POST', 'DELETE', 'PATCH'],
                ),
            ]
        )

    async def _show_health(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        return web.respond_json({'leaving': bool(self.faults.get('leaving'))})

    async def _show_runs(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        return web.respond_json(
            {
                'runs': self.runs,
                'keys': self.key_runs,
                'refused': self.refusals.total(),
            }
        )

    def _refuse(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response | None:
        if self.faults.get('refuse') or self.faults.get('leaving'):
            self.refusals[request.headers.get('x-request-id', '')] += 1
            return web.respond_json(
                {'error': 'refused'},
                status=503,
                headers=self._headers(request)
                | {'x-request-outcome': 'not-run'},
            )
        return None

    async def _work(self, request: starlette.requests.Request) -> None:
        self._in_flight += 1
        try:
            await anyio.sleep(
                self._work_seconds + self.faults.get('slow_seconds')
            )
        finally:
            self._in_flight -= 1
        self.runs[request.headers.get('x-request-id', '')] += 1
        key = request.headers.get('idempotency-key')
        if key:
            self.key_runs[key] += 1

    async def _echo(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        body = await request.body()
        await self._work(request)
        if self.faults.consume('break_after_run'):
            raise RuntimeError('the answer is lost')
        answer = {
            'server': self.name,
            'method': request.method,
            'path': request.path_params['path'],
            'body': body.decode(errors='replace'),
        }
        return web.respond_json(answer, headers=self._headers(request))

    async def _score(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        body = msgspec.json.decode(await request.body())
        await self._work(request)
        score = xxhash.xxh32_intdigest(body['text'].encode()) / 2**32
        return web.respond_json(
            {'index': body['index'], 'score': score},
            headers=self._headers(request),
        )

    def _headers(self, request: starlette.requests.Request) -> dict[str, str]:
        headers = {
            'x-load': f'{self._in_flight / 16:.2f}',
            'x-request-id': request.headers.get('x-request-id', ''),
        }
        if self.faults.get('leaving'):
            headers['x-leaving'] = 'true'
        return headers
