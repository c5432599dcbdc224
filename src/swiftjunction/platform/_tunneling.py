"""The tunnels that this VM serves to its peers."""

import anyio

from swiftjunction import backends
from swiftjunction.platform import _settings
from swiftjunction import telemetry
from swiftjunction import tunnels
from swiftjunction import web

# Between attempts to listen, while no port is free.
RETRY_SECONDS = 5.0
FAILED_CONNECTIONS = (
    tunnels.TunnelOutcome.REFUSED,
    tunnels.TunnelOutcome.UNREACHABLE,
)


class PeerTunnels:
    """Serves tunnels, and learns from those that reach no server.

    Parameters
    ----------
    settings : EdgeSettings
        Address and ports of this VM.
    directory : Directory
        Lists the servers that tunnels may lead to.
    reachability : Reachability
        Checks a service after a connection for a peer has failed.
    metrics : Metrics
        Counts tunnels by outcome.
    """

    __slots__ = (
        '_directory',
        '_max_tunnels',
        '_metrics',
        '_reachability',
        '_server',
        '_settings',
    )

    def __init__(
        self,
        settings: _settings.EdgeSettings,
        directory: backends.Directory,
        reachability: backends.Reachability,
        metrics: telemetry.Metrics,
    ) -> None:
        self._max_tunnels = web.compute_client_limits(
            settings.memory_bytes, settings.descriptors
        ).tunnels
        self._settings = settings
        self._directory = directory
        self._reachability = reachability
        self._metrics = metrics
        self._server: tunnels.TunnelServer | None = None

    @property
    def port(self) -> int:
        """Return the port for tunnels; 0 if there are none."""
        return self._server.port if self._server is not None else 0

    def open(self) -> None:
        """Listen on the first free port after the one for requests."""
        self._server = tunnels.open_tunnel_server(
            self._settings.ip,
            self._list_ports(),
            self._is_server,
            self._max_tunnels,
        )
        if self._server is not None:
            self._server.listen(self._record)

    async def run(self) -> None:
        """Serve tunnels until cancelled; may be called again after that."""
        if not self._list_ports():
            return
        while self._server is None:
            self.open()
            if self._server is None:
                await anyio.sleep(RETRY_SECONDS)
        try:
            await self._server.run()
        finally:
            # Its socket is closed.
            self._server = None

    def _list_ports(self) -> range:
        return range(
            self._settings.peer_port + 1, self._settings.last_port + 1
        )

    def _is_server(self, address: str) -> bool:
        return self._directory.find_address(address) is not None

    def _record(self, address: str, outcome: tunnels.TunnelOutcome) -> None:
        self._metrics.count('tunnels', outcome=outcome.value)
        server = self._directory.find_address(address)
        if server is not None and outcome in FAILED_CONNECTIONS:
            self._reachability.suspect(server.report.service)
