"""Dumps of the state of a process as JSON."""

import collections.abc
import logging
import signal
import typing

import anyio
import msgspec

from swiftjunction.telemetry import _descriptors

LOG = logging.getLogger(__name__)

# A dump is given up if nobody reads any of it for this long.
WRITE_TIMEOUT_SECONDS = 5.0
RETRY_INTERVAL_SECONDS = 0.02

Section = collections.abc.Callable[[], typing.Any]


class StateDump:
    """Collects the state of the components of a process.

    Each component registers a function that returns its state as values that
    msgspec can encode; other values are dumped as their ``str``. The function
    is called only when a dump is rendered.
    """

    __slots__ = ('_requested', '_sections')

    def __init__(self) -> None:
        self._sections: dict[str, Section] = {}
        self._requested = anyio.Event()

    def add(self, name: str, section: Section) -> None:
        """Add a function that returns the section `name` of the dump."""
        self._sections[name] = section

    def render(self) -> bytes:
        """Return the state as JSON; of a section that fails, the error."""
        state = {
            name: _render_section(name, section)
            for name, section in self._sections.items()
        }
        return msgspec.json.format(msgspec.json.encode(state), indent=2)

    def request(self) -> None:
        """Have :meth:`write_on_request` write a dump."""
        self._requested.set()

    async def write_on_request(
        self, descriptor: int = _descriptors.STANDARD_ERROR
    ) -> None:
        """Write a dump to a descriptor on each request, without blocking."""
        while True:
            await self._requested.wait()
            self._requested = anyio.Event()
            await self._write(descriptor)

    async def write_on_signal(
        self, descriptor: int = _descriptors.STANDARD_ERROR
    ) -> None:
        """Write a dump to a descriptor on each SIGUSR1, without blocking."""
        with anyio.open_signal_receiver(signal.SIGUSR1) as signals:
            async for _ in signals:
                await self._write(descriptor)

    async def _write(self, descriptor: int) -> None:
        data = self.render() + b'\n'
        try:
            while data:
                with anyio.fail_after(WRITE_TIMEOUT_SECONDS):
                    data = await _write_some(descriptor, data)
        except OSError as error:
            LOG.warning(
                'the state dump was not written: %s',
                error,
                extra={'unwritten_bytes': len(data)},
            )


def _render_section(name: str, section: Section) -> msgspec.Raw:
    try:
        return msgspec.Raw(msgspec.json.encode(section(), enc_hook=str))
    except MemoryError:
        raise
    except Exception as error:
        LOG.exception('cannot dump a section', extra={'section': name})
        return msgspec.Raw(msgspec.json.encode({'error': repr(error)}))


async def _write_some(descriptor: int, data: bytes) -> bytes:
    """Write a part of `data` once that is possible; return the remainder."""
    while True:
        written = _descriptors.write_available(descriptor, data)
        if written:
            return data[written:]
        await anyio.sleep(RETRY_INTERVAL_SECONDS)
