"""Dumps of the state of a process as JSON."""

import collections.abc
import signal
import sys
import typing

import anyio
import msgspec

Section = collections.abc.Callable[[], typing.Any]


class StateDump:
    """Collects the state of the components of a process.

    Each component registers a function that returns its state as values that
    msgspec can encode; other values are dumped as their ``str``. The function
    is called only when a dump is rendered.
    """

    __slots__ = ('_sections',)

    def __init__(self) -> None:
        self._sections: dict[str, Section] = {}

    def add(self, name: str, section: Section) -> None:
        """Add a function that returns the section `name` of the dump."""
        self._sections[name] = section

    def render(self) -> bytes:
        """Return the state as JSON."""
        state = {name: section() for name, section in self._sections.items()}
        return msgspec.json.format(
            msgspec.json.encode(state, enc_hook=str), indent=2
        )

    async def write_on_signal(self) -> None:
        """Write a dump to standard error on each SIGUSR1."""
        with anyio.open_signal_receiver(signal.SIGUSR1) as signals:
            async for _ in signals:
                sys.stderr.write(self.render().decode() + '\n')
                sys.stderr.flush()
