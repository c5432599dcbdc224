"""Hashes of prompt prefixes, as in the cache events of engines."""

import xxhash

BLOCK_CHARS = 32


def hash_blocks(prompt: str, max_blocks: int | None = None) -> list[str]:
    """Return a chained hash for each complete block of `prompt`.

    The hash of a block identifies the entire prompt up to the end of the
    block.
    """
    hashes = []
    digest = xxhash.xxh3_64()
    stop = len(prompt) - BLOCK_CHARS + 1
    if max_blocks is not None:
        stop = min(stop, max_blocks * BLOCK_CHARS)
    for start in range(0, stop, BLOCK_CHARS):
        digest.update(prompt[start : start + BLOCK_CHARS].encode())
        hashes.append(digest.hexdigest())
    return hashes
