"""Texts that engines make, which callers can check without asking them."""

import xxhash

SHORTEST_TOKENS = 4


def make_token(prompt: str, seed: int, position: int) -> str:
    """Return one token of the answer to `prompt`."""
    digest = xxhash.xxh32_intdigest(f'{prompt}\0{seed}\0{position}'.encode())
    return f'{digest % 46656:04d} '


def count_tokens(prompt: str, seed: int, max_tokens: int) -> int:
    """Return how long the answer to `prompt` is.

    Lengths are heavy-tailed: most answers are short, and a few run up to
    `max_tokens`.
    """
    draw = xxhash.xxh32_intdigest(f'length\0{prompt}\0{seed}'.encode()) / 2**32
    length = SHORTEST_TOKENS + int(6 * (1 / max(1 - draw, 1e-6)) ** 0.8)
    return min(length, max_tokens)


def make_completion_text(prompt: str, seed: int, max_tokens: int) -> str:
    """Return the whole answer to `prompt`."""
    return ''.join(
        make_token(prompt, seed, position)
        for position in range(count_tokens(prompt, seed, max_tokens))
    )
