"""One route of the configuration."""

import enum
import random

import msgspec


class RouteKind(enum.Enum):
    """How the requests of a route run, and whether they may be retried."""

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
        The maximum duration of a request; 0 for no limit.
    objective_seconds : float
        The latency objective: a response within this time is of full use to
        its caller.
    rank : int
        The rank of the requests among those of all routes; 0 goes first.
    max_attempts : int
        The maximum number of backend servers that one request is sent to.
    resumable : bool
        Whether another server may continue an interrupted stream.
    single_version : bool
        Whether a single weight version must generate the entire completion.
    due_seconds : float
        For batches: the time after submission at which all results are due.
    max_age_seconds : float
        For batches: the time after submission after which a sample may be
        given up.
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

    def draw_service(self, rng: random.Random) -> str:
        """Return a random service, weighted by the shares."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        if not any(weights):
            weights = [1.0] * len(self.shares)
        return rng.choices(self.shares, weights)[0].service
