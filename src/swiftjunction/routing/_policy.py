"""What every routing policy does."""

import abc
import collections.abc
import math

import msgspec

from swiftjunction import backends

Server = backends.BackendServer
Candidates = collections.abc.Sequence[backends.BackendServer]


class RoutingRequest(msgspec.Struct, frozen=True):
    """What a policy may know of a request.

    Attributes
    ----------
    min_version : int
        The oldest weight version that is fresh.
    excluded : frozenset of str
        Servers that failed this request.
    alone : bool
        Whether it must not share its server, nor have the last one.
    request_class : str
        ``live``, ``internal`` or ``samples``.
    max_load : float
        Reported load from which on a server does not get it.
    deadline : float
        On the event loop's clock, in seconds.
    """

    path: str
    service: str
    prompt: str = ''
    min_version: int = 0
    excluded: frozenset[str] = frozenset()
    alone: bool = False
    request_class: str = 'live'
    max_load: float = math.inf
    deadline: float = math.inf

    def is_restricted(self) -> bool:
        """Tell whether it can use only some of the service's servers."""
        return self.alone or bool(self.excluded)


class Policy(abc.ABC):
    """Chooses one backend server among those that may serve a request."""

    name = ''

    @abc.abstractmethod
    def choose(
        self, candidates: Candidates, request: RoutingRequest
    ) -> backends.BackendServer:
        """Return one of `candidates`, which is never empty."""
