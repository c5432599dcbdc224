"""``swiftjunction-standin``: stand-ins of external systems, on loopback."""

import cleo.commands.command
import cleo.helpers

from swiftjunction.commands import _application
from swiftjunction import standins
from swiftjunction import telemetry


async def _do_nothing(daemon: object) -> None:
    return


class _StandinCommand(cleo.commands.command.Command):
    name = 'run'
    description = 'Runs stand-ins of the platform and of backend servers.'
    options = [
        cleo.helpers.option('config', 'c', 'The stand-ins file.', flag=False),
        cleo.helpers.option(
            'only',
            None,
            'Run only this stand-in of the file; may be repeated.',
            flag=False,
            multiple=True,
        ),
        cleo.helpers.option(
            'schedule',
            None,
            'File of faults to switch on and off at given times.',
            flag=False,
        ),
        cleo.helpers.option(
            'check', None, 'Only check the file and print its errors.'
        ),
    ]

    def handle(self) -> int:
        path = self.option('config')
        if not path:
            self.line_error('swiftjunction-standin: --config FILE is missing')
            return _application.EXIT_USAGE
        settings = standins.read_standin_settings(path)
        if self.option('check'):
            self.line(f'{path}: good')
            return 0
        schedule = standins.FaultSchedule()
        if self.option('schedule'):
            schedule = standins.read_schedule(self.option('schedule'))
        telemetry.configure_logging('swiftjunction-standin', '', 'WARNING')
        only = set(self.option('only'))
        _application.run_until_signal(
            lambda: standins.StandinDaemon(settings, only, schedule),
            _do_nothing,
        )
        return 0


def run_standin() -> int:
    """Run ``swiftjunction-standin``."""
    return _application.run_application(
        'swiftjunction-standin', [_StandinCommand()], default='run'
    )
