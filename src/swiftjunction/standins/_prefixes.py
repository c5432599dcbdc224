"""The prompt-prefix cache of a simulated engine."""

import collections

from swiftjunction import routing


class PrefixCache:
    """LRU cache of prompt blocks.

    Parameters
    ----------
    max_blocks : int
        Maximum number of cached blocks.

    Attributes
    ----------
    changes : list of (str, bool)
        Hashes of the blocks that were added (True) or removed (False) since
        the last :meth:`pop_changes`.
    """

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.changes: list[tuple[str, bool]] = []

    def add_prompt(self, prompt: str) -> int:
        """Add the blocks of a prompt and find its cached prefix.

        Parameters
        ----------
        prompt : str
            Prompt of a request.

        Returns
        -------
        int
            Length in characters of the prefix that was cached before.
        """
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
        """Remove all blocks, as after a change of weights or a crash."""
        self.changes += [(block, False) for block in self._blocks]
        self._blocks.clear()

    def pop_changes(self) -> list[tuple[str, bool]]:
        """Return the changes since the last call, and reset them."""
        popped, self.changes = self.changes, []
        return popped
