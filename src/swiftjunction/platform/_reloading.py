"""Reloads the settings file when it changes."""

import collections.abc
import logging
import pathlib

import anyio

from swiftjunction import errors
from swiftjunction.platform import _settings

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 1.0


class SettingsReloader:
    """Reads changed settings; keeps the old ones if the file is invalid.

    Parameters
    ----------
    path : Path
        The settings file.
    apply : callable
        Called with the new settings; applies those that need no restart.
    """

    __slots__ = ('_apply', '_path')

    def __init__(
        self,
        path: pathlib.Path,
        apply: collections.abc.Callable[[_settings.EdgeSettings], None],
    ) -> None:
        self._path = path
        self._apply = apply

    async def run(self) -> None:
        """Poll the modification time of the file until cancelled."""
        loaded_mtime_ns = self._path.stat().st_mtime_ns
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            try:
                mtime_ns = self._path.stat().st_mtime_ns
            except OSError as error:
                LOG.warning('cannot read the settings file: %s', error)
                continue
            if mtime_ns != loaded_mtime_ns:
                loaded_mtime_ns = mtime_ns
                self.reload()

    def reload(self) -> None:
        """Read the file and apply its settings if they are valid."""
        try:
            settings = _settings.read_settings(self._path)
        except errors.SettingsError as error:
            LOG.error('settings not reloaded, keeping the old ones: %s', error)
            return
        self._apply(settings)
        LOG.info('settings reloaded', extra={'store': settings.store})
