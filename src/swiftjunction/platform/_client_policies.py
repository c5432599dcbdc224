"""The limits on the callers of a VM and on its peers."""

import msgspec

from swiftjunction.platform import _settings
from swiftjunction import routes
from swiftjunction import web

# A head that was sent in time may arrive later.
HEAD_SECONDS_FACTOR = 2.0


class ClientPolicies:
    """What callers and other VMs may make this one hold.

    Parameters
    ----------
    settings : EdgeSettings
        The memory and the descriptors of this process.
    active_routes : ActiveRoutes
        Has the limits on heads in effect.

    Attributes
    ----------
    callers, peers : ClientPolicy
        Those of the addresses for callers and of the one for other VMs.
    """

    __slots__ = ('_active_routes', 'callers', 'peers')

    def __init__(
        self,
        settings: _settings.EdgeSettings,
        active_routes: routes.ActiveRoutes,
    ) -> None:
        self._active_routes = active_routes
        limits = web.compute_client_limits(
            settings.memory_bytes, settings.descriptors
        )
        self.callers = web.ClientPolicy(
            limits,
            read_head_limits=self._read_head_limits,
            counts_bodies=False,
        )
        self.peers = web.ClientPolicy(
            msgspec.structs.replace(
                limits,
                connections=limits.peer_connections,
                held_bytes=limits.peer_held_bytes,
            )
        )

    def _read_head_limits(self) -> web.HeadLimits:
        """Return the limits on heads that the configuration sets."""
        default = web.HeadLimits()
        table = self._active_routes.table
        if table is None:
            return default
        return web.HeadLimits(
            table.limits.max_head_bytes or default.max_bytes,
            table.limits.head_seconds * HEAD_SECONDS_FACTOR or default.seconds,
        )
