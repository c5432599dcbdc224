"""Assembles the duties that the settings ask of the coordinator."""

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import coordination
from swiftjunction import duties
from swiftjunction import objectstore
from swiftjunction.platform import _duty_api
from swiftjunction.platform import _names
from swiftjunction.platform import _settings
from swiftjunction import routes
from swiftjunction import scaling
from swiftjunction import supervision
from swiftjunction import telemetry
from swiftjunction import web

# Part of the calls to the API in a second that each round of orders may use.
ORDER_FRACTION = 0.2


def build_duty_api(
    settings: _settings.EdgeSettings, peers: web.PeerClients
) -> _duty_api.PlatformDutyApi | None:
    """Return the client of the duty API, or None if there is no such API."""
    if not settings.duty_api:
        return None
    return _duty_api.PlatformDutyApi(peers, settings.duty_api, settings.name)


def build_duties(
    settings: _settings.EdgeSettings,
    peers: web.PeerClients,
    store: objectstore.ObjectStore,
    active_routes: routes.ActiveRoutes,
    directory: backends.Directory,
    runner: batches.BatchRunner,
    metrics: telemetry.Metrics,
    supervisor: supervision.Supervisor,
) -> list[coordination.Duty]:
    """Return the duties that the platform asks for."""
    api = build_duty_api(settings, peers)
    if api is None:
        return []
    wanted: list[coordination.Duty] = []
    if _names.SCALING_DUTY in settings.duties:
        wanted.append(
            duties.ScalingDuty(
                api,
                scaling.OrderArchive(store),
                active_routes,
                directory,
                runner.batches.values,
                metrics,
                settings.lease_seconds,
                max(int(settings.duties_per_second * ORDER_FRACTION), 1),
                supervisor,
            )
        )
    return wanted
