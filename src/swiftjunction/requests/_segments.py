"""Which weight version generated each part of a completion."""

import collections.abc

import msgspec

from swiftjunction import backends


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive tokens that one weight version generated.

    Attributes
    ----------
    first_token : int
        Index of the first token in the completion.
    tokens : int
        Number of tokens.
    """

    version: int
    first_token: int
    tokens: int


def build_segments(
    chunks: collections.abc.Iterable[backends.Chunk],
) -> list[Segment]:
    """Merge the chunks of one completion into segments."""
    segments: list[Segment] = []
    for chunk in chunks:
        if segments and segments[-1].version == chunk.weight_version:
            last = segments[-1]
            segments[-1] = msgspec.structs.replace(
                last, tokens=last.tokens + chunk.tokens
            )
        elif chunk.tokens:
            segments.append(
                Segment(chunk.weight_version, chunk.offset, chunk.tokens)
            )
    return segments
