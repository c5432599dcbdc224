"""Request handling that entry and rollout daemons have in common."""

from swiftjunction import backends
from swiftjunction.daemons import _daemon
from swiftjunction import requests
from swiftjunction import routing


class RequestHandlers:
    """Builds the request handlers of a daemon on one router.

    Parameters
    ----------
    daemon : Daemon
        Provides the records, HTTP clients and state dump.

    Attributes
    ----------
    generator : CompletionGenerator
        Generates completions and samples.
    forwarder : Forwarder
        Forwards requests to plain services and scorers.
    """

    __slots__ = ('forwarder', 'generator')

    def __init__(self, daemon: _daemon.Daemon) -> None:
        router = routing.Router(
            daemon.directory, daemon.config.vm.data_center, daemon.rng
        )
        retry_budget = requests.RetryBudget()
        suspects = requests.SuspectTracker(
            requests.RecordCrashRegistry(daemon.table), daemon.name
        )
        self.generator = requests.CompletionGenerator(
            router,
            backends.EngineClient(daemon.backend_clients),
            daemon.version_tracker,
            retry_budget,
            suspects,
        )
        self.forwarder = requests.Forwarder(
            router,
            backends.ServiceClient(daemon.backend_clients),
            requests.ClaimStore(daemon.store, daemon.name),
            retry_budget,
            suspects,
            daemon.directory,
        )
        daemon.dump.add('suspects', suspects.summarize)
        daemon.dump.add('waiting', router.count_waiting)
