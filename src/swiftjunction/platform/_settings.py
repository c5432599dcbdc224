"""Settings file that the platform writes for the edge process of a VM."""

import os
import pathlib

import msgspec

from swiftjunction import errors
from swiftjunction.platform import _names


class EdgeSettings(msgspec.Struct, frozen=True):
    """Settings of the edge process of a VM.

    Attributes
    ----------
    front, readiness, directory : str
        ``ip:port`` for requests of callers, for readiness checks by the
        platform, and for address lookups by callers; empty if the VM does not
        serve it.
    peer_port : int
        Port for requests from other VMs.
    last_port : int
        Last port of those free for traffic between VMs, of which `peer_port`
        is the first.
    store : str
        ``ip:port`` of the object store.
    lease_seconds : float
        Minimum time between the orders of two successive lease holders, in
        seconds.
    grace_seconds : float
        Time from SIGTERM to SIGKILL, in seconds.
    max_address_seconds : float
        Longest time for which callers may cache addresses, in seconds.
    keep_seconds : float
        How long the results of a batch stay available after its submission,
        in seconds.
    cancel_seconds : float
        How long after the acknowledged end of a batch its samples may still
        reach a server, in seconds.
    checks_fencing : bool
        Whether engines refuse orders with old fencing tokens.
    processor_cores : float
        Processor time that this VM provides, in cores.
    """

    name: str
    ip: str
    data_center: str
    region: str
    peer_port: int
    last_port: int
    store: str
    front: str = ''
    readiness: str = ''
    directory: str = ''
    lease_seconds: float = 3.0
    grace_seconds: float = 8.0
    max_address_seconds: float = 5.0
    keep_seconds: float = 120.0
    cancel_seconds: float = 3.0
    checks_fencing: bool = False
    processor_cores: float = 1.0


def find_settings_file() -> pathlib.Path:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        If the environment variable that holds the path is not set.
    """
    path = os.environ.get(_names.SETTINGS_PATH_VARIABLE, '')
    if not path:
        raise errors.SettingsError(
            [f'{_names.SETTINGS_PATH_VARIABLE} is not set']
        )
    return pathlib.Path(path)


def read_settings(path: pathlib.Path) -> EdgeSettings:
    """Read the settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a key is missing or invalid.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise errors.SettingsError(
            [f'{path}: cannot be read: {error.strerror}']
        ) from error
    reader = _KeyValueReader(path, text)
    ports = reader.read_ports('port_range')
    settings = EdgeSettings(
        name=reader.read_text('node_name'),
        ip=reader.read_text('ip'),
        data_center=reader.read_text('zone'),
        region=reader.read_text('region'),
        peer_port=ports[0],
        last_port=ports[1],
        store=reader.read_text('provider.address'),
        front=reader.read_text('bind.front', ''),
        readiness=reader.read_text('bind.readiness', ''),
        directory=reader.read_text('bind.directory', ''),
        lease_seconds=reader.read_number('bounds.lease_ms', 3000.0)
        / _names.MS_PER_SECOND,
        grace_seconds=reader.read_number('bounds.grace_s', 8.0),
        max_address_seconds=reader.read_number('bounds.ttl_max_s', 5.0),
        keep_seconds=reader.read_number('bounds.status_s', 120.0),
        cancel_seconds=reader.read_number('bounds.cancel_ms', 3000.0)
        / _names.MS_PER_SECOND,
        checks_fencing=reader.read_text('bounds.require_fencing', '')
        == 'true',
        # The VM gets this share of a core that is so many times as fast.
        processor_cores=reader.read_number('limits.cpu_share', 1.0)
        * reader.read_number('limits.cpu_cores', 1.0),
    )
    reader.raise_problems()
    return settings


class _KeyValueReader:
    """Reads typed values from ``key=value`` lines and collects problems."""

    def __init__(self, path: pathlib.Path, text: str) -> None:
        self._path = path
        self._problems: list[str] = []
        parts = [line.partition('=') for line in text.splitlines()]
        self._values = {
            key.strip(): value.strip()
            for key, separator, value in parts
            if separator
        }

    def read_text(self, key: str, default: str | None = None) -> str:
        value = self._values.get(key, '') or default
        if value is None:
            self._problems.append(f'{self._path}: {key} is missing')
            return ''
        return value

    def read_number(self, key: str, default: float) -> float:
        value = self._values.get(key, '')
        if not value:
            return default
        try:
            return float(value)
        except ValueError:
            self._problems.append(
                f'{self._path}: {key} = {value!r} must be a number'
            )
            return default

    def read_ports(self, key: str) -> tuple[int, int]:
        """Return the first and the last port of a range; zeros if invalid."""
        value = self.read_text(key)
        first, _, last = value.partition(',')
        if not first.isdecimal():
            if value:
                self._problems.append(
                    f'{self._path}: {key} = {value!r} must be two ports, '
                    'joined by a comma'
                )
            return 0, 0
        return int(first), int(last) if last.isdecimal() else int(first)

    def raise_problems(self) -> None:
        if self._problems:
            raise errors.SettingsError(self._problems)
