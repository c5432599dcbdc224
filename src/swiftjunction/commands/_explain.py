"""``swiftjunction explain``: the log lines of one request."""

import collections.abc
import pathlib
import sys

import cleo.commands.command
import cleo.helpers
import msgspec

from swiftjunction.commands import _application
from swiftjunction import errors
from swiftjunction import telemetry


class ExplainCommand(cleo.commands.command.Command):
    """Prints the log lines of a request, a batch or a server in order."""

    name = 'explain'
    description = (
        'Prints the log lines of a request, a batch or a server in order of '
        'time.'
    )
    arguments = [
        cleo.helpers.argument(
            'id',
            'Identifier of the request, the sample, the batch or the server.',
        ),
        cleo.helpers.argument(
            'files',
            'Log files of all processes; default: standard input.',
            optional=True,
            multiple=True,
        ),
    ]
    options = [
        cleo.helpers.option('json', None, 'Print the lines as JSON.'),
    ]

    def handle(self) -> int:
        identifier = self.argument('id')
        lines = telemetry.parse_lines(self._read_files())
        selected = telemetry.select_lines(lines, identifier)
        for line in selected:
            if self.option('json'):
                self.line(msgspec.json.encode(line).decode())
            else:
                self.line(telemetry.format_line(line))
        if not selected:
            self.line_error(f'no log line mentions {identifier}')
        return 0 if selected else _application.EXIT_FAILURE

    def _read_files(self) -> collections.abc.Iterator[str]:
        paths = self.argument('files')
        if not paths:
            yield from sys.stdin
        for path in paths:
            try:
                with pathlib.Path(path).open(errors='replace') as log:
                    yield from log
            except OSError as error:
                raise errors.SettingsError(
                    [f'{path}: cannot be read: {error.strerror}']
                ) from error
