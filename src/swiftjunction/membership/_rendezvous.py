"""Ownership by rendezvous hashing: few keys move when a member changes."""

import collections.abc

import xxhash


def rank_owners(key: str, members: collections.abc.Iterable[str]) -> list[str]:
    """Order `members` by their weight for `key`, the owner first."""
    return sorted(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f'{member}\0{key}'.encode()),
            member,
        ),
        reverse=True,
    )


def choose_owner(
    key: str, members: collections.abc.Iterable[str]
) -> str | None:
    """Return the member that owns `key`; None where there are no members."""
    return max(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f'{member}\0{key}'.encode()),
            member,
        ),
        default=None,
    )
