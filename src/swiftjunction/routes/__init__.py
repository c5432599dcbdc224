"""Routes: the service and the limits that apply to each request."""

from swiftjunction.routes._route import Route
from swiftjunction.routes._route import RouteKind
from swiftjunction.routes._route import ServiceShare
from swiftjunction.routes._table import ActiveRoutes
from swiftjunction.routes._table import ConnectionLimits
from swiftjunction.routes._table import RouteTable

__all__ = [
    'ActiveRoutes',
    'ConnectionLimits',
    'Route',
    'RouteKind',
    'RouteTable',
    'ServiceShare',
]
