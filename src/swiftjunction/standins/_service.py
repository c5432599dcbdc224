"""A stand-in for a server of a plain service and for a scorer."""

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
    """Echoes requests, and counts how often each one ran.

    Parameters
    ----------
    name : str
        Name of the server.
    work_seconds : float
        Duration of each request.

    Faults
    ------
    crashed : seconds for which connections are refused.
    slow_seconds : delay of each request in seconds.
    refuse : if not 0, every request is refused with 503 and does not run.
    break_after_run : number of requests that run but fail with 500.
    leaving : if not 0, the server reports that it is leaving the deployment
        and refuses requests.

    Attributes
    ----------
    runs : Counter
        Number of runs by request id.
    refusals : Counter
        Number of refusals by request id.
    key_runs : Counter
        Number of runs by idempotency key.
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
                starlette.routing.Route('/health', self._get_health),
                starlette.routing.Route('/runs', self._get_runs),
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

    async def _get_health(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        return web.respond_json({'leaving': bool(self.faults.get('leaving'))})

    async def _get_runs(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        return web.respond_json(
            {
                'runs': self.runs,
                'keys': self.key_runs,
                'refused': self.refusals.total(),
            }
        )

    def _check_refusal(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response | None:
        if self.faults.get('refuse') or self.faults.get('leaving'):
            self.refusals[request.headers.get('x-request-id', '')] += 1
            return web.respond_json(
                {'error': 'refused'},
                status=503,
                headers=self._make_headers(request)
                | {'x-request-outcome': 'not-run'},
            )
        return None

    async def _run(self, request: starlette.requests.Request) -> None:
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
        refused_response = self._check_refusal(request)
        if refused_response is not None:
            return refused_response
        body = await request.body()
        await self._run(request)
        if self.faults.consume('break_after_run'):
            raise RuntimeError('injected failure after the run')
        echo = {
            'server': self.name,
            'method': request.method,
            'path': request.path_params['path'],
            'body': body.decode(errors='replace'),
        }
        return web.respond_json(echo, headers=self._make_headers(request))

    async def _score(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        refused_response = self._check_refusal(request)
        if refused_response is not None:
            return refused_response
        body = msgspec.json.decode(await request.body())
        await self._run(request)
        score = xxhash.xxh32_intdigest(body['text'].encode()) / 2**32
        return web.respond_json(
            {'index': body['index'], 'score': score},
            headers=self._make_headers(request),
        )

    def _make_headers(
        self, request: starlette.requests.Request
    ) -> dict[str, str]:
        # The load is 1 at 16 concurrent requests.
        headers = {
            'x-load': f'{self._in_flight / 16:.2f}',
            'x-request-id': request.headers.get('x-request-id', ''),
        }
        if self.faults.get('leaving'):
            headers['x-leaving'] = 'true'
        return headers
