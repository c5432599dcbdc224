"""What makes answers, alike in entries and rollout processes."""

from swiftjunction import backends
from swiftjunction.daemons import _daemon
from swiftjunction import requests
from swiftjunction import routing


class RequestHandlers:
    """The router of one daemon, and what it makes answers with.

    Parameters
    ----------
    daemon : Daemon
        Whose records, connections and dump are used.

    Attributes
    ----------
    generator : CompletionGenerator
        Makes completions and samples.
    forwarder : Forwarder
        Calls plain services and scorers.
    """

    __slots__ = ('forwarder', 'generator')

    def __init__(self, daemon: _daemon.Daemon) -> None:
        router = routing.Router(
            daemon.directory, daemon.config.vm.data_center, daemon.rng
        )
        budget = requests.RetryBudget()
        suspects = requests.SuspectTracker(daemon.table, daemon.name)
        self.generator = requests.CompletionGenerator(
            router,
            backends.EngineClient(daemon.backend_clients),
            daemon.version_tracker,
            budget,
            suspects,
        )
        self.forwarder = requests.Forwarder(
            router,
            backends.ServiceClient(daemon.backend_clients),
            requests.ClaimStore(daemon.store, daemon.name),
            budget,
            suspects,
        )
        daemon.dump.add('suspects', suspects.summarize)
        daemon.dump.add('waiting', router.count_waiting)
