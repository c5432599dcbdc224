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
    settings : EdgeSettings
        The settings that the process started with.
    apply : callable
        Called with the new settings; applies those that need no restart.
    """

    __slots__ = (
        '_apply',
        '_checked_content',
        '_path',
        '_requested',
        '_settings',
    )

    def __init__(
        self,
        path: pathlib.Path,
        settings: _settings.EdgeSettings,
        apply: collections.abc.Callable[[_settings.EdgeSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._checked_content: bytes | None = None
        self._requested = anyio.Event()

    async def run(self) -> None:
        """Poll the content of the file until cancelled.

        May be called again after an error: what was not applied is read anew.
        """
        while True:
            with anyio.move_on_after(CHECK_INTERVAL_SECONDS):
                await self._requested.wait()
            if self._requested.is_set():
                self._reload()
            else:
                self._check()

    def request(self) -> None:
        """Have :meth:`run` read and apply the file, changed or not."""
        self._requested.set()

    def _reload(self) -> None:
        settings = self._read()
        if settings is not None:
            self._accept(settings)
        # Still set after an error, so that it is done again.
        self._requested = anyio.Event()

    def _check(self) -> None:
        """Apply the settings of the file if they have changed."""
        try:
            content = self._path.read_bytes()
        except OSError as error:
            LOG.warning('cannot read the settings file: %s', error)
            return
        if content == self._checked_content:
            return
        settings = self._read()
        if settings is not None and settings != self._settings:
            self._accept(settings)
        self._checked_content = content

    def _read(self) -> _settings.EdgeSettings | None:
        try:
            return _settings.read_settings(self._path)
        except errors.SettingsError as error:
            LOG.error('settings not reloaded, keeping the old ones: %s', error)
            return None

    def _accept(self, settings: _settings.EdgeSettings) -> None:
        self._apply(settings)
        self._settings = settings
        LOG.info('settings reloaded', extra={'store': settings.store})
