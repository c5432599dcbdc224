"""Batches of samples: accepted once, run on engines, listed in order."""

from swiftjunction.batches._access import ArchiveAccess
from swiftjunction.batches._access import BatchAccess
from swiftjunction.batches._access import ChooseAccess
from swiftjunction.batches._access import FirstAccess
from swiftjunction.batches._access import RunnerAccess
from swiftjunction.batches._archive import BATCH_PREFIX
from swiftjunction.batches._archive import BatchArchive
from swiftjunction.batches._archive import BatchSummary
from swiftjunction.batches._archive import StoredBatch
from swiftjunction.batches._assignment import Assignment
from swiftjunction.batches._batch import Batch
from swiftjunction.batches._batch import Item
from swiftjunction.batches._batch import Result
from swiftjunction.batches._batch import Scorer
from swiftjunction.batches._engine import EngineReport
from swiftjunction.batches._engine import SampleEngine
from swiftjunction.batches._engine import VersionOrder
from swiftjunction.batches._engines import EngineBook
from swiftjunction.batches._engines import EngineState
from swiftjunction.batches._kept import KeptText
from swiftjunction.batches._kept import KeptTexts
from swiftjunction.batches._kept import select_unfinished
from swiftjunction.batches._open import cut_page
from swiftjunction.batches._open import OpenBatch
from swiftjunction.batches._open import Page
from swiftjunction.batches._open import Progress
from swiftjunction.batches._planning import order_samples
from swiftjunction.batches._planning import Placement
from swiftjunction.batches._retention import Retention
from swiftjunction.batches._rollout import choose_engines
from swiftjunction.batches._rollout import VersionRollout
from swiftjunction.batches._runner import BatchRunner
from swiftjunction.batches._sampling import SampleRunner
from swiftjunction.batches._scoring import RoutedScoring
from swiftjunction.batches._scoring import Scoring
from swiftjunction.batches._writing import should_write

__all__ = [
    'ArchiveAccess',
    'Assignment',
    'BATCH_PREFIX',
    'Batch',
    'BatchAccess',
    'BatchArchive',
    'BatchRunner',
    'BatchSummary',
    'ChooseAccess',
    'EngineBook',
    'EngineReport',
    'EngineState',
    'FirstAccess',
    'Item',
    'KeptText',
    'KeptTexts',
    'OpenBatch',
    'Page',
    'Placement',
    'Progress',
    'Result',
    'Retention',
    'RoutedScoring',
    'RunnerAccess',
    'SampleEngine',
    'SampleRunner',
    'Scorer',
    'Scoring',
    'StoredBatch',
    'VersionOrder',
    'VersionRollout',
    'choose_engines',
    'cut_page',
    'order_samples',
    'select_unfinished',
    'should_write',
]
