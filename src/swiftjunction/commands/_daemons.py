"""The console scripts that run the daemons."""

import collections.abc
import typing

import cleo.commands.command
import cleo.helpers

from swiftjunction.commands import _application
from swiftjunction import daemons
from swiftjunction import errors
from swiftjunction import settings
from swiftjunction import telemetry

DaemonFactory = collections.abc.Callable[[settings.Settings], typing.Any]


class _RunCommand(cleo.commands.command.Command):
    name = 'run'
    options = [
        cleo.helpers.option(
            'config', 'c', "The VM's settings file.", flag=False
        ),
        cleo.helpers.option(
            'check', None, 'Only check the settings file and print its errors.'
        ),
    ]

    def __init__(
        self, program: str, description: str, factory: DaemonFactory
    ) -> None:
        self.description = description
        self._program = program
        self._factory = factory
        super().__init__()

    def handle(self) -> int:
        path = self.option('config')
        if not path:
            self.line_error(f'{self._program}: --config FILE is missing')
            return _application.EXIT_USAGE
        config = settings.read_settings(path)
        if self.option('check'):
            self.line(f'{path}: good')
            return 0
        telemetry.configure_logging(
            self._program, config.vm.name, config.logs.level
        )
        try:
            _application.run_until_signal(
                lambda: self._factory(config),
                lambda daemon: daemon.dump.write_on_signal(),
            )
        except errors.SettingsError as error:
            raise errors.SettingsError(
                [f'{path}: {problem}' for problem in error.problems]
            ) from error
        return 0


def _run(program: str, description: str, factory: DaemonFactory) -> int:
    command = _RunCommand(program, description, factory)
    return _application.run_application(program, [command], default='run')


def run_entry() -> int:
    """Run ``swiftjunction-entry``."""
    return _run(
        'swiftjunction-entry',
        'Serves the requests of callers.',
        daemons.EntryDaemon,
    )


def run_rollout() -> int:
    """Run ``swiftjunction-rollout``."""
    return _run(
        'swiftjunction-rollout',
        'Serves the steps of trainers.',
        daemons.RolloutDaemon,
    )


def run_conductor() -> int:
    """Run ``swiftjunction-conductor``."""
    return _run(
        'swiftjunction-conductor',
        'Maintains shared state and controls engines.',
        daemons.ConductorDaemon,
    )


def run_spool() -> int:
    """Run ``swiftjunction-spool``."""
    return _run(
        'swiftjunction-spool',
        'Stores finished samples in memory or on disk.',
        daemons.SpoolDaemon,
    )
