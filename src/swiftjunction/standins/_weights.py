"""A stand-in for the weight store, with a limited throughput."""

import anyio
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction.standins import _faults
from swiftjunction import web

FILE_BYTES = 65536


class WeightStoreStandin:
    """Serves weight files with a fixed latency and limited concurrency.

    Parameters
    ----------
    fetch_seconds : float
        Duration of a fetch.
    max_fetches : int
        Maximum number of concurrent fetches; further ones wait.

    Faults
    ------
    crashed : seconds for which connections are refused.
    outage : if not 0, every fetch fails with 503.
    slow_seconds : additional duration of each fetch in seconds.
    """

    def __init__(
        self, fetch_seconds: float = 0.2, max_fetches: int = 2
    ) -> None:
        self.faults = _faults.FaultSwitches(
            'crashed', 'outage', 'slow_seconds'
        )
        self._fetch_seconds = fetch_seconds
        self._limiter = anyio.CapacityLimiter(max_fetches)

    def build_app(self) -> starlette.applications.Starlette:
        """Return the HTTP application."""
        return starlette.applications.Starlette(
            routes=[
                starlette.routing.Route(
                    '/weights/{model}/{version:int}', self._fetch
                ),
                self.faults.make_route(),
            ]
        )

    async def _fetch(
        self, request: starlette.requests.Request
    ) -> starlette.responses.Response:
        if self.faults.get('outage'):
            return web.respond_json({'error': 'outage'}, status=503)
        async with self._limiter:
            await anyio.sleep(
                self._fetch_seconds + self.faults.get('slow_seconds')
            )
        return starlette.responses.Response(bytes(FILE_BYTES))
