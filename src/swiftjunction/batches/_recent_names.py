"""Remembers a bounded number of names."""

# Of all trainers together.
MAX_NAMES = 16_384


class RecentNames:
    """The names that were added last, up to ``MAX_NAMES``."""

    __slots__ = ('_names',)

    def __init__(self) -> None:
        self._names: dict[str, None] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def add(self, name: str) -> None:
        """Add a name, dropping the oldest one if there are too many."""
        if len(self._names) >= MAX_NAMES:
            self._names.pop(next(iter(self._names)))
        self._names[name] = None
