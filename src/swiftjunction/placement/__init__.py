"""Decides which model each engine loads, and orders the engines."""

from swiftjunction.placement._limits import list_model_limits
from swiftjunction.placement._loading import ModelLoader
from swiftjunction.placement._plan import PLACEMENT_PREFIX
from swiftjunction.placement._plan import Plan
from swiftjunction.placement._plan import PlanTracker
from swiftjunction.placement._planner import Planner
from swiftjunction.placement._policy import DemandPolicy
from swiftjunction.placement._policy import EngineState
from swiftjunction.placement._policy import ModelLimits
from swiftjunction.placement._policy import Move
from swiftjunction.placement._policy import PlacementPolicy

__all__ = [
    'DemandPolicy',
    'EngineState',
    'ModelLimits',
    'ModelLoader',
    'Move',
    'PLACEMENT_PREFIX',
    'PlacementPolicy',
    'Plan',
    'PlanTracker',
    'Planner',
    'list_model_limits',
]
