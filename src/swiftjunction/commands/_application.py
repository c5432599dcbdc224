"""Runs cleo applications and daemons, and sets their exit codes.

Usage and settings errors exit with 2, other failures with 1.
"""

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
    """A daemon that runs until it is told to stop."""

    async def run(self) -> None:
        """Run until stopped."""

    def stop(self) -> None:
        """Begin a graceful shutdown."""


def run_application(
    name: str,
    commands: collections.abc.Sequence[cleo.commands.command.Command],
    default: str = '',
) -> int:
    """Run a console script and return its exit code.

    Parameters
    ----------
    name : str
        The name of the console script.
    commands : sequence of Command
        The commands that it offers.
    default : str
        The command to run if the script has only one; the user does not type
        its name.
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
    factory: collections.abc.Callable[[], Stoppable],
    background: collections.abc.Callable[
        [typing.Any],
        collections.abc.Coroutine[typing.Any, typing.Any, None],
    ],
) -> None:
    """Run a daemon until SIGTERM or SIGINT, then shut it down gracefully.

    Parameters
    ----------
    factory : callable
        Creates the daemon inside the event loop.
    background : callable
        Runs concurrently with the daemon, for example to dump its state on a
        signal.
    """

    async def run() -> None:
        daemon = factory()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_stop_on_signal, daemon)
            tasks.start_soon(background, daemon)
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
