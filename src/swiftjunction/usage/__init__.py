"""Counts the requests of organisations, and reports them to the platform."""

from swiftjunction.usage._archive import FixedReport
from swiftjunction.usage._archive import UsageArchive
from swiftjunction.usage._archive import UsageState
from swiftjunction.usage._counter import UsageCounter
from swiftjunction.usage._duty import UsageReporter
from swiftjunction.usage._exchange import UsageCollector
from swiftjunction.usage._exchange import UsageExchange
from swiftjunction.usage._messages import CountEntry
from swiftjunction.usage._messages import UsageCounts
from swiftjunction.usage._messages import UsageReceipt
from swiftjunction.usage._windows import Clock
from swiftjunction.usage._windows import Windows

__all__ = [
    'Clock',
    'CountEntry',
    'FixedReport',
    'UsageArchive',
    'UsageCollector',
    'UsageCounter',
    'UsageCounts',
    'UsageExchange',
    'UsageReceipt',
    'UsageReporter',
    'UsageState',
    'Windows',
]
