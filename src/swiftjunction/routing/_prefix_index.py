"""Which backend servers are thought to hold which prompt prefixes."""

import collections

import msgspec

MAX_BLOCKS = 65_536
MAX_HOLDERS_PER_BLOCK = 4


class CacheEvent(msgspec.Struct, frozen=True):
    """What an engine says changed in its cache of prompt prefixes.

    Attributes
    ----------
    sequence : int
        One higher than that of the event before it.
    """

    sequence: int
    added: list[str] = []
    removed: list[str] = []


class PrefixIndex:
    """Maps blocks of prompts to the servers that hold them.

    Knowledge comes from two sides: a request that was sent to a server
    leaves its prefix there, which is known at once; and cache events, which
    are late and have gaps. A wrong entry costs one prefill and no more, so
    nothing here waits for certainty.
    """

    __slots__ = ('_blocks', '_sequences', '_versions')

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[str, dict[str, int]] = (
            collections.OrderedDict()
        )
        self._sequences: dict[str, int] = {}
        # The generation of what is known of a server: raised to forget it
        # all without a walk over the blocks.
        self._versions: collections.Counter[str] = collections.Counter()

    def record_use(self, server: str, blocks: list[str]) -> None:
        """Learn that a prompt of these blocks was sent to `server`."""
        for block in blocks:
            holders = self._blocks.setdefault(block, {})
            holders.pop(server, None)
            holders[server] = self._versions[server]
            if len(holders) > MAX_HOLDERS_PER_BLOCK:
                del holders[next(iter(holders))]
            self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def forget(self, server: str) -> None:
        """Forget all of a server, as after a restart or a swap of weights."""
        self._versions[server] += 1

    def apply_event(self, server: str, event: CacheEvent) -> None:
        """Learn from a cache event.

        After a gap it is not known what was removed, so that all of the
        server's blocks are forgotten before the event is taken in. An event
        that is older than the newest one adds nothing.
        """
        held = self._sequences.get(server)
        if held is not None and event.sequence <= held:
            return
        if held is not None and event.sequence != held + 1:
            self.forget(server)
        self._sequences[server] = event.sequence
        for block in event.removed:
            self._blocks.get(block, {}).pop(server, None)
        self.record_use(server, event.added)

    def count_blocks(self, server: str, blocks: list[str]) -> int:
        """Return how many blocks from the first on `server` holds."""
        version = self._versions[server]
        for count, block in enumerate(blocks):
            if self._blocks.get(block, {}).get(server) != version:
                return count
        return len(blocks)

    def find_holders(self, block: str) -> list[str]:
        """Return the servers that hold the prompt up to `block`."""
        return [
            server
            for server, version in self._blocks.get(block, {}).items()
            if version == self._versions[server]
        ]
