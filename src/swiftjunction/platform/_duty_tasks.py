"""Assembles the duties that the settings ask of the coordinator."""

from swiftjunction import coordination
from swiftjunction.platform import _duty_api
from swiftjunction.platform import _settings
from swiftjunction import web


def build_duty_api(
    settings: _settings.EdgeSettings, peers: web.PeerClients
) -> _duty_api.PlatformDutyApi | None:
    """Return the client of the duty API, or None if there is no such API."""
    if not settings.duty_api:
        return None
    return _duty_api.PlatformDutyApi(peers, settings.duty_api, settings.name)


def build_duties(
    settings: _settings.EdgeSettings, peers: web.PeerClients
) -> list[coordination.Duty]:
    """Return the duties that the platform asks for."""
    duties: list[coordination.Duty] = []
    if build_duty_api(settings, peers) is None:
        return duties
    return duties
