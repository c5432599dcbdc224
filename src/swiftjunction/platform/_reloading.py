"""Reads the settings file again when it changes."""

import collections.abc
import logging
import pathlib

import anyio

from swiftjunction import errors
from swiftjunction.platform import _settings

LOG = logging.getLogger(__name__)

CHECK_SECONDS = 1.0


class SettingsWatch:
    """Hands on new settings; keeps the old ones where a file is wrong.

    Parameters
    ----------
    path : Path
        The settings file.
    apply : callable
        Given the settings of a file that changed.
    """

    __slots__ = ('_apply', '_path')

    def __init__(
        self,
        path: pathlib.Path,
        apply: collections.abc.Callable[[_settings.VmSettings], None],
    ) -> None:
        self._path = path
        self._apply = apply

    async def run(self) -> None:
        """Look now and then whether the file has changed, until cancelled."""
        held = self._path.stat().st_mtime_ns
        while True:
            await anyio.sleep(CHECK_SECONDS)
            try:
                changed = self._path.stat().st_mtime_ns
            except OSError as error:
                LOG.warning('settings file not found: %s', error)
                continue
            if changed != held:
                held = changed
                self.reload()

    def reload(self) -> None:
        """Read the file now."""
        try:
            settings = _settings.read_settings(self._path)
        except errors.SettingsError as error:
            LOG.error('settings not reloaded: %s', error)
            return
        self._apply(settings)
        LOG.info('settings reloaded', extra={'store': settings.store})
