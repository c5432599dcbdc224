"""Orders of servers for services whose number of servers may change."""

from swiftjunction.scaling._decision import decide
from swiftjunction.scaling._decision import find_problem
from swiftjunction.scaling._demand import BatchWork
from swiftjunction.scaling._demand import DemandTracker
from swiftjunction.scaling._demand import Need
from swiftjunction.scaling._demand import SampleWork
from swiftjunction.scaling._limits import ServiceScaling
from swiftjunction.scaling._record import list_states
from swiftjunction.scaling._record import OrderArchive
from swiftjunction.scaling._record import OrderRecord
from swiftjunction.scaling._record import SCALING_PREFIX
from swiftjunction.scaling._record import ServiceRecord
from swiftjunction.scaling._record import SubjectState
from swiftjunction.scaling._situation import Decision
from swiftjunction.scaling._situation import PlacedOrder
from swiftjunction.scaling._situation import Placement
from swiftjunction.scaling._situation import Situation
from swiftjunction.scaling._supply import ServerView
from swiftjunction.scaling._supply import Subject
from swiftjunction.scaling._supply import Supply
from swiftjunction.scaling._supply import SupplyTracker

__all__ = [
    'BatchWork',
    'Decision',
    'DemandTracker',
    'Need',
    'OrderArchive',
    'OrderRecord',
    'PlacedOrder',
    'Placement',
    'SCALING_PREFIX',
    'SampleWork',
    'ServerView',
    'ServiceRecord',
    'ServiceScaling',
    'Situation',
    'Subject',
    'SubjectState',
    'Supply',
    'SupplyTracker',
    'decide',
    'find_problem',
    'list_states',
]
