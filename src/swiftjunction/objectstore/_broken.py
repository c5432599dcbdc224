"""Remembers which broken objects have been reported."""

from swiftjunction.objectstore import _objects

# More keys than this are forgotten, and reported again.
MAX_KEYS = 1024


class BrokenObjects:
    """The broken objects of a list, each of which is reported once a version.

    The same version is delivered again with each new list.
    """

    __slots__ = ('_versions',)

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}

    def add(self, found: _objects.Object) -> bool:
        """Return whether this version of the object was not added before."""
        if self._versions.get(found.key) == found.version:
            return False
        if len(self._versions) >= MAX_KEYS:
            self._versions.clear()
        self._versions[found.key] = found.version
        return True
