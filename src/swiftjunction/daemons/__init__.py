"""The long-running processes, each assembled from the other packages."""

from swiftjunction.daemons._conductor import ConductorDaemon
from swiftjunction.daemons._daemon import Daemon
from swiftjunction.daemons._entry import EntryDaemon
from swiftjunction.daemons._rollout import RolloutDaemon
from swiftjunction.daemons._spool import SpoolDaemon

__all__ = [
    'ConductorDaemon',
    'Daemon',
    'EntryDaemon',
    'RolloutDaemon',
    'SpoolDaemon',
]
