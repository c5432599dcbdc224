"""What operators set: one subtree of paths for each team."""

from swiftjunction.configuration._editor import Editor
from swiftjunction.configuration._settings import check_path
from swiftjunction.configuration._settings import PathSettings
from swiftjunction.configuration._settings import Subtree
from swiftjunction.configuration._tree import CONFIGURATION_PREFIX
from swiftjunction.configuration._tree import Tree

__all__ = [
    'CONFIGURATION_PREFIX',
    'Editor',
    'PathSettings',
    'Subtree',
    'Tree',
    'check_path',
]
