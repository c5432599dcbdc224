"""Logging configuration: JSON lines on standard output."""

import contextvars
import logging
import sys
import threading

from pythonjsonlogger.json import JsonFormatter

from swiftjunction.telemetry import _bounded
from swiftjunction.telemetry import _descriptors

LOG = logging.getLogger(__name__)

STANDARD_OUTPUT = 1

# Libraries that log each connection, which would hide the lines of this
# service; only their warnings and errors are logged.
QUIET_LOGGERS = ('httpcore', 'httpx', 'hypercorn.error')
FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


# Context of the request that the current task handles. A child task inherits
# it.
_request_id = contextvars.ContextVar('request_id', default='')
_team = contextvars.ContextVar('team', default='')
_organisation = contextvars.ContextVar('organisation', default='')


def set_request_context(request_id: str, path: str) -> None:
    """Add the request and its team to all further log lines of this task.

    The team is the first segment of `path`.
    """
    _request_id.set(request_id)
    _team.set(path.split('/')[0])
    _organisation.set('')


def set_organisation(name: str) -> None:
    """Add an organisation to the further log lines of the request."""
    _organisation.set(name)


class ContextFilter(logging.Filter):
    """Adds the request, its sender, and the step and peer of an error."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Add the context to `record`; no record is rejected."""
        for name, variable in (
            ('request_id', _request_id),
            ('team', _team),
            ('organisation', _organisation),
        ):
            if variable.get():
                setattr(record, name, variable.get())
        values = list(record.args) if record.args else []
        if record.exc_info and record.exc_info[1]:
            values.append(record.exc_info[1])
        for value in values:
            for name in ('step', 'peer'):
                attribute = getattr(value, name, '')
                if attribute and not hasattr(record, name):
                    setattr(record, name, attribute)
        return True


def configure_logging(process: str, vm: str, level: str = 'INFO') -> None:
    """Log JSON lines to standard output without ever blocking on it.

    What Python itself would write to standard error, where nothing bounds it,
    is logged as well: warnings, and exceptions in finalizers and threads.

    Parameters
    ----------
    process : str
        Name of the program.
    vm : str
        Name of the VM that the program runs on.
    level : str
        Lowest level that is logged.
    """
    _descriptors.open_missing_descriptors()
    handler = _bounded.RateLimitedHandler(STANDARD_OUTPUT)
    handler.addFilter(ContextFilter())
    handler.setFormatter(
        JsonFormatter(
            FIELDS,
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={'process': process, 'vm': vm},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for name in QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
    logging.captureWarnings(True)
    sys.unraisablehook = _log_unraisable
    threading.excepthook = _log_thread_error


def _log_unraisable(arguments: 'sys.UnraisableHookArgs') -> None:
    LOG.error(
        'an exception was ignored in %r',
        arguments.object,
        exc_info=arguments.exc_value,
    )


def _log_thread_error(arguments: threading.ExceptHookArgs) -> None:
    LOG.error('a thread failed', exc_info=arguments.exc_value)
