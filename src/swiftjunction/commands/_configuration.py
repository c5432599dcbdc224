"""``swiftjunction config``: shows and changes the settings of a team."""

import getpass
import time
import typing
import uuid

import cleo.helpers

from swiftjunction.commands import _conductor
from swiftjunction.commands import _paths
from swiftjunction import errors

MAX_SEND_ATTEMPTS = 4
RETRY_DELAY_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.5

TEAM = cleo.helpers.argument('team', 'The team.')


class _ConfigCommand(_conductor.ConductorCommand):
    """A command for the settings of one team."""

    def read_team(self, team: str) -> dict[str, typing.Any]:
        """Return the newest settings of a team and their object version."""
        return self.call_conductor('GET', f'/v1/configuration/{team}')

    def read_revision(self, team: str, revision: int) -> _paths.Paths:
        """Return the paths of a team at a revision."""
        url = f'/v1/configuration/{team}/history/{revision}'
        return self.call_conductor('GET', url)['subtree']['paths']

    def send_change(
        self, team: str, current: dict[str, typing.Any], paths: _paths.Paths
    ) -> None:
        """Send a change until its outcome is known, and print the outcome.

        Each attempt has the same nonce, so the change is applied at most
        once.

        Raises
        ------
        OutcomeUnknown
            If no attempt returned the outcome.
        """
        body = {
            'version': current['version'],
            'revision': current['subtree']['revision'],
            'author': getpass.getuser(),
            'paths': paths,
            'nonce': uuid.uuid4().hex,
        }
        for attempt in range(MAX_SEND_ATTEMPTS):
            try:
                answer = self.call_conductor(
                    'POST', f'/v1/configuration/{team}', body
                )
            except errors.OutcomeUnknown as error:
                last_error = error
                time.sleep(RETRY_DELAY_SECONDS * attempt)
                continue
            revision = body['revision'] + 1
            self.print_result(
                {**answer, 'revision': revision},
                f'accepted as revision {revision} of {team}',
            )
            return
        raise errors.OutcomeUnknown(
            f'it is unknown whether the change was accepted '
            f'({last_error.message}); check "config history {team}" or run '
            'the command again, which is safe',
            step='config',
            peer=last_error.peer,
        )


class ConfigGetCommand(_ConfigCommand):
    """Prints the settings of a team."""

    name = 'config get'
    description = "Shows a team's settings."
    arguments = [TEAM]

    def handle(self) -> int:
        answer = self.read_team(self.argument('team'))
        subtree = answer['subtree']
        head = (
            f'revision {subtree["revision"]}, in force here: '
            f'{answer["in_force"]}, changed by {subtree["changed_by"]} at '
            f'{subtree["changed_at"]}'
        )
        self.print_result(
            answer, '\n'.join([head, *_paths.format_paths(subtree['paths'])])
        )
        return 0


class ConfigSetCommand(_ConfigCommand):
    """Changes settings of one path."""

    name = 'config set'
    description = 'Changes settings of one path, keeping the others.'
    arguments = [
        cleo.helpers.argument('path', 'The path, team first.'),
        cleo.helpers.argument(
            'settings', 'key=value ..., or key= to unset.', multiple=True
        ),
    ]

    def handle(self) -> int:
        path = self.argument('path')
        team = path.split('/')[0]
        current = self.read_team(team)
        merged = dict(current['subtree']['paths'].get(path, {}))
        for pair in self.argument('settings'):
            key, separator, value = pair.partition('=')
            if not separator:
                raise errors.SettingsError([f'{pair!r}: must be key=value'])
            if value:
                merged[key] = _paths.parse_value(value)
            else:
                merged.pop(key, None)
        self.send_change(team, current, {path: merged})
        return 0


class ConfigApplyCommand(_ConfigCommand):
    """Replaces the settings of a team by those in a TOML file."""

    name = 'config apply'
    description = (
        "Replaces a team's settings by a TOML file, with a table for each "
        'path, in one change.'
    )
    arguments = [TEAM, cleo.helpers.argument('file', 'The TOML file.')]
    options = [
        *_ConfigCommand.options,
        cleo.helpers.option('keep', None, 'Keep paths not in the file.'),
        cleo.helpers.option(
            'dry-run', None, 'Print the changes without applying them.'
        ),
    ]

    def handle(self) -> int:
        team = self.argument('team')
        new_paths = _paths.read_paths(self.argument('file'))
        current = self.read_team(team)
        current_paths = current['subtree']['paths']
        if self.option('keep'):
            new_paths = {**current_paths, **new_paths}
        changes = _paths.replace_paths(current_paths, new_paths)
        if self.option('dry-run') or not changes:
            lines = _paths.format_changes(current_paths, new_paths)
            self.print_result(changes, '\n'.join(lines) or 'nothing to change')
            return 0
        self.send_change(team, current, changes)
        return 0


