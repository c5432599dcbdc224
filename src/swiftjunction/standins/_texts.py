"""Deterministic completions, which clients can compute and verify."""

import xxhash

MIN_TOKENS = 4


def make_token(prompt: str, seed: int, position: int) -> str:
    """Return the token at `position` of the completion of `prompt`."""
    digest = xxhash.xxh32_intdigest(f'{prompt}\0{seed}\0{position}'.encode())
    return f'{digest % 46656:04d} '


def count_tokens(prompt: str, seed: int, max_tokens: int) -> int:
    """Return the length of the completion of `prompt` in tokens.

    Lengths have a heavy tail: most completions are short, and a few reach
    `max_tokens`.
    """
    uniform = (
        xxhash.xxh32_intdigest(f'length\0{prompt}\0{seed}'.encode()) / 2**32
    )
    length = MIN_TOKENS + int(6 * (1 / max(1 - uniform, 1e-6)) ** 0.8)
    return min(length, max_tokens)


def make_completion_text(prompt: str, seed: int, max_tokens: int) -> str:
    """Return the complete text that an engine generates for `prompt`."""
    return ''.join(
        make_token(prompt, seed, position)
        for position in range(count_tokens(prompt, seed, max_tokens))
    )
