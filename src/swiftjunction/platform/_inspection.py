"""What a process shows of itself: metrics, and its whole state."""

import starlette.applications
import starlette.requests
import starlette.responses

from swiftjunction import telemetry

Request = starlette.requests.Request
Response = starlette.responses.Response

METRICS_PATH = '/metrics'
DUMP_PATH = '/dump'
METRICS_TYPE = 'text/plain; version=0.0.4'


class Inspection:
    """Serves the metrics and the state of a process.

    Parameters
    ----------
    metrics : Metrics
        Its counters and latencies.
    dump : StateDump
        Its parts.
    """

    __slots__ = ('_dump', '_metrics')

    def __init__(
        self, metrics: telemetry.Metrics, dump: telemetry.StateDump
    ) -> None:
        self._metrics = metrics
        self._dump = dump

    def add_routes(self, app: starlette.applications.Starlette) -> None:
        """Serve both with an application."""
        app.add_route(METRICS_PATH, self._show_metrics)
        app.add_route(DUMP_PATH, self._show_dump)

    async def _show_metrics(self, request: Request) -> Response:
        return Response(self._metrics.render(), media_type=METRICS_TYPE)

    async def _show_dump(self, request: Request) -> Response:
        return Response(self._dump.render(), media_type='application/json')