class ConfigDiffCommand(_ConfigCommand):
    """Prints the differences between two revisions."""

    name = 'config diff'
    description = 'Shows what changed from one revision to another.'
    arguments = [
        TEAM,
        cleo.helpers.argument(
            'old', 'Revision; default: the one before `new`.', True
        ),
        cleo.helpers.argument('new', 'Revision; default: the newest.', True),
    ]

    def handle(self) -> int:
        team = self.argument('team')
        new = _paths.parse_number(self.argument('new'))
        if new is None:
            new = self.read_team(team)['subtree']['revision']
        old = _paths.parse_number(self.argument('old'))
        before = self.read_revision(
            team, max(0, new - 1) if old is None else old
        )
        after = self.read_revision(team, new)
        lines = _paths.format_changes(before, after)
        self.print_result(
            {'old': before, 'new': after}, '\n'.join(lines) or 'no difference'
        )
        return 0


class ConfigHistoryCommand(_ConfigCommand):
    """Prints the author, time and paths of each change."""

    name = 'config history'
    description = "Shows who changed a team's settings, newest first."
    arguments = [TEAM]
    options = [
        *_ConfigCommand.options,
        cleo.helpers.option(
            'limit', None, 'Maximum number of revisions.', False, default='20'
        ),
    ]

    def handle(self) -> int:
        answer = self.call_conductor(
            'GET',
            f'/v1/configuration/{self.argument("team")}/history'
            f'?limit={self.option("limit")}',
        )
        lines = [
            f'{entry["revision"]:>6}  {entry["changed_at"]}  '
            f'{entry["changed_by"]:<16} {", ".join(entry["paths"])}'
            for entry in answer['history']
        ]
        self.print_result(answer, '\n'.join(lines) or 'no revisions')
        return 0


class ConfigRollbackCommand(_ConfigCommand):
    """Creates a new revision with the settings of an old one."""

    name = 'config rollback'
    description = 'Creates a new revision with the settings of an old one.'
    arguments = [TEAM, cleo.helpers.argument('revision', 'The revision.')]

    def handle(self) -> int:
        team = self.argument('team')
        revision = _paths.parse_number(self.argument('revision'))
        assert revision is not None, 'cleo requires this argument'
        current = self.read_team(team)
        new_paths = self.read_revision(team, revision)
        changes = _paths.replace_paths(current['subtree']['paths'], new_paths)
        if not changes:
            self.print_result(
                {}, f'{team} is already as in revision {revision}'
            )
            return 0
        self.send_change(team, current, changes)
        return 0


class ConfigWatchCommand(_ConfigCommand):
    """Prints each change when the conductor applies it."""

    name = 'config watch'
    description = 'Shows each change when the conductor applies it.'
    arguments = [TEAM]
    options = [
        *_ConfigCommand.options,
        cleo.helpers.option(
            'changes', None, 'Exit after this number of changes.', False
        ),
    ]

    def handle(self) -> int:
        team = self.argument('team')
        remaining = _paths.parse_number(self.option('changes'))
        shown_revision = self._read_active_revision(team)
        shown_paths = self.read_revision(team, shown_revision)
        while remaining is None or remaining > 0:
            time.sleep(POLL_INTERVAL_SECONDS)
            revision = self._read_active_revision(team)
            if revision <= shown_revision:
                continue
            new = self.read_revision(team, revision)
            lines = [
                f'revision {revision}',
                *_paths.format_changes(shown_paths, new),
            ]
            self.print_result(
                {'revision': revision, 'paths': new}, '\n'.join(lines)
            )
            shown_revision, shown_paths = revision, new
            remaining = remaining - 1 if remaining is not None else None
        return 0

    def _read_active_revision(self, team: str) -> int:
        active = self.call_conductor('GET', '/in-force').get(team)
        return active['revision'] if active else 0


class ConfigWhereCommand(_ConfigCommand):
    """Prints the active revision of each daemon."""

    name = 'config where'
    description = 'Shows which revision each daemon applies.'
    arguments = [TEAM]

    def handle(self) -> int:
        team = self.argument('team')
        newest = self.read_team(team)['subtree']['revision']
        answer = self.call_conductor('GET', f'/v1/configuration/{team}/where')
        lines = [
            f'{daemon["process"]:<24} {daemon["data_center"]:<16} '
            + (daemon['problem'] or f'{daemon["revision"]}')
            + ('' if daemon['revision'] == newest else '  (behind)')
            for daemon in answer['daemons']
        ]
        self.print_result(
            {'newest': newest, **answer},
            '\n'.join([f'the newest revision is {newest}', *lines]),
        )
        return 0


COMMANDS = (
    ConfigGetCommand,
    ConfigSetCommand,
    ConfigApplyCommand,
    ConfigDiffCommand,
    ConfigHistoryCommand,
    ConfigRollbackCommand,
    ConfigWatchCommand,
    ConfigWhereCommand,
)
