"""The published versions of a model."""

import msgspec

KEPT_VERSIONS = 64


class PublishedVersion(msgspec.Struct, frozen=True, array_like=True):
    """One version and when it was published, in seconds of Unix time.

    Attributes
    ----------
    source : int
        The earlier version whose weights it has again; 0 for its own.
    """

    version: int
    published_at: float
    source: int = 0


class VersionHistory(msgspec.Struct):
    """The newest versions of a model, oldest first: one platform object."""

    model: str
    versions: list[PublishedVersion] = []
    nonce: str = ''

    @property
    def newest(self) -> int:
        """Return the newest version, 0 where none was published."""
        return self.versions[-1].version if self.versions else 0

    def add(self, published_at: float, source: int = 0) -> int:
        """Add the next version and return it."""
        version = self.newest + 1
        self.versions.append(PublishedVersion(version, published_at, source))
        del self.versions[:-KEPT_VERSIONS]
        return version

    def find(self, version: int) -> PublishedVersion | None:
        """Return what is known of `version`."""
        for published in reversed(self.versions):
            if published.version == version:
                return published
        return None
