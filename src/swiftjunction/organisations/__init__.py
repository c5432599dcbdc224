"""The organisations of callers, and the keys by which they are known."""

from swiftjunction.organisations._confirmation import compute_max_age_seconds
from swiftjunction.organisations._confirmation import TableConfirmation
from swiftjunction.organisations._keys import KeyTable
from swiftjunction.organisations._keys import Organisation

__all__ = [
    'KeyTable',
    'Organisation',
    'TableConfirmation',
    'compute_max_age_seconds',
]
