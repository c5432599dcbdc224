"""Stores batches of samples, runs them on engines and lists results."""

from swiftjunction.batches._access import AccessList
from swiftjunction.batches._access import ArchiveAccess
from swiftjunction.batches._access import BatchAccess
from swiftjunction.batches._access import FailoverAccess
from swiftjunction.batches._access import RunnerAccess
from swiftjunction.batches._archive import BATCH_PREFIX
from swiftjunction.batches._archive import BatchArchive
from swiftjunction.batches._archive import BatchSummary
from swiftjunction.batches._archive import StoredBatch
from swiftjunction.batches._assignment import EngineAllocator
from swiftjunction.batches._batch import Batch
from swiftjunction.batches._batch import MAX_TOKENS
from swiftjunction.batches._batch import Result
from swiftjunction.batches._batch import Sample
from swiftjunction.batches._batch import ScoreRequest
from swiftjunction.batches._confirmation import EndConfirmation
from swiftjunction.batches._confirmation import OutageDetector
from swiftjunction.batches._engine_client import EngineReport
from swiftjunction.batches._engine_client import SampleEngineClient
from swiftjunction.batches._engine_client import VersionOrder
from swiftjunction.batches._engines import EngineRegistry
from swiftjunction.batches._engines import EngineState
from swiftjunction.batches._kept import ProgressCache
from swiftjunction.batches._kept import ProgressSnapshot
from swiftjunction.batches._kept import snapshot_incomplete_groups
from swiftjunction.batches._open import make_page
from swiftjunction.batches._open import OpenBatch
from swiftjunction.batches._open import ResultPage
from swiftjunction.batches._open import SampleProgress
from swiftjunction.batches._planning import EngineSelector
from swiftjunction.batches._planning import prioritize_samples
from swiftjunction.batches._retention import Retention
from swiftjunction.batches._rollout import select_engines
from swiftjunction.batches._rollout import VersionRollout
from swiftjunction.batches._runner import BatchRunner
from swiftjunction.batches._sampling import SampleRunner
from swiftjunction.batches._scoring import RoutedScorer
from swiftjunction.batches._scoring import SampleScorer
from swiftjunction.batches._writing import should_write

__all__ = [
    'AccessList',
    'ArchiveAccess',
    'BATCH_PREFIX',
    'Batch',
    'BatchAccess',
    'BatchArchive',
    'BatchRunner',
    'BatchSummary',
    'EndConfirmation',
    'EngineAllocator',
    'EngineRegistry',
    'EngineReport',
    'EngineSelector',
    'EngineState',
    'FailoverAccess',
    'MAX_TOKENS',
    'OpenBatch',
    'ProgressCache',
    'ProgressSnapshot',
    'Result',
    'ResultPage',
    'Retention',
    'RoutedScorer',
    'RunnerAccess',
    'Sample',
    'SampleEngineClient',
    'SampleProgress',
    'SampleRunner',
    'SampleScorer',
    'ScoreRequest',
    'OutageDetector',
    'StoredBatch',
    'VersionOrder',
    'VersionRollout',
    'make_page',
    'prioritize_samples',
    'select_engines',
    'should_write',
    'snapshot_incomplete_groups',
]
