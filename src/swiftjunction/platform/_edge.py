"""Runs the edge process, which serves callers on a VM."""

import logging
import pathlib

import anyio

from swiftjunction import errors
from swiftjunction.platform import _program
from swiftjunction.platform import _settings
from swiftjunction import telemetry

LOG = logging.getLogger(__name__)

PROCESS_NAME = 'swiftjunction-edge'
EXIT_FAILURE = 1
EXIT_USAGE = 2


async def _run(path: pathlib.Path) -> None:
    await _program.EdgeProgram(path).run()


def _report(error: errors.SettingsError) -> None:
    LOG.error('ends by its settings: %s', error, extra={'code': EXIT_USAGE})
    telemetry.report(error.problems)


def run_edge() -> int:
    """Run the edge process until a stop signal and return its exit code."""
    code = 0
    telemetry.configure_logging(PROCESS_NAME, vm='')
    try:
        path = _settings.find_settings_file()
        name = _settings.wait_for_settings(path).name
        telemetry.configure_logging(PROCESS_NAME, name)
        anyio.run(_run, path)
    except* errors.SettingsError as group:
        for error in group.exceptions:
            if isinstance(error, errors.SettingsError):
                _report(error)
        code = EXIT_USAGE
    except* Exception:
        LOG.exception(
            'ends by an unexpected error', extra={'code': EXIT_FAILURE}
        )
        code = EXIT_FAILURE
    return code
