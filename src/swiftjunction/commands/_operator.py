"""``swiftjunction``: the command line for operators."""

import sys

import anyio
import cleo.commands.command
import cleo.helpers
import msgspec

from swiftjunction import client
from swiftjunction.commands import _application
from swiftjunction.commands import _conductor
from swiftjunction.commands import _configuration
from swiftjunction.commands import _explain
from swiftjunction.commands import _fleet
from swiftjunction.commands import _keys


class WeightsPublishCommand(_conductor.ConductorCommand):
    """Publishes the next weight version of a model."""

    name = 'weights publish'
    description = "Publishes a model's next weight version."
    arguments = [cleo.helpers.argument('model', 'The model.')]

    def handle(self) -> int:
        model = self.argument('model')
        answer = self.call_conductor('POST', f'/v1/weights/{model}/versions')
        self.print_result(answer, f'{model} is at version {answer["version"]}')
        return 0


class DumpCommand(_conductor.ConductorCommand):
    """Prints the internal state of a daemon."""

    name = 'dump'
    description = 'Shows the internal state of a process.'
    arguments = [cleo.helpers.argument('address', 'ip:port of the process.')]

    def handle(self) -> int:
        address = self.argument('address')
        response = self.call_daemon('GET', address, '/dump')
        self.line(response.text)
        return 0


class StepRunCommand(cleo.commands.command.Command):
    """Runs a step in place of a trainer."""

    name = 'step run'
    description = 'Submits a step and prints its samples as JSON lines.'
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
        cleo.helpers.option(
            'groups', None, 'Number of groups.', False, default='4'
        ),
        cleo.helpers.option(
            'samples', None, 'Number of samples per group.', False, default='8'
        ),
        cleo.helpers.option(
            'max-tokens',
            None,
            'Maximum tokens per sample.',
            False,
            default='64',
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
        addresses = self.option('rollout') or ['127.0.0.1:8090']
        trainer = client.TrainerClient(self.argument('trainer'), addresses)
        async with trainer:
            async for sample in trainer.run_step(
                self.argument('step'), self.argument('path'), groups
            ):
                sys.stdout.write(msgspec.json.encode(sample).decode() + '\n')


def run_operator() -> int:
    """Run ``swiftjunction``."""
    return _application.run_application(
        'swiftjunction',
        [
            *(command() for command in _configuration.COMMANDS),
            *(command() for command in _keys.COMMANDS),
            *(command() for command in _fleet.COMMANDS),
            WeightsPublishCommand(),
            DumpCommand(),
            StepRunCommand(),
            _explain.ExplainCommand(),
        ],
    )
