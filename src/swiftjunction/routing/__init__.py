"""Which backend server gets a request."""

from swiftjunction.routing._pipeline import Route
from swiftjunction.routing._pipeline import Router
from swiftjunction.routing._policy import Policy
from swiftjunction.routing._policy import RoutingRequest
from swiftjunction.routing._simple import LeastOutstanding
from swiftjunction.routing._simple import RoundRobin
from swiftjunction.routing._simple import TwoChoices

__all__ = [
    'LeastOutstanding',
    'Policy',
    'RoundRobin',
    'Route',
    'Router',
    'RoutingRequest',
    'TwoChoices',
]
