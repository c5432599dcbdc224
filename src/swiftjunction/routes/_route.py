"""One route of the configuration."""

import enum
import random

import msgspec


class RouteKind(enum.Enum):
    """How the requests of a route run, and whether they may be retried.

    Attributes
    ----------
    IDEMPOTENT
        Plain requests that may be sent again after an attempt that may have
        run.
    ONCE
        Plain requests that must not run more than once.
    STREAM
        Requests that are answered by an event stream.
    BATCH
        Submissions of batches of samples, by POST; other methods are served
        as for ONCE.
    """

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'
    BATCH = 'batch'


class ServiceShare(msgspec.Struct, frozen=True):
    """A service and its relative weight among the services of a route."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """The services and limits for the requests of one host and path prefix.

    Attributes
    ----------
    shares : tuple of ServiceShare
        The services that share the requests; at least one.
    timeout_seconds : float
        The maximum duration of a request, in seconds; 0 if the route sets
        none.
    objective_seconds : float
        The latency objective, in seconds. It is decoded, but has no effect.
    rank : int
        The priority that the configuration gives the requests. It is decoded,
        but has no effect.
    max_attempts : int
        The maximum number of backend servers that one request is sent to. For
        batches: the number of failed attempts after which a sample is given
        up.
    resumable : bool
        Whether another server may continue an interrupted stream.
    single_version : bool
        For batches: whether a single weight version must generate each
        complete sample.
    due_seconds : float
        For batches: the time from the submission until all results are due,
        in seconds.
    max_age_seconds : float
        For batches: the age from which samples may be given up, in seconds; 0
        for never. It is stored with each batch, but has no effect.
    is_public : bool
        Whether its requests need no key, also where the configuration has
        organisations.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_seconds: float = 0.0
    objective_seconds: float = 0.0
    rank: int = 0
    max_attempts: int = 1
    resumable: bool = False
    single_version: bool = False
    due_seconds: float = 0.0
    max_age_seconds: float = 0.0
    is_public: bool = False

    def draw_service(self, rng: random.Random) -> str:
        """Return a random service, weighted by the shares.

        If all weights are 0, each service is equally likely.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        if not any(weights):
            weights = [1.0] * len(self.shares)
        return rng.choices(self.shares, weights)[0].service
