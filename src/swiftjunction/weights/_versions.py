"""The stored history of the published versions of a model."""

import msgspec

MAX_VERSIONS = 64


class PublishedVersion(msgspec.Struct, frozen=True, array_like=True):
    """One published version of a model.

    Attributes
    ----------
    published_at : float
        Unix time in seconds.
    source : int
        The earlier version whose weight files it reuses; 0 if it has its own.
    """

    version: int
    published_at: float
    source: int = 0


class VersionHistory(msgspec.Struct):
    """The newest versions of a model, stored as one object.

    Attributes
    ----------
    versions : list of PublishedVersion
        In ascending order.
    nonce : str
        Unique to each write, so that a writer recognizes its own.
    """

    model: str
    versions: list[PublishedVersion] = []
    nonce: str = ''

    @property
    def newest(self) -> int:
        """Return the newest version, or 0 if none was published."""
        return self.versions[-1].version if self.versions else 0

    def add(self, published_at: float, source: int = 0) -> int:
        """Append the next version and return it.

        Only the newest ``MAX_VERSIONS`` are kept.
        """
        version = self.newest + 1
        self.versions.append(PublishedVersion(version, published_at, source))
        del self.versions[:-MAX_VERSIONS]
        return version

    def find(self, version: int) -> PublishedVersion | None:
        """Return what was published as `version`; None if it is not kept."""
        for published in reversed(self.versions):
            if published.version == version:
                return published
        return None
