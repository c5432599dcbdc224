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
    path : str
        The path that the request belongs to; no policy considers it.
    service : str
        The model or plain service whose servers may run the request.
    prompt : str
        The prompt, for policies that consider prefix caches; may be empty.
    min_version : int
        The oldest weight version that counts as fresh.
    excluded : frozenset of str
        Names of the servers that the request must not be sent to, as a rule
        because it was tried there.
    isolated : bool
        Whether no other request may run on the server at the same time. The
        server must not be the only available one either.
    request_class : str
        ``live``, ``internal`` or ``samples``.
    max_load : float
        Servers whose reported load, decayed by its age, is this or more are
        not used; a load of 1 means that the server is at capacity.
    software : str or None
        The software version that wrote the text to go on with; None if there
        is no text yet.
    deadline : float
        The time until which the request may wait for a server, in seconds
        on the event loop's clock.
    organisation : str
        The organisation of the caller, for its fair share; empty if there is
        none.
    """

    path: str
    service: str
    prompt: str = ''
    min_version: int = 0
    excluded: frozenset[str] = frozenset()
    isolated: bool = msgspec.field(name='alone', default=False)
    request_class: str = 'live'
    max_load: float = math.inf
    software: str | None = None
    deadline: float = math.inf
    organisation: str = ''

    def is_restricted(self) -> bool:
        """Return whether only some of the service's servers are eligible."""
        return (
            self.isolated or self.software is not None or bool(self.excluded)
        )

    def holds_up_others(self) -> bool:
        """Return whether requests behind it in the queue must wait for it.

        It waits for an idle server, or for one of its software, while others
        may have capacity.
        """
        return not self.isolated and self.software is None


class Policy(abc.ABC):
    """Chooses the backend server for a request from the eligible ones."""

    #: The value of the setting ``policy`` that selects this policy.
    name = ''

    @abc.abstractmethod
    def choose(
        self, candidates: Candidates, request: RoutingRequest
    ) -> backends.BackendServer:
        """Return one of `candidates`, which is never empty."""
