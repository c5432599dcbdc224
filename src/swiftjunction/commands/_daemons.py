"""The console scripts of the daemons."""

import collections.abc
import typing

import cleo.commands.command
import cleo.helpers

from swiftjunction.commands import _application
from swiftjunction import daemons
from swiftjunction import errors
from swiftjunction import settings
from swiftjunction import telemetry

Build = collections.abc.Callable[[settings.Settings], typing.Any]


class _RunCommand(cleo.commands.command.Command):
    name = 'run'
    options = [
        cleo.helpers.option(
            'config', 'c', "The VM's settings file.", flag=False
        ),
        cleo.helpers.option(
            'check', None, 'Only read the settings and say what is wrong.'
        ),
    ]

    def __init__(self, process: str, description: str, build: Build) -> None:
        self.description = description
        self._process = process
        self._build = build
        super().__init__()

    def handle(self) -> int:
        path = self.option('config')
        if not path:
            self.line_error(f'{self._process}: --config FILE is missing')
            return _application.EXIT_USAGE
        config = settings.read_settings(path)
        if self.option('check'):
            self.line(f'{path}: good')
            return 0
        telemetry.configure_logging(
            self._process, config.vm.name, config.logs.level
        )
        try:
            _application.run_until_signal(
                lambda: self._build(config),
                lambda daemon: daemon.dump.write_on_signal(),
            )
        except errors.SettingsError as error:
            raise errors.SettingsError(
                [f'{path}: {problem}' for problem in error.problems]
            ) from error
        return 0


def _run(process: str, description: str, build: Build) -> int:
    command = _RunCommand(process, description, build)
    return _application.run_application(process, [command], default='run')


def run_entry() -> int:
    """Run ``swiftjunction-entry``."""
    return _run(
        'swiftjunction-entry', 'Serves live callers.', daemons.EntryDaemon
    )


def run_rollout() -> int:
    """Run ``swiftjunction-rollout``."""
    return _run(
        'swiftjunction-rollout', 'Serves trainers.', daemons.RolloutDaemon
    )


def run_conductor() -> int:
    """Run ``swiftjunction-conductor``."""
    return _run(
        'swiftjunction-conductor',
        'Keeps the shared state and orders weights onto engines.',
        daemons.ConductorDaemon,
    )


def run_spool() -> int:
    """Run ``swiftjunction-spool``."""
    return _run(
        'swiftjunction-spool',
        'Keeps finished samples on disk.',
        daemons.SpoolDaemon,
    )
