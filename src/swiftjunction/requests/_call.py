"""One generation, as it was asked for."""

import math

import msgspec

from swiftjunction import configuration
from swiftjunction.requests import _suspects
from swiftjunction import weights


class GenerationCall(msgspec.Struct, frozen=True):
    """One generation that a caller or a trainer asked for.

    Attributes
    ----------
    deadline : float
        On the event loop's clock, in seconds.
    idempotent : bool
        Whether a second attempt may be made after the first one started.
    is_whole : bool
        Whether nobody sees a part of the answer before its end.
    """

    request_id: str
    path: str
    settings: configuration.PathSettings
    prompt: str
    max_tokens: int
    deadline: float
    seed: int = 0
    priority: int = 0
    idempotent: bool = True
    is_whole: bool = False

    @property
    def model(self) -> str:
        """Return the model that serves the path."""
        return self.settings.model or ''

    @property
    def request_class(self) -> str:
        """Return the class; a sample is one whatever its path's class."""
        if self.priority < 0:
            return 'samples'
        return self.settings.request_class or 'live'

    @property
    def max_load(self) -> float:
        """Return the reported load from which on an engine is not used."""
        ceiling = self.settings.sample_load_ceiling
        if ceiling is None or self.request_class != 'samples':
            return math.inf
        return ceiling

    @property
    def fingerprint(self) -> str:
        """Return what is the same when the request is sent again."""
        return _suspects.make_fingerprint(
            self.path, self.prompt, str(self.max_tokens), str(self.seed)
        )

    @property
    def bound(self) -> weights.FreshnessBound:
        """Return the freshness bound of the path."""
        return weights.FreshnessBound(
            self.settings.freshness_versions, self.settings.freshness_seconds
        )
