"""``swiftjunction key``: the keys of a team's operators."""

import cleo.helpers

from swiftjunction.commands import _conductor

ARGUMENTS = [
    cleo.helpers.argument('team', 'The team.'),
    cleo.helpers.argument('name', 'Who holds the key.'),
]


class KeyIssueCommand(_conductor.ConductorCommand):
    """Makes a key."""

    name = 'key issue'
    description = 'Makes a key for a team; it is shown once and not kept.'
    arguments = ARGUMENTS

    def handle(self) -> int:
        answer = self.call_conductor(
            'POST', f'/v1/keys/{self.argument("team")}/{self.argument("name")}'
        )
        self.show(answer, answer['key'])
        return 0


class KeyWithdrawCommand(_conductor.ConductorCommand):
    """Withdraws keys."""

    name = 'key withdraw'
    description = 'Withdraws the keys of a holder.'
    arguments = ARGUMENTS
    options = [
        *_conductor.ConductorCommand.options,
        cleo.helpers.option(
            'keep', None, 'SHA-256 of a key that stays good.', False
        ),
    ]

    def handle(self) -> int:
        url = f'/v1/keys/{self.argument("team")}/{self.argument("name")}'
        keep = self.option('keep') or ''
        answer = self.call_conductor('DELETE', f'{url}?keep={keep}')
        self.show(answer, f'{answer["withdrawn"]} withdrawn')
        return 0


COMMANDS = (KeyIssueCommand, KeyWithdrawCommand)
