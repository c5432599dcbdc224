"""The whole state of a process as JSON, on request."""

import collections.abc
import signal
import sys
import typing

import anyio
import msgspec

Section = collections.abc.Callable[[], typing.Any]


class StateDump:
    """Collects the state of each part of a process.

    Parts register a function that returns what the JSON encoder takes; it is
    called only when a dump is asked for.
    """

    __slots__ = ('_sections',)

    def __init__(self) -> None:
        self._sections: dict[str, Section] = {}

    def add(self, name: str, section: Section) -> None:
        """Add a part of the process to the dump."""
        self._sections[name] = section

    def render(self) -> bytes:
        """Return the state as JSON."""
        state = {name: part() for name, part in self._sections.items()}
        return msgspec.json.format(
            msgspec.json.encode(state, enc_hook=str), indent=2
        )

    async def write_on_signal(self) -> None:
        """Write the state to standard error at each SIGUSR1."""
        with anyio.open_signal_receiver(signal.SIGUSR1) as signals:
            async for _ in signals:
                sys.stderr.write(self.render().decode() + '\n')
                sys.stderr.flush()
