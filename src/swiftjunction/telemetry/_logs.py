"""JSON-line logs."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


class _PlaceFilter(logging.Filter):
    """Adds the step and the peer of an error that is logged with it."""

    def filter(self, record: logging.LogRecord) -> bool:
        candidates = list(record.args) if record.args else []
        if record.exc_info and record.exc_info[1]:
            candidates.append(record.exc_info[1])
        for candidate in candidates:
            for name in ('step', 'peer'):
                value = getattr(candidate, name, '')
                if value and not hasattr(record, name):
                    setattr(record, name, value)
        return True


def set_up_logs(process: str, vm: str, level: str = 'INFO') -> None:
    """Log as JSON lines to standard error.

    Parameters
    ----------
    process : str
        The binary that logs.
    vm : str
        The VM it runs on.
    level : str
        The least severe level that is written.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(_PlaceFilter())
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
    logging.getLogger('httpx').setLevel(logging.WARNING)
    logging.getLogger('httpcore').setLevel(logging.WARNING)
