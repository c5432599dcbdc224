"""In-memory stand-ins for external systems, with fault injection.

Only the tests, the demo and the benchmarks use them.
"""

from swiftjunction.standins._announcing import Arrival
from swiftjunction.standins._daemon import StandinDaemon
from swiftjunction.standins._duty_api import DutyApiStandin
from swiftjunction.standins._duty_api import DutyCall
from swiftjunction.standins._engine_app import EngineStandin
from swiftjunction.standins._faults import FaultSwitches
from swiftjunction.standins._hosting import serve
from swiftjunction.standins._hosting import Standin
from swiftjunction.standins._objects import ObjectStoreStandin
from swiftjunction.standins._platform_servers import PlatformEngineStandin
from swiftjunction.standins._platform_servers import PlatformServiceStandin
from swiftjunction.standins._platform_servers import POISON_MARKER
from swiftjunction.standins._platform_store import PlatformStoreStandin
from swiftjunction.standins._platform_texts import make_platform_stream
from swiftjunction.standins._platform_texts import make_platform_text
from swiftjunction.standins._ports import reserve_ports
from swiftjunction.standins._schedule import FaultEvent
from swiftjunction.standins._schedule import FaultSchedule
from swiftjunction.standins._schedule import read_schedule
from swiftjunction.standins._schedule import run_schedule
from swiftjunction.standins._service import ServiceStandin
from swiftjunction.standins._settings import read_standin_settings
from swiftjunction.standins._settings import StandinSettings
from swiftjunction.standins._software import DEFAULT_SOFTWARE
from swiftjunction.standins._software import find_software
from swiftjunction.standins._software import list_event_data
from swiftjunction.standins._stream_forms import remove_additions
from swiftjunction.standins._texts import count_tokens
from swiftjunction.standins._texts import make_completion_text
from swiftjunction.standins._trainer import TrainerStandin
from swiftjunction.standins._trainer import TrainerStats
from swiftjunction.standins._trainer import VERSION_PROPAGATION_SECONDS
from swiftjunction.standins._vms import VmListStandin
from swiftjunction.standins._weights import WeightStoreStandin

__all__ = [
    'Arrival',
    'DEFAULT_SOFTWARE',
    'DutyApiStandin',
    'DutyCall',
    'EngineStandin',
    'FaultEvent',
    'FaultSchedule',
    'FaultSwitches',
    'ObjectStoreStandin',
    'POISON_MARKER',
    'PlatformEngineStandin',
    'PlatformServiceStandin',
    'PlatformStoreStandin',
    'ServiceStandin',
    'Standin',
    'StandinDaemon',
    'StandinSettings',
    'TrainerStandin',
    'TrainerStats',
    'VERSION_PROPAGATION_SECONDS',
    'VmListStandin',
    'WeightStoreStandin',
    'count_tokens',
    'find_software',
    'list_event_data',
    'make_completion_text',
    'make_platform_stream',
    'make_platform_text',
    'read_schedule',
    'read_standin_settings',
    'remove_additions',
    'reserve_ports',
    'run_schedule',
    'serve',
]
