"""Steps of trainers: generation, ordering and delivery of samples."""

from swiftjunction.steps._app import build_app
from swiftjunction.steps._app import StepApp
from swiftjunction.steps._ledger import Ledger
from swiftjunction.steps._payloads import NullPayloadStore
from swiftjunction.steps._payloads import PayloadStore
from swiftjunction.steps._payloads import SpoolPayloadStore
from swiftjunction.steps._production import Producer
from swiftjunction.steps._production import Slot
from swiftjunction.steps._queue import compute_weight
from swiftjunction.steps._queue import FairQueue
from swiftjunction.steps._registry import StepRegistry
from swiftjunction.steps._schedule import FirstInFirstOut
from swiftjunction.steps._schedule import LengthEstimator
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
    'LengthEstimator',
    'LongestFirst',
    'NullPayloadStore',
    'PayloadStore',
    'Producer',
    'Sample',
    'Schedule',
    'Slot',
    'SpoolPayloadStore',
    'Step',
    'StepApp',
    'StepRegistry',
    'StepSpec',
    'build_app',
    'compute_weight',
]
