"""Logs, metrics and state dumps."""

from swiftjunction.telemetry._dump import StateDump
from swiftjunction.telemetry._logs import note_request
from swiftjunction.telemetry._logs import PlaceFilter
from swiftjunction.telemetry._logs import set_up_logs
from swiftjunction.telemetry._metrics import Metrics

__all__ = [
    'Metrics',
    'PlaceFilter',
    'StateDump',
    'note_request',
    'set_up_logs',
]
