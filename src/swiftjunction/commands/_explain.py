"""``swiftjunction explain``: what became of one request."""

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
    """Prints the story of a request from the logs of all processes."""

    name = 'explain'
    description = 'Prints what the logs say of a request or a batch, in order.'
    arguments = [
        cleo.helpers.argument('id', 'The request, the sample or the batch.'),
        cleo.helpers.argument(
            'files',
            'Logs of all processes; standard input where there is none.',
            optional=True,
            multiple=True,
        ),
    ]
    options = [
        cleo.helpers.option('json', None, 'Print the lines as they are.'),
    ]

    def handle(self) -> int:
        wanted = self.argument('id')
        lines = telemetry.parse_lines(self._read_files())
        story = telemetry.select_lines(lines, wanted)
        for line in story:
            if self.option('json'):
                self.line(msgspec.json.encode(line).decode())
            else:
                self.line(telemetry.format_line(line))
        if not story:
            self.line_error(f'no line names {wanted}')
        return 0 if story else _application.EXIT_FAILURE

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
