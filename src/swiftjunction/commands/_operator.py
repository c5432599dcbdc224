"""``swiftjunction``: the client of operators."""

import sys
import typing

import anyio
import cleo.commands.command
import cleo.helpers
import httpx
import msgspec

from swiftjunction import client
from swiftjunction.commands import _programs
from swiftjunction import errors

TIMEOUT_SECONDS = 10.0
DEFAULT_CONDUCTOR = '127.0.0.1:8070'


class _ConductorCommand(cleo.commands.command.Command):
    """A command that talks to a conductor."""

    options = [
        cleo.helpers.option(
            'conductor',
            None,
            'Address of a conductor, ip:port.',
            flag=False,
            default=DEFAULT_CONDUCTOR,
        ),
        cleo.helpers.option('json', None, 'Write JSON.'),
    ]

    def call_conductor(
        self, method: str, url: str, body: object = None
    ) -> dict[str, typing.Any]:
        """Call the conductor and return its answer.

        Raises
        ------
        SwiftjunctionError
            If it could not be asked, or refused.
        """
        address = self.option('conductor')
        try:
            response = httpx.request(
                method,
                f'http://{address}{url}',
                content=msgspec.json.encode(body) if body else None,
                timeout=TIMEOUT_SECONDS,
                trust_env=False,
            )
        except httpx.HTTPError as error:
            raise errors.SwiftjunctionError(
                f'no answer: {error}', step='call', peer=address
            ) from error
        answer = msgspec.json.decode(response.content)
        if not response.is_success:
            raise errors.SwiftjunctionError(
                f'{answer.get("outcome")}: {answer.get("message")}',
                step='call',
                peer=address,
            )
        return answer

    def show(self, answer: dict[str, typing.Any], text: str) -> None:
        """Write `text`, or the whole answer where JSON was asked for."""
        if self.option('json'):
            self.line(msgspec.json.encode(answer).decode())
        else:
            self.line(text)


class ConfigGetCommand(_ConductorCommand):
    """Shows a team's settings."""

    name = 'config get'
    description = "Shows a team's settings."
    arguments = [cleo.helpers.argument('team', 'The team.')]

    def handle(self) -> int:
        answer = self.call_conductor(
            'GET', f'/v1/configuration/{self.argument("team")}'
        )
        subtree = answer['subtree']
        lines = [
            f'version {answer["version"]}, in force here: '
            f'{answer["in_force"]}, changed by {subtree["changed_by"]} at '
            f'{subtree["changed_at"]}'
        ]
        for path, found in sorted(subtree['paths'].items()):
            shown = ', '.join(f'{k} = {v!r}' for k, v in found.items())
            lines.append(f'  {path:<30} {shown}')
        self.show(answer, '\n'.join(lines))
        return 0


class ConfigSetCommand(_ConductorCommand):
    """Changes one path."""

    name = 'config set'
    description = 'Changes settings of one path, keeping the others.'
    arguments = [
        cleo.helpers.argument('path', 'The path, team first.'),
        cleo.helpers.argument('settings', 'key=value ...', multiple=True),
    ]

    def handle(self) -> int:
        path = self.argument('path')
        team = path.split('/')[0]
        found = self.call_conductor('GET', f'/v1/configuration/{team}')
        merged = found['subtree']['paths'].get(path, {})
        for pair in self.argument('settings'):
            key, separator, value = pair.partition('=')
            if not separator:
                raise errors.SettingsError([f'{pair!r}: must be key=value'])
            merged[key] = _read_value(value)
        answer = self.call_conductor(
            'POST',
            f'/v1/configuration/{team}',
            {
                'version': found['version'],
                'author': 'operator',
                'paths': {path: merged},
            },
        )
        self.show(answer, f'accepted as version {answer["version"]}')
        return 0


class WeightsPublishCommand(_ConductorCommand):
    """Publishes the next version of a model."""

    name = 'weights publish'
    description = "Publishes a model's next weight version."
    arguments = [cleo.helpers.argument('model', 'The model.')]

    def handle(self) -> int:
        model = self.argument('model')
        answer = self.call_conductor('POST', f'/v1/weights/{model}/versions')
        self.show(answer, f'{model} is at version {answer["version"]}')
        return 0


class DumpCommand(_ConductorCommand):
    """Shows the state of any process."""

    name = 'dump'
    description = 'Shows the whole state of a process.'
    arguments = [cleo.helpers.argument('address', 'ip:port of the process.')]

    def handle(self) -> int:
        address = self.argument('address')
        response = httpx.get(f'http://{address}/dump', trust_env=False)
        self.line(response.text)
        return 0


class StepRunCommand(cleo.commands.command.Command):
    """Runs a step as a trainer would."""

    name = 'step run'
    description = 'Submits a step and writes its samples as JSON lines.'
    arguments = [
        cleo.helpers.argument('trainer', 'The trainer.'),
        cleo.helpers.argument('step', 'The step.'),
        cleo.helpers.argument('path', 'The path of the model.'),
    ]
    options = [
        cleo.helpers.option(
            'rollout',
            None,
            'Address of a rollout process; may be repeated.',
            flag=False,
            multiple=True,
        ),
        cleo.helpers.option('groups', None, 'Groups.', False, default='4'),
        cleo.helpers.option(
            'samples', None, 'Samples a group.', False, default='8'
        ),
        cleo.helpers.option(
            'max-tokens', None, 'Longest sample.', False, default='64'
        ),
    ]

    def handle(self) -> int:
        anyio.run(self._run)
        return 0

    async def _run(self) -> None:
        groups = [
            {
                'prompt': f'{self.argument("step")} prompt {number}',
                'samples': int(self.option('samples')),
                'max_tokens': int(self.option('max-tokens')),
            }
            for number in range(int(self.option('groups')))
        ]
        seeds = self.option('rollout') or ['127.0.0.1:8090']
        trainer = client.TrainerClient(self.argument('trainer'), seeds)
        async with trainer:
            async for sample in trainer.run_step(
                self.argument('step'), self.argument('path'), groups
            ):
                sys.stdout.write(msgspec.json.encode(sample).decode() + '\n')


def _read_value(text: str) -> typing.Any:
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError:
        return text


def run_operator() -> int:
    """Run ``swiftjunction``."""
    return _programs.run_application(
        'swiftjunction',
        [
            ConfigGetCommand(),
            ConfigSetCommand(),
            WeightsPublishCommand(),
            DumpCommand(),
            StepRunCommand(),
        ],
    )
