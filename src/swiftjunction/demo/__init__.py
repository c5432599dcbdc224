"""The main job on an embedded default, in one process."""

from swiftjunction.demo._fleet import Fleet
from swiftjunction.demo._fleet import FleetPlan
from swiftjunction.demo._job import DemoResult
from swiftjunction.demo._job import run_demo

__all__ = ['DemoResult', 'Fleet', 'FleetPlan', 'run_demo']
