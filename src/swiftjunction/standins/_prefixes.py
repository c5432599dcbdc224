"""A prompt-prefix cache with limited memory, as engines keep it."""

import collections

from swiftjunction import routing


class PrefixCache:
    """Keeps the least recently used blocks out.

    Parameters
    ----------
    max_blocks : int
        How many blocks fit into memory.

    Attributes
    ----------
    changes : list of (str, bool)
        Blocks added (True) and removed (False) since they were last taken.
    """

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.changes: list[tuple[str, bool]] = []

    def use(self, prompt: str) -> int:
        """Cache `prompt` and return how many of its characters were."""
        hits = 0
        missed = False
        for block in routing.hash_blocks(prompt):
            if block in self._blocks and not missed:
                hits += 1
            else:
                missed = True
                self.changes.append((block, True))
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            removed, _ = self._blocks.popitem(last=False)
            self.changes.append((removed, False))
        return hits * routing.BLOCK_CHARS

    def clear(self) -> None:
        """Forget everything, as at a swap of weights."""
        self.changes += [(block, False) for block in self._blocks]
        self._blocks.clear()

    def take_changes(self) -> list[tuple[str, bool]]:
        """Return the changes since the last call."""
        taken, self.changes = self.changes, []
        return taken
