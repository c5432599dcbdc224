"""The settings file that the platform writes for each process."""

import os
import pathlib

import msgspec

from swiftjunction import errors
from swiftjunction.platform import _names


class VmSettings(msgspec.Struct, frozen=True):
    """What the platform says of this VM.

    Attributes
    ----------
    front, readiness, directory : str
        ``ip:port`` for callers, for the platform's checks, and for callers
        that ask which addresses to use; empty where the VM does not serve it.
    peer_port : int
        For the VMs of this system among themselves.
    store : str
        ``ip:port`` of the object store.
    lease_seconds : float
        For so long, orders of two holders may not follow each other.
    grace_seconds : float
        From SIGTERM to SIGKILL.
    max_address_seconds : float
        The longest time for which callers keep addresses.
    keep_seconds : float
        From its submission, the results of a batch must be found so long.
    checks_fencing : bool
        Whether engines refuse old fencing tokens.
    """

    name: str
    ip: str
    data_center: str
    region: str
    peer_port: int
    store: str
    front: str = ''
    readiness: str = ''
    directory: str = ''
    lease_seconds: float = 3.0
    grace_seconds: float = 8.0
    max_address_seconds: float = 5.0
    keep_seconds: float = 120.0
    checks_fencing: bool = False


def find_file() -> pathlib.Path:
    """Return the path of the settings file."""
    path = os.environ.get(_names.SETTINGS_VARIABLE, '')
    if not path:
        raise errors.SettingsError([f'{_names.SETTINGS_VARIABLE} is not set'])
    return pathlib.Path(path)


def read_settings(path: pathlib.Path) -> VmSettings:
    """Read the settings file.

    Raises
    ------
    SettingsError
        If it cannot be read, or a key is missing or has a wrong value.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise errors.SettingsError(
            [f'{path}: cannot be read: {error.strerror}']
        ) from error
    fields = _Fields(path, text)
    settings = VmSettings(
        name=fields.text('node_name'),
        ip=fields.text('ip'),
        data_center=fields.text('zone'),
        region=fields.text('region'),
        peer_port=fields.first_port('port_range'),
        store=fields.text('provider.address'),
        front=fields.text('bind.front', ''),
        readiness=fields.text('bind.readiness', ''),
        directory=fields.text('bind.directory', ''),
        lease_seconds=fields.number('bounds.lease_ms', 3000.0)
        / _names.MS_PER_SECOND,
        grace_seconds=fields.number('bounds.grace_s', 8.0),
        max_address_seconds=fields.number('bounds.ttl_max_s', 5.0),
        keep_seconds=fields.number('bounds.status_s', 120.0),
        checks_fencing=fields.text('bounds.require_fencing', '') == 'true',
    )
    fields.check()
    return settings


class _Fields:
    """The lines of the file, and what is wrong with them."""

    def __init__(self, path: pathlib.Path, text: str) -> None:
        self._path = path
        self._problems: list[str] = []
        pairs = [line.partition('=') for line in text.splitlines()]
        self._values = {
            key.strip(): value.strip()
            for key, equals, value in pairs
            if equals
        }

    def text(self, key: str, default: str | None = None) -> str:
        value = self._values.get(key, '') or default
        if value is None:
            self._problems.append(f'{self._path}: {key} is missing')
            return ''
        return value

    def number(self, key: str, default: float) -> float:
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

    def first_port(self, key: str) -> int:
        value = self.text(key)
        first = value.partition(',')[0]
        if value and not first.isdecimal():
            self._problems.append(
                f'{self._path}: {key} = {value!r} must be two ports, joined '
                'by a comma'
            )
        return int(first) if first.isdecimal() else 0

    def check(self) -> None:
        if self._problems:
            raise errors.SettingsError(self._problems)
