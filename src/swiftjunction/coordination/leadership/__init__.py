"""The lease of the coordinator: its holder, terms and successors."""

from swiftjunction.coordination.leadership._coordinator import Coordinator
from swiftjunction.coordination.leadership._coordinator import CoordinatorTask
from swiftjunction.coordination.leadership._duty import ControlLoops
from swiftjunction.coordination.leadership._duty import DeploymentEvents
from swiftjunction.coordination.leadership._duty import Duty
from swiftjunction.coordination.leadership._fitness import DutyFitness
from swiftjunction.coordination.leadership._fitness import EngineFitness

__all__ = [
    'ControlLoops',
    'Coordinator',
    'CoordinatorTask',
    'DeploymentEvents',
    'Duty',
    'DutyFitness',
    'EngineFitness',
]
