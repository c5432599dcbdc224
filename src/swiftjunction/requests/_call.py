"""The parameters of one generation."""

import math

import msgspec

from swiftjunction import configuration
from swiftjunction.requests import _suspects
from swiftjunction import weights


class GenerationCall(msgspec.Struct, frozen=True):
    """One generation that a caller or a trainer requested.

    Attributes
    ----------
    settings : PathSettings
        Settings of `path`.
    deadline : float
        On the event loop's clock, in seconds.
    priority : int
        On the engine, where a higher one runs first; negative for samples.
    idempotent : bool
        Whether another attempt may be made after one that may have run.
    is_whole : bool
        Whether the completion is delivered only when it is complete, so that
        it can be generated again from the start.
    deferred : bool
        Whether it is a sample of a step. Crashes of engines do not make such
        a generation a suspect.
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
    deferred: bool = False

    @property
    def model(self) -> str:
        """Return the model that serves the path."""
        return self.settings.model or ''

    @property
    def request_class(self) -> str:
        """Return the request class: ``samples`` for samples on any path."""
        if self.priority < 0:
            return 'samples'
        return self.settings.request_class or 'live'

    @property
    def max_load(self) -> float:
        """Return the reported load from which on an engine gets no request.

        It limits samples only, and is infinite for other classes.
        """
        ceiling = self.settings.sample_load_ceiling
        if ceiling is None or self.request_class != 'samples':
            return math.inf
        return ceiling

    @property
    def fingerprint(self) -> str:
        """Return an identifier that retries of the same request share.

        Deferred generations have none.
        """
        if self.deferred:
            return _suspects.NO_FINGERPRINT
        return _suspects.make_fingerprint(
            self.path, self.prompt, str(self.max_tokens), str(self.seed)
        )

    @property
    def freshness_bound(self) -> weights.FreshnessBound:
        """Return the freshness bound of the path."""
        return weights.FreshnessBound(
            self.settings.freshness_versions, self.settings.freshness_seconds
        )
