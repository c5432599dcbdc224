"""``swiftjunction-entry``: serves the requests of callers."""

import collections.abc

import anyio

from swiftjunction.daemons import _daemon
from swiftjunction.daemons import _handlers
from swiftjunction import requests
from swiftjunction import settings

# Allows for connections that callers open just before their address expires.
DRAIN_MARGIN_SECONDS = 1.0


class EntryDaemon(_daemon.Daemon):
    """Serves requests and tells callers which entries to use."""

    def __init__(self, config: settings.Settings, seed: int = 0) -> None:
        own = config.entry
        super().__init__(config, 'entry', own.port, own.link_port, seed)
        self.join({config.format_link_address(config.conductor.link_port)})
        handlers = _handlers.RequestHandlers(self)
        self._admission = requests.AdmissionController(own.max_in_flight)
        self._entry_app = requests.EntryApp(
            self.tree,
            self._admission,
            handlers.generator,
            handlers.forwarder,
            requests.EntrySelector(
                self.processes, own.address_lifetime_seconds, self.rng
            ),
            self.metrics,
        )
        self.dump.add('admission', self._admission.summarize)

    def build_app(self) -> collections.abc.Callable:
        """Return the HTTP application."""
        return requests.build_app(self._entry_app, self.list_common_routes())

    def list_tasks(self) -> list[_daemon.Task]:
        """Return the task that detects overload of this entry."""
        return [self._monitor_overload]

    async def _monitor_overload(self) -> None:
        detector = requests.OverloadDetector()
        while True:
            due_at = (
                anyio.current_time() + requests.OVERLOAD_CHECK_INTERVAL_SECONDS
            )
            await anyio.sleep(requests.OVERLOAD_CHECK_INTERVAL_SECONDS)
            overloaded = detector.update(
                anyio.current_time() - due_at, self._admission.is_saturated()
            )
            state = 'overloaded' if overloaded else 'live'
            if self.announcement.process.state not in ('draining', state):
                self.announcement.set_state(state)

    async def drain(self) -> None:
        """Wait until the addresses that callers hold have expired."""
        await anyio.sleep(
            self.config.entry.address_lifetime_seconds + DRAIN_MARGIN_SECONDS
        )
