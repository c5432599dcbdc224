"""A deployment in one process, and a demo that checks its guarantees."""

from swiftjunction.demo._fleet import Fleet
from swiftjunction.demo._fleet import FleetOptions
from swiftjunction.demo._scenario import DemoResult
from swiftjunction.demo._scenario import run_demo

__all__ = [
    'DemoResult',
    'Fleet',
    'FleetOptions',
    'run_demo',
]
