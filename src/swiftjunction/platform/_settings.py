"""Settings file that the platform writes for the edge process of a VM."""

import os
import pathlib
import time

import msgspec

from swiftjunction import errors
from swiftjunction.platform import _key_values
from swiftjunction.platform import _names
from swiftjunction import web

MAX_WAIT_SECONDS = 1.0
RETRY_INTERVAL_SECONDS = 0.05
MAX_CORES = 1024.0
MAX_DUTIES_PER_SECOND = 1e6
SAFE_DUTIES_PER_SECOND = 1.0
MAX_MEMORY_MIB = 1024.0 * 1024.0
MAX_DESCRIPTORS = 10_000_000.0
# Of the bounds that nothing can keep if they are 0.
MIN_BOUND_MS = 1.0


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
    drain_seconds : float
        Time from the acknowledgement that a backend server is leaving until
        no request may reach it, in seconds.
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
    memory_bytes : int
        Memory that this process may use.
    descriptors : int
        Descriptors that this process may have open.
    config_apply_seconds : float
        Time from the acknowledgement of a configuration until it is in
        effect, in seconds.
    strict_revocation : bool
        Whether each VM, in touch with the store or not, stops serving a
        removed key within `revoke_seconds`.
    revoke_seconds : float
        Time from the acknowledgement of a configuration until keys that it
        removes are no longer served, in seconds.
    duty_api : str
        ``ip:port`` of the platform's API for duties; empty if there is none.
    duties : tuple of str
        The duties that the platform asks for.
    duties_per_second : float
        Maximum rate of calls to that API, of all VMs together.
    usage_window_seconds : float
        Length of the windows of usage reports, in seconds.
    usage_late_seconds : float
        Time from the end of a window until its report is due, in seconds.
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
    drain_seconds: float = 2.0
    max_address_seconds: float = 5.0
    keep_seconds: float = 120.0
    cancel_seconds: float = 3.0
    checks_fencing: bool = False
    processor_cores: float = 1.0
    memory_bytes: int = web.DEFAULT_MEMORY_BYTES
    descriptors: int = web.DEFAULT_DESCRIPTORS
    config_apply_seconds: float = 2.0
    strict_revocation: bool = False
    revoke_seconds: float = 5.0
    duty_api: str = ''
    duties: tuple[str, ...] = ()
    duties_per_second: float = 50.0
    usage_window_seconds: float = 5.0
    usage_late_seconds: float = 10.0


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

    Invalid values that no promise depends on are logged and replaced: those
    of limits, of duties and of usage reports, and the end of the port range.

    Raises
    ------
    SettingsError
        If the file cannot be read, or a key is missing or invalid.
    """
    reader = _key_values.KeyValueReader(path)
    ports = reader.read_ports('port_range')
    settings = EdgeSettings(
        name=reader.read_text('node_name'),
        ip=reader.read_ip('ip'),
        data_center=reader.read_text('zone'),
        region=reader.read_text('region'),
        peer_port=ports[0],
        last_port=ports[1],
        store=reader.read_address('provider.address'),
        front=reader.read_address('bind.front', ''),
        readiness=reader.read_address('bind.readiness', ''),
        directory=reader.read_address('bind.directory', ''),
        lease_seconds=reader.read_milliseconds(
            'bounds.lease_ms', 3000.0, least_ms=MIN_BOUND_MS
        ),
        grace_seconds=reader.read_number('bounds.grace_s', 8.0),
        drain_seconds=reader.read_milliseconds('bounds.drain_ms', 2000.0),
        max_address_seconds=reader.read_number('bounds.ttl_max_s', 5.0),
        keep_seconds=reader.read_number('bounds.status_s', 120.0),
        cancel_seconds=reader.read_milliseconds(
            'bounds.cancel_ms', 3000.0, least_ms=MIN_BOUND_MS
        ),
        checks_fencing=reader.read_flag('bounds.require_fencing'),
        processor_cores=_read_processor_cores(reader),
        memory_bytes=_read_memory(reader),
        descriptors=int(
            _read_limit(
                reader,
                'limits.max_fds',
                web.DEFAULT_DESCRIPTORS,
                MAX_DESCRIPTORS,
            )
        ),
        config_apply_seconds=reader.read_milliseconds(
            'bounds.config_apply_ms', 2000.0
        ),
        strict_revocation=reader.read_flag('bounds.strict_revoke'),
        revoke_seconds=reader.read_milliseconds(
            'bounds.revoke_ms', 5000.0, least_ms=MIN_BOUND_MS
        ),
        duty_api=reader.read_address('cloud_api.address', '', fallback=''),
        duties=reader.read_list('cloud_api.duties'),
        duties_per_second=reader.read_number(
            'cloud_api.duty_per_s',
            50.0,
            most=MAX_DUTIES_PER_SECOND,
            fallback=SAFE_DUTIES_PER_SECOND,
        ),
        # Without windows, no usage is reported.
        usage_window_seconds=reader.read_number(
            'bounds.window_s', 5.0, fallback=0.0
        ),
        usage_late_seconds=reader.read_number(
            'bounds.usage_late_s', 10.0, fallback=10.0
        ),
    )
    reader.raise_problems()
    return settings


def wait_for_settings(path: pathlib.Path) -> EdgeSettings:
    """Read the settings file, again for a moment while it is invalid.

    It may be replaced or written as the process starts.

    Raises
    ------
    SettingsError
        If it is still invalid after `MAX_WAIT_SECONDS`.
    """
    give_up_at = time.monotonic() + MAX_WAIT_SECONDS
    while True:
        try:
            return read_settings(path)
        except errors.SettingsError:
            if time.monotonic() >= give_up_at:
                raise
        time.sleep(RETRY_INTERVAL_SECONDS)


def _read_processor_cores(reader: _key_values.KeyValueReader) -> float:
    """Return the share that a VM gets of so many cores, which ranks VMs."""
    share = reader.read_number(
        'limits.cpu_share', 1.0, most=MAX_CORES, fallback=1.0
    )
    cores = reader.read_number(
        'limits.cpu_cores', 1.0, most=MAX_CORES, fallback=1.0
    )
    return share * cores


def _read_memory(reader: _key_values.KeyValueReader) -> int:
    """Return the memory of a process, in bytes."""
    default_mib = web.DEFAULT_MEMORY_BYTES / web.BYTES_PER_MIB
    mib = _read_limit(reader, 'limits.memory_mb', default_mib, MAX_MEMORY_MIB)
    return int(mib * web.BYTES_PER_MIB)


def _read_limit(
    reader: _key_values.KeyValueReader, key: str, default: float, most: float
) -> float:
    """Return a limit of the machine; the default also if it is 0."""
    value = reader.read_number(key, default, most=most, fallback=default)
    return value or default
