"""A trainer's step: its groups, samples, ledger and delivery."""

from swiftjunction.steps._app import build_app
from swiftjunction.steps._app import StepApp
from swiftjunction.steps._ledger import Ledger
from swiftjunction.steps._payloads import MemoryPayloads
from swiftjunction.steps._payloads import Payloads
from swiftjunction.steps._payloads import SpooledPayloads
from swiftjunction.steps._production import Producer
from swiftjunction.steps._production import Slot
from swiftjunction.steps._queue import FairQueue
from swiftjunction.steps._queue import weigh_step
from swiftjunction.steps._registry import StepRegistry
from swiftjunction.steps._schedule import FirstInFirstOut
from swiftjunction.steps._schedule import Lengths
from swiftjunction.steps._schedule import LongestFirst
from swiftjunction.steps._schedule import Schedule
from swiftjunction.steps._step import Group
from swiftjunction.steps._step import Sample
from swiftjunction.steps._step import Step
from swiftjunction.steps._step import StepSpec

__all__ = [
    'FairQueue',
    'FirstInFirstOut',
    'Group',
    'Ledger',
    'Lengths',
    'LongestFirst',
    'MemoryPayloads',
    'Payloads',
    'Producer',
    'Sample',
    'Schedule',
    'Slot',
    'SpooledPayloads',
    'Step',
    'StepApp',
    'StepRegistry',
    'StepSpec',
    'build_app',
    'weigh_step',
]
