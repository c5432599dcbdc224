"""Settings of paths, with one subtree for each team, and operator keys."""

from swiftjunction.configuration._editor import Editor
from swiftjunction.configuration._history import find_changes
from swiftjunction.configuration._history import list_history
from swiftjunction.configuration._keys import hash_key
from swiftjunction.configuration._keys import KeyEditor
from swiftjunction.configuration._keys import KeyRing
from swiftjunction.configuration._keys import KEYS_PREFIX
from swiftjunction.configuration._settings import check_path
from swiftjunction.configuration._settings import PathSettings
from swiftjunction.configuration._settings import Subtree
from swiftjunction.configuration._tree import ActiveRevision
from swiftjunction.configuration._tree import CONFIGURATION_PREFIX
from swiftjunction.configuration._tree import Tree

__all__ = [
    'ActiveRevision',
    'CONFIGURATION_PREFIX',
    'Editor',
    'KEYS_PREFIX',
    'KeyEditor',
    'KeyRing',
    'PathSettings',
    'Subtree',
    'Tree',
    'check_path',
    'find_changes',
    'hash_key',
    'list_history',
]
