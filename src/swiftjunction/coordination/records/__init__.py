"""What VMs learn by themselves and store for all: crashes and origins."""

from swiftjunction.coordination.records._crashes import StoreCrashRegistry
from swiftjunction.coordination.records._origins import SharedOrigins
from swiftjunction.coordination.records._stored_origins import OriginArchive

__all__ = [
    'OriginArchive',
    'SharedOrigins',
    'StoreCrashRegistry',
]
