"""Signals by which the platform stops and reloads a process."""

import collections.abc
import contextlib
import signal

import anyio

Signals = collections.abc.AsyncIterator[signal.Signals]
Action = collections.abc.Callable[[], None]


def receive() -> contextlib.AbstractContextManager[Signals]:
    """Return a context in which signals are queued, not acted on.

    It is entered before the process can be found running: the default action
    of these signals terminates it.
    """
    return anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    )


async def handle(signals: Signals, reload: Action, stop: Action) -> None:
    """Act on signals until cancelled."""
    async for signal_number in signals:
        if signal_number == signal.SIGHUP:
            reload()
        else:
            stop()
