"""Which model each engine loads."""

from swiftjunction.placement._loading import Loading
from swiftjunction.placement._needs import list_needs
from swiftjunction.placement._plan import PLACEMENT_PREFIX
from swiftjunction.placement._plan import Plan
from swiftjunction.placement._plan import PlanBoard
from swiftjunction.placement._planner import Planner
from swiftjunction.placement._policy import DemandPolicy
from swiftjunction.placement._policy import EngineState
from swiftjunction.placement._policy import ModelNeed
from swiftjunction.placement._policy import Move
from swiftjunction.placement._policy import PlacementPolicy

__all__ = [
    'DemandPolicy',
    'EngineState',
    'Loading',
    'ModelNeed',
    'Move',
    'PLACEMENT_PREFIX',
    'PlacementPolicy',
    'Plan',
    'PlanBoard',
    'Planner',
    'list_needs',
]
