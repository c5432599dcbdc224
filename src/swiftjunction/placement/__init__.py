"""Decides which model each engine loads, and orders the engines."""

from swiftjunction.placement._limits import list_model_limits
from swiftjunction.placement._loading import ModelLoader
from swiftjunction.placement._plan import PLACEMENT_PREFIX
from swiftjunction.placement._plan import Plan
from swiftjunction.placement._plan import PlanTracker
from swiftjunction.placement._planner import Planner
from swiftjunction.placement._policy import DemandPolicy
from swiftjunction.placement._policy import ModelLimits
from swiftjunction.placement._policy import Move
from swiftjunction.placement._policy import PlacementPolicy
from swiftjunction.placement._policy import PlannedEngine

__all__ = [
    'DemandPolicy',
    'ModelLimits',
    'ModelLoader',
    'Move',
    'PLACEMENT_PREFIX',
    'PlacementPolicy',
    'Plan',
    'PlanTracker',
    'PlannedEngine',
    'Planner',
    'list_model_limits',
]
