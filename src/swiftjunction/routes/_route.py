"""One route as its operator has set it."""

import enum
import random

import msgspec


class RouteKind(enum.Enum):
    """What may be repeated of the requests of a route."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'
    BATCH = 'batch'


class ServiceShare(msgspec.Struct, frozen=True):
    """A service and the weight of its part of a route's requests."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Where the requests of one host and path prefix go.

    Attributes
    ----------
    shares : tuple of ServiceShare
        The services that answer; at least one.
    timeout_seconds : float
        How long a request may be kept; 0 for no bound.
    objective_seconds : float
        Within this time an answer is of full use to its caller.
    rank : int
        Of its requests among all; 0 goes first.
    max_attempts : int
        How many backend servers one request may be sent to.
    resumable : bool
        Whether another server may go on with a stream that broke.
    single_version : bool
        Whether one weight version must have made the whole of an answer.
    due_seconds : float
        Of a batch: all results are due this long after its submission.
    max_age_seconds : float
        Of a batch: a sample may be given up this long after the submission.
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
        """Return a service, drawn by the weights of the shares."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        if not any(weights):
            weights = [1.0] * len(self.shares)
        return rng.choices(self.shares, weights)[0].service
