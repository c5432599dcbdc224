"""JSON-line logs."""

import contextvars
import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from swiftjunction.telemetry import _bounded

# Libraries whose lines on each connection would drown our own.
QUIET_LOGGERS = ('httpcore', 'httpx', 'hypercorn.error')
FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


# Of the request that a task works on; tasks that it starts inherit them.
_request_id = contextvars.ContextVar('request_id', default='')
_team = contextvars.ContextVar('team', default='')


def set_request_context(request_id: str, path: str) -> None:
    """Name the request and the team in what this task logs from now on."""
    _request_id.set(request_id)
    _team.set(path.split('/')[0])


class ContextFilter(logging.Filter):
    """Adds the request, the team, and an error's step and peer."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Add them to `record`; every record passes."""
        for name, variable in (('request_id', _request_id), ('team', _team)):
            if variable.get():
                setattr(record, name, variable.get())
        candidates = list(record.args) if record.args else []
        if record.exc_info and record.exc_info[1]:
            candidates.append(record.exc_info[1])
        for candidate in candidates:
            for name in ('step', 'peer'):
                value = getattr(candidate, name, '')
                if value and not hasattr(record, name):
                    setattr(record, name, value)
        return True


def configure_logging(process: str, vm: str, level: str = 'INFO') -> None:
    """Log as JSON lines to standard output, never waiting for its reader.

    Parameters
    ----------
    process : str
        The binary that logs.
    vm : str
        The VM it runs on.
    level : str
        The least severe level that is written.
    """
    handler = _bounded.RateLimitedHandler(sys.stdout.fileno())
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
