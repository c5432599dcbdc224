"""The organisations of callers, and the keys by which they are known."""

from swiftjunction.organisations._checker import KeyChecker
from swiftjunction.organisations._checking import find_organisation
from swiftjunction.organisations._checking import InvalidKey
from swiftjunction.organisations._checking import KeyPolicy
from swiftjunction.organisations._checking import select_key
from swiftjunction.organisations._confirmation import compute_max_age_seconds
from swiftjunction.organisations._confirmation import TableConfirmation
from swiftjunction.organisations._keys import is_sendable_name
from swiftjunction.organisations._keys import KeyTable
from swiftjunction.organisations._keys import Organisation

__all__ = [
    'InvalidKey',
    'KeyChecker',
    'KeyPolicy',
    'KeyTable',
    'Organisation',
    'TableConfirmation',
    'compute_max_age_seconds',
    'find_organisation',
    'is_sendable_name',
    'select_key',
]
