"""Decodes objects of the kinds that the platform defines."""

import re
import typing

import msgspec

from swiftjunction import backends
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction import organisations
from swiftjunction.platform import _names
from swiftjunction import routes
from swiftjunction import scaling
from swiftjunction import web

SERVER_STATES = {'ready': 'live', 'draining': 'leaving'}
ROUTE_KINDS = {
    'safe': routes.RouteKind.IDEMPOTENT,
    'unsafe': routes.RouteKind.ONCE,
    'streaming': routes.RouteKind.STREAM,
    'rollout': routes.RouteKind.BATCH,
    'batch': routes.RouteKind.BATCH,
}


# Longer software versions are invalid.
MAX_SOFTWARE_CHARS = 256
MAX_WEIGHT = 1e9
MAX_PRICE = 1e9
# Servers are named in a header of each request.
SERVER_NAME_PATTERN = re.compile('[!-~]{1,256}')

_Weight = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
_Remaining = typing.Annotated[
    float,
    msgspec.Meta(ge=-decoding.MAX_MILLISECONDS, le=decoding.MAX_MILLISECONDS),
]
_Price = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_PRICE)]


class _Model(msgspec.Struct):
    name: str
    version: decoding.Count


class _Server(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    # Of its software.
    version: typing.Annotated[str, msgspec.Meta(max_length=MAX_SOFTWARE_CHARS)]
    capacity: decoding.Count = 0
    models: list[_Model] = []
    born: decoding.Count = 0
    spot: bool = False
    # Remaining time of a server that is to leave; negative once it is over.
    leaves_ms: _Remaining = 0.0


class _ServiceShare(msgspec.Struct):
    service: str
    weight: _Weight = 1.0


class _Route(msgspec.Struct):
    host: str
    path_prefix: str
    kind: str
    name: str = ''
    service: str = ''
    # Services of a route that splits its traffic by weight.
    backends: list[_ServiceShare] = []
    timeout_ms: decoding.Milliseconds = 0.0
    slo_ms: decoding.Milliseconds = 0.0
    priority: decoding.Integer = 0
    max_attempts: decoding.Count = 1
    resumable: bool = False
    single_version: bool = False
    due_ms: decoding.Milliseconds = 0.0
    max_age_s: decoding.Seconds = 0.0
    public: bool = False


class _Organisation(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: decoding.Integer | None = None


class _Scaling(msgspec.Struct):
    min: decoding.Count = 0
    max: decoding.Count = 0
    boot_time_s: decoding.Seconds = 0.0
    spot_price: _Price = 1.0
    zone_prices: dict[str, _Price] = {}


class _Service(msgspec.Struct):
    name: str
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct):
    idle_timeout_ms: decoding.Milliseconds = 75_000.0
    max_body_bytes: decoding.Count = 32 * 1024 * 1024
    max_header_bytes: decoding.Count = 16 * 1024
    header_timeout_ms: decoding.Milliseconds = 15_000.0


class _Config(msgspec.Struct):
    version: decoding.Integer
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Not given if requests carry no keys.
    tenants: list[_Organisation] | None = None
    services: list[_Service] = []


class _ModelVersion(msgspec.Struct):
    model: str
    version: decoding.Count


Schema = typing.TypeVar('Schema')


def _decode(obj: objectstore.Object, schema: type[Schema]) -> Schema:
    return objectstore.decode_value(obj, schema)


def decode_server(obj: objectstore.Object) -> backends.ServerReport:
    """Decode the object of a backend server.

    Raises
    ------
    ObjectBroken
        If a field is missing or invalid, or no header can carry the name.
    """
    server = _decode(obj, _Server)
    name = obj.key.partition('/')[2]
    state = SERVER_STATES.get(server.state)
    if (
        state is None
        or not server.service
        or not web.is_address(server.address)
        or SERVER_NAME_PATTERN.fullmatch(name) is None
    ):
        raise errors.ObjectBroken(
            f'{ascii(obj.key)}: invalid name, state {server.state!r}, service '
            f'{server.service!r} or address {server.address!r}',
            step='decode',
        )
    return backends.ServerReport(
        name=name,
        address=server.address,
        service=server.service,
        data_center=server.zone,
        state=state,
        listed_service=server.service,
        model_versions={model.name: model.version for model in server.models},
        slots=server.capacity,
        born_ms=server.born,
        software=server.version,
        is_spot=server.spot,
        leaves_seconds=max(server.leaves_ms, 0.0) / _names.MS_PER_SECOND,
    )


def decode_routes(obj: objectstore.Object) -> routes.RouteTable:
    """Decode the routing table of a configuration.

    Raises
    ------
    ObjectBroken
        If the configuration is malformed.
    """
    config = _decode(obj, _Config)
    limits = routes.ConnectionLimits(
        config.limits.idle_timeout_ms / _names.MS_PER_SECOND,
        config.limits.max_body_bytes,
        config.limits.max_header_bytes,
        config.limits.header_timeout_ms / _names.MS_PER_SECOND,
    )
    return routes.RouteTable(
        config.version,
        [_convert_route(route) for route in config.routes],
        limits,
        _convert_organisations(config),
        [
            _convert_scaling(service.name, service.scaling)
            for service in config.services
            if service.scaling is not None
        ],
    )


def _convert_organisations(
    config: _Config,
) -> organisations.KeyTable | None:
    if config.tenants is None:
        return None
    return organisations.KeyTable(
        (
            organisations.Organisation(found.name, found.priority),
            found.api_keys,
        )
        for found in config.tenants
    )


def _convert_scaling(service: str, limits: _Scaling) -> scaling.ServiceScaling:
    return scaling.ServiceScaling(
        service=service,
        min_servers=limits.min,
        max_servers=limits.max,
        boot_seconds=limits.boot_time_s,
        spot_price=limits.spot_price,
        prices=limits.zone_prices,
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
        # Requests of an unknown kind are assumed not to be idempotent.
        kind=ROUTE_KINDS.get(route.kind, routes.RouteKind.ONCE),
        shares=tuple(shares),
        timeout_seconds=route.timeout_ms / _names.MS_PER_SECOND,
        objective_seconds=route.slo_ms / _names.MS_PER_SECOND,
        rank=route.priority,
        max_attempts=route.max_attempts,
        resumable=route.resumable,
        single_version=route.single_version,
        due_seconds=route.due_ms / _names.MS_PER_SECOND,
        max_age_seconds=route.max_age_s,
        is_public=route.public,
    )


def decode_version(obj: objectstore.Object) -> tuple[str, int]:
    """Decode a model and its target version, as set by its trainer."""
    model_version = _decode(obj, _ModelVersion)
    return model_version.model, model_version.version
