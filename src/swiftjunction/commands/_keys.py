"""``swiftjunction key``: issues and withdraws the keys of a team."""

import cleo.helpers

from swiftjunction.commands import _conductor

KEY_ARGUMENTS = [
    cleo.helpers.argument('team', 'The team.'),
    cleo.helpers.argument('name', 'The holder of the key.'),
]


class KeyIssueCommand(_conductor.ConductorCommand):
    """Issues a key."""

    name = 'key issue'
    description = 'Issues a key for a team; it is printed once and not stored.'
    arguments = KEY_ARGUMENTS

    def handle(self) -> int:
        answer = self.call_conductor(
            'POST', f'/v1/keys/{self.argument("team")}/{self.argument("name")}'
        )
        self.print_result(answer, answer['key'])
        return 0


class KeyWithdrawCommand(_conductor.ConductorCommand):
    """Withdraws the keys of a holder."""

    name = 'key withdraw'
    description = 'Withdraws the keys of a holder.'
    arguments = KEY_ARGUMENTS
    options = [
        *_conductor.ConductorCommand.options,
        cleo.helpers.option(
            'keep', None, 'SHA-256 of a key that stays valid.', False
        ),
    ]

    def handle(self) -> int:
        url = f'/v1/keys/{self.argument("team")}/{self.argument("name")}'
        keep = self.option('keep') or ''
        answer = self.call_conductor('DELETE', f'{url}?keep={keep}')
        self.print_result(answer, f'{answer["withdrawn"]} withdrawn')
        return 0


COMMANDS = (KeyIssueCommand, KeyWithdrawCommand)
