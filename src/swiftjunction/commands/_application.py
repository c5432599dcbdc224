"""Runs a cleo application so that every mistake of its user exits with 2."""

import collections.abc
import signal
import sys
import typing

import anyio
import cleo.application
import cleo.commands.command
import cleo.exceptions
import cleo.io.inputs.argv_input

import swiftjunction
from swiftjunction import errors

EXIT_FAILURE = 1
EXIT_USAGE = 2


class Stoppable(typing.Protocol):
    """What runs until it is told to stop."""

    async def run(self) -> None:
        """Run until stopped."""

    def stop(self) -> None:
        """Begin to stop."""


def run_application(
    name: str,
    commands: collections.abc.Sequence[cleo.commands.command.Command],
    default: str = '',
) -> int:
    """Run a program and return its exit code.

    Parameters
    ----------
    name : str
        The console script.
    commands : sequence of Command
        What it can do.
    default : str
        The command of a program that has only one; its name is not typed.
    """
    application = cleo.application.Application(name, swiftjunction.__version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in commands:
        application.add(command)
    arguments = [sys.argv[0], *([default] if default else []), *sys.argv[1:]]
    try:
        return application.run(cleo.io.inputs.argv_input.ArgvInput(arguments))
    except cleo.exceptions.CleoError as error:
        print(f'{name}: {error}', file=sys.stderr)
    except errors.SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
    except errors.SwiftjunctionError as error:
        print(f'{name}: {error}', file=sys.stderr)
        return EXIT_FAILURE
    return EXIT_USAGE


def run_until_signal(
    build: collections.abc.Callable[[], Stoppable],
    beside: collections.abc.Callable[
        [typing.Any],
        collections.abc.Coroutine[typing.Any, typing.Any, None],
    ],
) -> None:
    """Run what `build` returns until SIGTERM or SIGINT, then gracefully end.

    Parameters
    ----------
    build : callable
        Makes the daemon inside the event loop.
    beside : callable
        Runs beside the daemon, for example its dump on a signal.
    """

    async def run() -> None:
        daemon = build()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stop_on_signal, daemon)
            tasks.start_soon(beside, daemon)
            await daemon.run()
            tasks.cancel_scope.cancel()

    try:
        anyio.run(run)
    except* errors.SettingsError as group:
        raise group.exceptions[0] from None


async def _stop_on_signal(daemon: Stoppable) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            daemon.stop()
