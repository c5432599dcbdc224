"""TLS contexts for listeners and for calls between daemons."""

import logging
import pathlib
import ssl

import anyio
import msgspec

from swiftjunction import errors

LOG = logging.getLogger(__name__)

RELOAD_CHECK_INTERVAL_SECONDS = 5.0


class TlsFiles(msgspec.Struct, frozen=True):
    """Paths of TLS files in PEM format.

    Attributes
    ----------
    certificate, key : str
        Certificate chain and private key of this VM.
    authority : str
        CA certificates that verify the certificates of other daemons.
    """

    certificate: str
    key: str
    authority: str


class TlsContexts:
    """The TLS contexts of one process, reloaded when their files change.

    New connections use the reloaded files; open connections keep the
    certificate that they were established with. A CA certificate that is
    removed from its file stays trusted until the process restarts.

    Parameters
    ----------
    files : TlsFiles
        Paths of the files to load.

    Attributes
    ----------
    client, server : ssl.SSLContext
        Contexts for outgoing calls and for listeners.

    Raises
    ------
    SettingsError
        If a file is missing or invalid.
    """

    __slots__ = ('_files', '_loaded_mtimes', 'client', 'server')

    def __init__(self, files: TlsFiles) -> None:
        self._files = files
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.server.set_alpn_protocols(['http/1.1'])
        self.client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        try:
            self._load()
        except (OSError, ssl.SSLError) as error:
            raise errors.SettingsError(
                [f'tls: cannot load the files: {error}']
            ) from error
        self._loaded_mtimes = self._read_mtimes()

    def _load(self) -> None:
        self.server.load_cert_chain(self._files.certificate, self._files.key)
        self.client.load_verify_locations(self._files.authority)

    def _read_mtimes(self) -> list[int]:
        return [
            pathlib.Path(path).stat().st_mtime_ns
            for path in msgspec.structs.astuple(self._files)
        ]

    def refresh(self) -> bool:
        """Reload changed files; return whether they were reloaded."""
        try:
            mtimes = self._read_mtimes()
            if mtimes == self._loaded_mtimes:
                return False
            self._load()
        except (OSError, ssl.SSLError) as error:
            # A file may be partially written; the next check tries again.
            LOG.warning(
                'cannot reload the TLS files; keeping the loaded ones: %s',
                error,
            )
            return False
        self._loaded_mtimes = mtimes
        LOG.info('reloaded the TLS files')
        return True

    async def run(self) -> None:
        """Check the files for changes until cancelled."""
        while True:
            await anyio.sleep(RELOAD_CHECK_INTERVAL_SECONDS)
            self.refresh()


def create_client_context(authority: str) -> ssl.SSLContext | None:
    """Return a client context that trusts the CA file `authority`.

    Without a file, return None: no TLS is used.

    Raises
    ------
    SettingsError
        If the file is missing or has no valid CA certificate.
    """
    if not authority:
        return None
    try:
        return ssl.create_default_context(cafile=authority)
    except (OSError, ssl.SSLError) as error:
        raise errors.SettingsError(
            [f'{authority}: cannot load CA certificates: {error}']
        ) from error
