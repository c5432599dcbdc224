"""Logs, metrics and state dumps."""

from swiftjunction.telemetry._bounded import BoundedHandler
from swiftjunction.telemetry._dump import StateDump
from swiftjunction.telemetry._logs import note_request
from swiftjunction.telemetry._logs import PlaceFilter
from swiftjunction.telemetry._logs import set_up_logs
from swiftjunction.telemetry._metrics import Metrics
from swiftjunction.telemetry._stories import describe_line
from swiftjunction.telemetry._stories import read_lines
from swiftjunction.telemetry._stories import select_story

__all__ = [
    'BoundedHandler',
    'Metrics',
    'PlaceFilter',
    'StateDump',
    'describe_line',
    'note_request',
    'read_lines',
    'select_story',
    'set_up_logs',
]
