"""Index of the backend servers that have prompt prefixes cached."""

import collections

import msgspec

MAX_BLOCKS = 65_536
MAX_SERVERS_PER_BLOCK = 4


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's prefix cache, as the engine reports it.

    Attributes
    ----------
    sequence : int
        One higher than that of the engine's previous event.
    added, removed : list of str
        Hashes of prompt blocks.
    """

    sequence: int
    added: list[str] = []
    removed: list[str] = []


class PrefixIndex:
    """Maps hashes of prompt blocks to the servers that have them cached.

    A server is assumed to cache the prefix of each prompt that is sent to it.
    Cache events of engines, which may be late or missing, can also be applied,
    but this service does not read them from engines. A wrong record costs no
    more than one prefill, so records are not confirmed.
    """

    __slots__ = ('_blocks', '_epochs', '_sequences')

    def __init__(self) -> None:
        self._blocks: collections.OrderedDict[str, dict[str, int]] = (
            collections.OrderedDict()
        )
        self._sequences: dict[str, int] = {}
        # Records of an older epoch are invalid: raising a server's epoch
        # drops all its records without a scan of the blocks.
        self._epochs: collections.Counter[str] = collections.Counter()

    def record_use(self, server: str, block_hashes: list[str]) -> None:
        """Record that `server` has the blocks with these hashes cached."""
        for block_hash in block_hashes:
            servers = self._blocks.setdefault(block_hash, {})
            servers.pop(server, None)
            servers[server] = self._epochs[server]
            if len(servers) > MAX_SERVERS_PER_BLOCK:
                del servers[next(iter(servers))]
            self._blocks.move_to_end(block_hash)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def invalidate(self, server: str) -> None:
        """Drop all records of a server, for example after a weight swap."""
        self._epochs[server] += 1

    def apply_event(self, server: str, event: CacheEvent) -> None:
        """Update the index from a cache event.

        After a gap in the sequence, removals may be missing, so all of the
        server's records are dropped first. Events whose number is not higher
        than the last one are ignored as duplicate or late, so an engine must
        not restart its sequence.
        """
        last_sequence = self._sequences.get(server)
        if last_sequence is not None and event.sequence <= last_sequence:
            return
        if last_sequence is not None and event.sequence != last_sequence + 1:
            self.invalidate(server)
        self._sequences[server] = event.sequence
        for block_hash in event.removed:
            self._blocks.get(block_hash, {}).pop(server, None)
        self.record_use(server, event.added)

    def count_cached_blocks(self, server: str, block_hashes: list[str]) -> int:
        """Return how many of the first blocks are cached on `server`."""
        epoch = self._epochs[server]
        for count, block_hash in enumerate(block_hashes):
            if self._blocks.get(block_hash, {}).get(server) != epoch:
                return count
        return len(block_hashes)

    def find_servers(self, block_hash: str) -> list[str]:
        """Return the servers that have the block with this hash cached.

        The hash also identifies the prompt before the block.
        """
        return [
            server
            for server, epoch in self._blocks.get(block_hash, {}).items()
            if epoch == self._epochs[server]
        ]
