"""Settings of the processes of a VM, read from a TOML file."""

from swiftjunction.settings._checks import list_problems
from swiftjunction.settings._files import read_settings
from swiftjunction.settings._files import read_struct
from swiftjunction.settings._model import ConductorSettings
from swiftjunction.settings._model import EntrySettings
from swiftjunction.settings._model import Name
from swiftjunction.settings._model import PlatformSettings
from swiftjunction.settings._model import Port
from swiftjunction.settings._model import RolloutSettings
from swiftjunction.settings._model import Settings
from swiftjunction.settings._model import SpoolSettings
from swiftjunction.settings._model import TlsSettings
from swiftjunction.settings._model import VmSettings

__all__ = [
    'ConductorSettings',
    'EntrySettings',
    'Name',
    'PlatformSettings',
    'Port',
    'RolloutSettings',
    'Settings',
    'SpoolSettings',
    'TlsSettings',
    'VmSettings',
    'list_problems',
    'read_settings',
    'read_struct',
]
