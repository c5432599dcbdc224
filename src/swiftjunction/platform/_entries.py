"""Entries of the platform's own kinds, decoded into this project's types."""

import typing

import msgspec

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.platform import _names
from swiftjunction import routes

STATES = {'ready': 'live', 'draining': 'leaving'}
KINDS = {
    'safe': routes.RouteKind.IDEMPOTENT,
    'unsafe': routes.RouteKind.ONCE,
    'streaming': routes.RouteKind.STREAM,
    'rollout': routes.RouteKind.BATCH,
    'batch': routes.RouteKind.BATCH,
}


class _Model(msgspec.Struct):
    name: str
    version: int


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    capacity: int = 0
    models: list[_Model] = []
    born: int = 0


class _Share(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    host: str
    path_prefix: str
    kind: str
    name: str = ''
    service: str = ''
    # The services among which the route is split, where it is.
    backends: list[_Share] = []
    timeout_ms: float = 0.0
    slo_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    resumable: bool = False
    single_version: bool = False
    due_ms: float = 0.0
    max_age_s: float = 0.0


class _Limits(msgspec.Struct):
    idle_timeout_ms: float = 75_000.0
    max_body_bytes: int = 32 * 1024 * 1024


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Version(msgspec.Struct):
    model: str
    version: int


Kind = typing.TypeVar('Kind')


def _decode(found: objectstore.Object, kind: type[Kind]) -> Kind:
    return objectstore.decode_value(found, kind)


def decode_server(found: objectstore.Object) -> backends.ServerReport:
    """Return what an entry says of a backend server.

    Raises
    ------
    ObjectBroken
        If it names no server that can be used.
    """
    entry = _decode(found, _Server)
    state = STATES.get(entry.state)
    host, _, port = entry.address.rpartition(':')
    if state is None or not entry.service or not host or not port.isdecimal():
        raise errors.ObjectBroken(
            f'{found.key}: state {entry.state!r}, service {entry.service!r}, '
            f'address {entry.address!r}',
            step='decode',
        )
    return backends.ServerReport(
        name=found.key.partition('/')[2],
        address=entry.address,
        service=entry.service,
        data_center=entry.zone,
        state=state,
        listed_service=entry.service,
        model_versions={model.name: model.version for model in entry.models},
        slots=entry.capacity,
        born_ms=entry.born,
    )


def decode_routes(found: objectstore.Object) -> routes.RouteTable:
    """Return the routes of a configuration.

    Raises
    ------
    ObjectBroken
        If it cannot be read.
    """
    config = _decode(found, _Config)
    limits = routes.ConnectionLimits(
        config.limits.idle_timeout_ms / _names.MS_PER_SECOND,
        config.limits.max_body_bytes,
    )
    return routes.RouteTable(
        config.version,
        [_convert_route(route) for route in config.routes],
        limits,
    )


def _convert_route(route: _Route) -> routes.Route:
    shares = [
        routes.ServiceShare(share.service, share.weight)
        for share in route.backends
    ]
    if not shares:
        shares = [routes.ServiceShare(route.service)]
    return routes.Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        # What is not known must not be run twice.
        kind=KINDS.get(route.kind, routes.RouteKind.ONCE),
        shares=tuple(shares),
        timeout_seconds=route.timeout_ms / _names.MS_PER_SECOND,
        objective_seconds=route.slo_ms / _names.MS_PER_SECOND,
        rank=route.priority,
        max_attempts=route.max_attempts,
        resumable=route.resumable,
        single_version=route.single_version,
        due_seconds=route.due_ms / _names.MS_PER_SECOND,
        max_age_seconds=route.max_age_s,
    )


def decode_version(found: objectstore.Object) -> tuple[str, int]:
    """Return the model and the version that its trainer has named."""
    entry = _decode(found, _Version)
    return entry.model, entry.version
