"""Rendezvous hashing.

When a member joins or leaves, only the keys that it owns change their owner.
"""

import collections.abc

import xxhash


def rank_owners(key: str, members: collections.abc.Iterable[str]) -> list[str]:
    """Return `members` by descending score for `key`, the owner first.

    The score of a member is a hash of its name and `key`.
    """
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
    """Return the owner of `key`, or None if there are no members."""
    return max(
        members,
        key=lambda member: (
            xxhash.xxh3_64_intdigest(f'{member}\0{key}'.encode()),
            member,
        ),
        default=None,
    )
