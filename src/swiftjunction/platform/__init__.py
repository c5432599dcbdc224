"""The adapter to the platform: its names, formats and calls."""

from swiftjunction.platform._catalog import open_store
from swiftjunction.platform._catalog import PlatformCatalog

__all__ = ['PlatformCatalog', 'open_store']
