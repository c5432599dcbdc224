"""HTTP endpoints for the metrics and the state of a process."""

import collections.abc

import starlette.applications
import starlette.requests
import starlette.responses

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import coordination
from swiftjunction import requests
from swiftjunction import telemetry

Request = starlette.requests.Request
Response = starlette.responses.Response

METRICS_PATH = '/metrics'
DUMP_PATH = '/dump'
METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4'


class InspectionEndpoints:
    """Serves the metrics and a state dump of a process.

    Parameters
    ----------
    metrics : Metrics
        Counters and latency histograms of the process.
    dump : StateDump
        State of the components of the process.
    """

    __slots__ = ('_dump', '_metrics')

    def __init__(
        self, metrics: telemetry.Metrics, dump: telemetry.StateDump
    ) -> None:
        self._metrics = metrics
        self._dump = dump

    def add_routes(self, app: starlette.applications.Starlette) -> None:
        """Add both endpoints to an application."""
        app.add_route(METRICS_PATH, self._serve_metrics)
        app.add_route(DUMP_PATH, self._serve_dump)

    async def _serve_metrics(self, request: Request) -> Response:
        return Response(
            self._metrics.render(), media_type=METRICS_CONTENT_TYPE
        )

    async def _serve_dump(self, request: Request) -> Response:
        return Response(self._dump.render(), media_type='application/json')


def build_dump(
    sources: collections.abc.Mapping[
        str, collections.abc.Callable[[], object]
    ],
    clock: coordination.SharedClock | None,
) -> telemetry.StateDump:
    """Return a dump of the state that each source returns, by its name.

    It has that of the clock that VMs share, if there is one.
    """
    dump = telemetry.StateDump()
    if clock is not None:
        dump.add('clock', clock.summarize)
    for name, source in sources.items():
        dump.add(name, source)
    return dump


def observe_ages(
    metrics: telemetry.Metrics,
    end_confirmation: batches.EndConfirmation,
    control_loops: coordination.ControlLoops,
    confirmer: coordination.ConfigurationConfirmer,
    server_list: coordination.FeedConfirmation,
) -> None:
    """Add the ages of what this VM knows to its metrics, in seconds."""
    metrics.add_gauge(
        'ended_batches_age_seconds',
        lambda: (
            end_confirmation.age_seconds if control_loops.is_running else 0.0
        ),
    )
    metrics.add_gauge(
        'configuration_age_seconds', lambda: confirmer.age_seconds
    )
    metrics.add_gauge(
        'server_list_age_seconds', server_list.compute_age_seconds
    )


def observe_servers(
    metrics: telemetry.Metrics,
    directory: backends.Directory,
    reachability: backends.Reachability,
    suspects: requests.SuspectTracker,
) -> None:
    """Add what this VM knows of backend servers to its metrics."""
    metrics.add_gauge(
        'event_loop_lag_seconds', lambda: directory.loop_lag.average_seconds
    )
    metrics.add_gauge(
        'cut_off_services', lambda: len(reachability.list_cut_off())
    )
    # A cut may be shorter than the interval at which the gauge is read.
    reachability.listen(lambda _: metrics.count('service_cuts'))
    directory.leaving_servers.listen(
        lambda _, source: metrics.count('leaving_servers', source=source)
    )
    directory.rates.listen(lambda _: metrics.count('rate_limited_servers'))
    suspects.listen(lambda: metrics.count('server_crashes'))
