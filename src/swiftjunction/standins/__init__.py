"""Stand-ins for the systems around this one, with switchable faults.

They serve the tests, the demo and the bench, and nothing else.
"""

from swiftjunction.standins._daemon import StandinDaemon
from swiftjunction.standins._engine_app import EngineStandin
from swiftjunction.standins._faults import FaultSwitches
from swiftjunction.standins._hosting import host
from swiftjunction.standins._hosting import Standin
from swiftjunction.standins._objects import ObjectStoreStandin
from swiftjunction.standins._plan import read_plan
from swiftjunction.standins._plan import StandinPlan
from swiftjunction.standins._platform_store import PlatformStoreStandin
from swiftjunction.standins._platform_workers import expect_text
from swiftjunction.standins._platform_workers import PlatformEngineStandin
from swiftjunction.standins._platform_workers import PlatformServiceStandin
from swiftjunction.standins._schedule import FaultEvent
from swiftjunction.standins._schedule import FaultSchedule
from swiftjunction.standins._schedule import read_schedule
from swiftjunction.standins._schedule import run_schedule
from swiftjunction.standins._service import ServiceStandin
from swiftjunction.standins._texts import count_tokens
from swiftjunction.standins._texts import expected_text
from swiftjunction.standins._trainer import TrainerStandin
from swiftjunction.standins._trainer import TrainerTally
from swiftjunction.standins._trainer import VERSION_KNOWN_SECONDS
from swiftjunction.standins._vms import VmListStandin
from swiftjunction.standins._weights import WeightStoreStandin

__all__ = [
    'EngineStandin',
    'FaultEvent',
    'FaultSchedule',
    'FaultSwitches',
    'ObjectStoreStandin',
    'PlatformEngineStandin',
    'PlatformServiceStandin',
    'PlatformStoreStandin',
    'ServiceStandin',
    'Standin',
    'StandinDaemon',
    'StandinPlan',
    'TrainerStandin',
    'TrainerTally',
    'VERSION_KNOWN_SECONDS',
    'VmListStandin',
    'WeightStoreStandin',
    'count_tokens',
    'expect_text',
    'expected_text',
    'host',
    'read_plan',
    'read_schedule',
    'run_schedule',
]
