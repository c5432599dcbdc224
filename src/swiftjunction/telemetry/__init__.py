"""Logs, metrics and state dumps."""

from swiftjunction.telemetry._bounded import RateLimitedHandler
from swiftjunction.telemetry._dump import StateDump
from swiftjunction.telemetry._log_lines import format_line
from swiftjunction.telemetry._log_lines import parse_lines
from swiftjunction.telemetry._log_lines import select_lines
from swiftjunction.telemetry._logs import configure_logging
from swiftjunction.telemetry._logs import ContextFilter
from swiftjunction.telemetry._logs import set_request_context
from swiftjunction.telemetry._metrics import Metrics

__all__ = [
    'ContextFilter',
    'Metrics',
    'RateLimitedHandler',
    'StateDump',
    'configure_logging',
    'format_line',
    'parse_lines',
    'select_lines',
    'set_request_context',
]
