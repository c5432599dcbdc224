"""Runs the background tasks of a process, and reports those that fail."""

from swiftjunction.supervision._items import IsolatedItems
from swiftjunction.supervision._supervisor import Supervisor
from swiftjunction.supervision._supervisor import Task

__all__ = [
    'IsolatedItems',
    'Supervisor',
    'Task',
]
