"""TLS for listeners and for calls between this system's processes."""

import logging
import pathlib
import ssl

import anyio
import msgspec

from swiftjunction import errors

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 5.0


class TlsFiles(msgspec.Struct, frozen=True):
    """Paths of the files in PEM format.

    Attributes
    ----------
    certificate, key : str
        Of this VM.
    authority : str
        The certificates that peers are checked against.
    """

    certificate: str
    key: str
    authority: str


class TlsContexts:
    """The contexts of one process, kept as new as their files.

    A certificate that is replaced serves the connections made from then on;
    those that are open go on with what they began with.

    Parameters
    ----------
    files : TlsFiles
        What to read.

    Raises
    ------
    SettingsError
        If a file cannot be read.
    """

    __slots__ = ('_files', '_seen', 'client', 'server')

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.server.set_alpn_protocols(['http/1.1'])
        self.client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        try:
            self._load()
        except (OSError, ssl.SSLError) as error:
            raise errors.SettingsError(
                [f'tls: the files cannot be used: {error}']
            ) from error
        self._seen = self._find_times()

    def _load(self) -> None:
        self.server.load_cert_chain(self._files.certificate, self._files.key)
        self.client.load_verify_locations(self._files.authority)

    def _find_times(self) -> list[int]:
        return [
            pathlib.Path(path).stat().st_mtime_ns
            for path in msgspec.structs.astuple(self._files)
        ]

    def refresh(self) -> bool:
        """Read the files again where they changed, and tell whether."""
        try:
            times = self._find_times()
            if times == self._seen:
                return False
            self._load()
        except (OSError, ssl.SSLError) as error:
            # The files may be half written; the old ones stay in use.
            LOG.warning('TLS files not read: %s', error)
            return False
        self._seen = times
        LOG.info('TLS files read again')
        return True

    async def run(self) -> None:
        """Keep the contexts new until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_SECONDS)
            self.refresh()


def create_client_context(authority: str) -> ssl.SSLContext | None:
    """Return the context of a client that trusts `authority`, if any.

    Raises
    ------
    SettingsError
        If the file cannot be read.
    """
    if not authority:
        return None
    try:
        return ssl.create_default_context(cafile=authority)
    except (OSError, ssl.SSLError) as error:
        raise errors.SettingsError(
            [f'{authority}: cannot be used as an authority: {error}']
        ) from error
