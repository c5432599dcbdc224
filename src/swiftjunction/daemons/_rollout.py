"""``swiftjunction-rollout``: serves the steps of trainers."""

import collections.abc

from swiftjunction import backends
from swiftjunction.daemons import _daemon
from swiftjunction.daemons import _handlers
from swiftjunction import settings
from swiftjunction import steps


class RolloutDaemon(_daemon.Daemon):
    """Produces the samples of trainers' steps and delivers them."""

    def __init__(self, config: settings.Settings, seed: int = 0) -> None:
        own = config.rollout
        super().__init__(config, 'rollout', own.port, own.link_port, seed)
        self.join({config.format_link_address(config.conductor.link_port)})
        self.directory.latency_tolerance = backends.SAMPLE_LATENCY_TOLERANCE
        handlers = _handlers.RequestHandlers(self)
        producer = steps.Producer(
            self.tree,
            handlers.generator,
            handlers.forwarder,
            self.version_tracker,
            own.max_in_flight,
            self.rng,
        )
        self._registry = steps.StepRegistry(
            self.store,
            self.name,
            producer,
            steps.SpoolPayloadStore(self.processes),
        )
        self._step_app = steps.StepApp(
            self._registry, self.processes, self.daemon_clients
        )
        self.dump.add('steps', self._registry.summarize)

    def build_app(self) -> collections.abc.Callable:
        """Return the HTTP application."""
        return steps.build_app(self._step_app, self.list_common_routes())

    def list_tasks(
        self,
    ) -> list[_daemon.Task]:
        """Return the task that runs the steps."""
        return [self._registry.run]
