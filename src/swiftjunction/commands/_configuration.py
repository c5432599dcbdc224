"""``swiftjunction config``: a team's settings."""

import getpass
import time
import typing
import uuid

import cleo.helpers

from swiftjunction.commands import _conductor
from swiftjunction.commands import _paths
from swiftjunction import errors

SEND_ATTEMPTS = 4
RETRY_SECONDS = 1.0
WATCH_INTERVAL_SECONDS = 0.5

TEAM = cleo.helpers.argument('team', 'The team.')


class _ConfigCommand(_conductor.ConductorCommand):
    """A command on one team's settings."""

    def read_team(self, team: str) -> dict[str, typing.Any]:
        """Return the newest subtree and its version."""
        return self.call_conductor('GET', f'/v1/configuration/{team}')

    def read_revision(self, team: str, revision: int) -> _paths.Paths:
        """Return the paths of a team as of a revision."""
        url = f'/v1/configuration/{team}/history/{revision}'
        return self.call_conductor('GET', url)['subtree']['paths']

    def send_change(
        self, team: str, seen: dict[str, typing.Any], paths: _paths.Paths
    ) -> None:
        """Send a change until its outcome is known, and show the outcome.

        It is sent again under the same nonce, so it takes effect once.
        """
        body = {
            'version': seen['version'],
            'revision': seen['subtree']['revision'],
            'author': getpass.getuser(),
            'paths': paths,
            'nonce': uuid.uuid4().hex,
        }
        for attempt in range(SEND_ATTEMPTS):
            try:
                answer = self.call_conductor(
                    'POST', f'/v1/configuration/{team}', body
                )
            except errors.OutcomeUnknown as error:
                unknown = error
                time.sleep(RETRY_SECONDS * attempt)
                continue
            revision = body['revision'] + 1
            self.show(
                {**answer, 'revision': revision},
                f'accepted as revision {revision} of {team}',
            )
            return
        raise errors.OutcomeUnknown(
            f'neither accepted nor refused for all that is known '
            f'({unknown.message}); "config history {team}" tells, and to run '
            'the command again is safe',
            step='config',
            peer=unknown.peer,
        )


class ConfigGetCommand(_ConfigCommand):
    """Shows a team's settings."""

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
        self.show(
            answer, '\n'.join([head, *_paths.format_paths(subtree['paths'])])
        )
        return 0


class ConfigSetCommand(_ConfigCommand):
    """Changes one path."""

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
        seen = self.read_team(team)
        merged = dict(seen['subtree']['paths'].get(path, {}))
        for pair in self.argument('settings'):
            key, separator, value = pair.partition('=')
            if not separator:
                raise errors.SettingsError([f'{pair!r}: must be key=value'])
            if value:
                merged[key] = _paths.read_value(value)
            else:
                merged.pop(key, None)
        self.send_change(team, seen, {path: merged})
        return 0


class ConfigApplyCommand(_ConfigCommand):
    """Changes many paths at once."""

    name = 'config apply'
    description = (
        'Makes a TOML file, with a table for each path, the settings of a '
        'team, all at once.'
    )
    arguments = [TEAM, cleo.helpers.argument('file', 'The TOML file.')]
    options = [
        *_ConfigCommand.options,
        cleo.helpers.option('keep', None, 'Keep paths not in the file.'),
        cleo.helpers.option('dry-run', None, 'Only show what would change.'),
    ]

    def handle(self) -> int:
        team = self.argument('team')
        wanted = _paths.read_paths(self.argument('file'))
        seen = self.read_team(team)
        held = seen['subtree']['paths']
        if self.option('keep'):
            wanted = {**held, **wanted}
        changes = _paths.replace_paths(held, wanted)
        if self.option('dry-run') or not changes:
            lines = _paths.format_changes(held, wanted)
            self.show(changes, '\n'.join(lines) or 'nothing to change')
            return 0
        self.send_change(team, seen, changes)
        return 0


