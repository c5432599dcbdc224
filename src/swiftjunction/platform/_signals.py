"""Signals to stop and reload a process, and to have it dump its state."""

import collections.abc
import contextlib
import signal

import anyio

Signals = collections.abc.AsyncIterator[signal.Signals]
Action = collections.abc.Callable[[], None]

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


@contextlib.contextmanager
def receive() -> collections.abc.Iterator[Signals]:
    """Queue signals within the context, instead of acting on them.

    It is entered before the process can be found running: the default action
    of these signals terminates it. After it, they are handled as before it.
    """
    handlers = {number: signal.getsignal(number) for number in HANDLED}
    try:
        with anyio.open_signal_receiver(*HANDLED) as signals:
            try:
                yield signals
            finally:
                # The event loop restores the default actions at the end.
                signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)


async def handle(
    signals: Signals, reload: Action, stop: Action, dump: Action
) -> None:
    """Act on signals until cancelled; the actions must not fail."""
    async for signal_number in signals:
        if signal_number == signal.SIGHUP:
            reload()
        elif signal_number == signal.SIGUSR1:
            dump()
        else:
            stop()
