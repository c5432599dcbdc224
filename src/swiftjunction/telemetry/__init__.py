"""Structured logs, metrics and state dumps."""

from swiftjunction.telemetry._bounded import RateLimitedHandler
from swiftjunction.telemetry._descriptors import report
from swiftjunction.telemetry._dump import StateDump
from swiftjunction.telemetry._logs import configure_logging
from swiftjunction.telemetry._logs import ContextFilter
from swiftjunction.telemetry._logs import set_organisation
from swiftjunction.telemetry._logs import set_request_context
from swiftjunction.telemetry._metrics import Metrics
from swiftjunction.telemetry._stories import format_line
from swiftjunction.telemetry._stories import parse_lines
from swiftjunction.telemetry._stories import select_lines

__all__ = [
    'ContextFilter',
    'Metrics',
    'RateLimitedHandler',
    'StateDump',
    'configure_logging',
    'format_line',
    'parse_lines',
    'report',
    'select_lines',
    'set_organisation',
    'set_request_context',
]