class ConfigDiffCommand(_ConfigCommand):
    """Shows what changed between two revisions."""

    name = 'config diff'
    description = 'Shows what changed from one revision to another.'
    arguments = [
        TEAM,
        cleo.helpers.argument(
            'old', 'Revision; the one before the newest.', True
        ),
        cleo.helpers.argument('new', 'Revision; the newest.', True),
    ]

    def handle(self) -> int:
        team = self.argument('team')
        new = _paths.read_number(self.argument('new'))
        if new is None:
            new = self.read_team(team)['subtree']['revision']
        old = _paths.read_number(self.argument('old'))
        before = self.read_revision(
            team, max(0, new - 1) if old is None else old
        )
        after = self.read_revision(team, new)
        lines = _paths.format_changes(before, after)
        self.show(
            {'old': before, 'new': after}, '\n'.join(lines) or 'no difference'
        )
        return 0


class ConfigHistoryCommand(_ConfigCommand):
    """Shows who changed what."""

    name = 'config history'
    description = "Shows who changed a team's settings, newest first."
    arguments = [TEAM]
    options = [
        *_ConfigCommand.options,
        cleo.helpers.option('limit', None, 'Revisions.', False, default='20'),
    ]

    def handle(self) -> int:
        answer = self.call_conductor(
            'GET',
            f'/v1/configuration/{self.argument("team")}/history'
            f'?limit={self.option("limit")}',
        )
        lines = [
            f'{found["revision"]:>6}  {found["changed_at"]}  '
            f'{found["changed_by"]:<16} {", ".join(found["paths"])}'
            for found in answer['history']
        ]
        self.show(answer, '\n'.join(lines) or 'no revisions')
        return 0


class ConfigRollbackCommand(_ConfigCommand):
    """Makes an old revision the newest."""

    name = 'config rollback'
    description = 'Makes the settings of an old revision a new revision.'
    arguments = [TEAM, cleo.helpers.argument('revision', 'The revision.')]

    def handle(self) -> int:
        team = self.argument('team')
        revision = _paths.read_number(self.argument('revision'))
        assert revision is not None, 'cleo requires the argument'
        seen = self.read_team(team)
        wanted = self.read_revision(team, revision)
        changes = _paths.replace_paths(seen['subtree']['paths'], wanted)
        if not changes:
            self.show({}, f'{team} is already as in revision {revision}')
            return 0
        self.send_change(team, seen, changes)
        return 0


class ConfigWatchCommand(_ConfigCommand):
    """Shows each change as it comes into force."""

    name = 'config watch'
    description = 'Shows each change as the conductor has it in force.'
    arguments = [TEAM]
    options = [
        *_ConfigCommand.options,
        cleo.helpers.option('changes', None, 'End after so many.', False),
    ]

    def handle(self) -> int:
        team = self.argument('team')
        left = _paths.read_number(self.option('changes'))
        seen = self._read_in_force(team)
        paths = self.read_revision(team, seen)
        while left is None or left > 0:
            time.sleep(WATCH_INTERVAL_SECONDS)
            revision = self._read_in_force(team)
            if revision <= seen:
                continue
            new = self.read_revision(team, revision)
            lines = [
                f'revision {revision}',
                *_paths.format_changes(paths, new),
            ]
            self.show({'revision': revision, 'paths': new}, '\n'.join(lines))
            seen, paths = revision, new
            left = left - 1 if left is not None else None
        return 0

    def _read_in_force(self, team: str) -> int:
        found = self.call_conductor('GET', '/in-force').get(team)
        return found['revision'] if found else 0


class ConfigWhereCommand(_ConfigCommand):
    """Shows which revision each daemon has in force."""

    name = 'config where'
    description = 'Shows which revision each daemon has in force.'
    arguments = [TEAM]

    def handle(self) -> int:
        team = self.argument('team')
        newest = self.read_team(team)['subtree']['revision']
        answer = self.call_conductor('GET', f'/v1/configuration/{team}/where')
        lines = [
            f'{place["process"]:<24} {place["data_center"]:<16} '
            + (place['problem'] or f'{place["revision"]}')
            + ('' if place['revision'] == newest else '  (behind)')
            for place in answer['daemons']
        ]
        self.show(
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
