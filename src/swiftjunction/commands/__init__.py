"""The entry points of the console scripts."""

from swiftjunction.commands._daemons import run_conductor
from swiftjunction.commands._daemons import run_entry
from swiftjunction.commands._daemons import run_rollout
from swiftjunction.commands._daemons import run_spool
from swiftjunction.commands._operator import run_operator
from swiftjunction.commands._standin import run_standin

__all__ = [
    'run_conductor',
    'run_entry',
    'run_operator',
    'run_rollout',
    'run_spool',
    'run_standin',
]
