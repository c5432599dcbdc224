"""A stand-in for the weight store, which limits its rate."""

import anyio
import starlette.applications
import starlette.requests
import starlette.responses
import starlette.routing

from swiftjunction.standins import _faults
from swiftjunction import web

FILE_BYTES = 65536


class WeightStoreStandin:
    """Weight files, so many at a time and each taking its time.

    Parameters
    ----------
    fetch_seconds : float
        What one fetch takes.
    max_fetches : int
        How many run at once; others wait.

    Faults
    ------
    crashed : the process is gone for so many seconds.
    outage : every fetch is refused with 503.
    slow_seconds : each fetch takes that much longer.
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
