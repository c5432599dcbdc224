"""Names of prompt prefixes, the same as in the engines' cache events."""

import xxhash

BLOCK_CHARS = 32


def hash_blocks(prompt: str, max_blocks: int | None = None) -> list[str]:
    """Return a chained hash for each whole block of `prompt`.

    The hash of a block stands for all of the prompt up to its end.
    """
    hashes = []
    digest = xxhash.xxh3_64()
    last = len(prompt) - BLOCK_CHARS + 1
    if max_blocks is not None:
        last = min(last, max_blocks * BLOCK_CHARS)
    for start in range(0, last, BLOCK_CHARS):
        digest.update(prompt[start : start + BLOCK_CHARS].encode())
        hashes.append(digest.hexdigest())
    return hashes
