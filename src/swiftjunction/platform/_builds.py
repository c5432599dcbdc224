"""Which sources the running package was built from."""

import pathlib

import msgspec

from swiftjunction import decoding
from swiftjunction import errors

# Written by deploy/build.py.
ORIGIN_FILE = pathlib.Path(__file__).parents[1] / 'build.json'


class BuildOrigin(msgspec.Struct, frozen=True):
    """The sources of a build.

    Attributes
    ----------
    commit : str
        The commit that was checked out; empty if that is not known.
    sources : str
        Digest of the files of the package; empty if it was not built, but runs
        from its sources.
    """

    commit: str = ''
    sources: str = ''


def read_origin(path: pathlib.Path = ORIGIN_FILE) -> BuildOrigin:
    """Return what the build has written; empty fields without it."""
    try:
        return decoding.decode_json(path.read_bytes(), BuildOrigin)
    except (OSError, errors.ContentBroken):
        return BuildOrigin()
