"""The interface of routing policies."""

import abc
import collections.abc
import math

import msgspec

from swiftjunction import backends

BackendServer = backends.BackendServer
Candidates = collections.abc.Sequence[backends.BackendServer]


class RoutingRequest(msgspec.Struct, frozen=True):
    """The properties of a request that affect its routing.

    Attributes
    ----------
    min_version : int
        The oldest weight version that counts as fresh.
    excluded : frozenset of str
        Names of the servers that failed this request.
    isolated : bool
        Whether the request must be the only one on its server, which must not
        be the last available one.
    request_class : str
        ``live``, ``internal`` or ``samples``.
    max_load : float
        Servers that report this load or more are not used.
    deadline : float
        In seconds on the event loop's clock.
    """

    path: str
    service: str
    prompt: str = ''
    min_version: int = 0
    excluded: frozenset[str] = frozenset()
    isolated: bool = msgspec.field(name='alone', default=False)
    request_class: str = 'live'
    max_load: float = math.inf
    deadline: float = math.inf

    def is_restricted(self) -> bool:
        """Return whether only some of the service's servers are eligible."""
        return self.isolated or bool(self.excluded)


class Policy(abc.ABC):
    """Chooses one of the backend servers that may run a request."""

    name = ''

    @abc.abstractmethod
    def choose(
        self, candidates: Candidates, request: RoutingRequest
    ) -> backends.BackendServer:
        """Return one of `candidates`, which is never empty."""
