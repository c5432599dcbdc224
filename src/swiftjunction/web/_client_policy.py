"""What clients of a listener may do, and when a connection is ended."""

import collections.abc

import anyio
import msgspec

from swiftjunction.web import _client_limits
from swiftjunction.web import _connection_table
from swiftjunction.web import _memory

SWEEP_INTERVAL_SECONDS = 0.5


class HeadLimits(msgspec.Struct, frozen=True):
    """Limits on the heads of requests.

    Attributes
    ----------
    max_bytes : int
        The maximum size of an incomplete head.
    seconds : float
        How long a head may take from its first byte on.
    """

    max_bytes: int = 16 * 1024
    seconds: float = 30.0


class ClientPolicy:
    """The limits on the clients of one or more addresses.

    Parameters
    ----------
    limits : ClientLimits, optional
        By default, those of a process whose settings state none.
    budget : MemoryBudget, optional
        Counts what is held; by default, for these addresses alone.
    read_head_limits : callable, optional
        Returns the limits on heads in effect.
    counts_bodies : bool
        Whether connections hold the bodies that they read. Without, the
        application does, as it reads them.

    Attributes
    ----------
    limits : ClientLimits
        The limits.
    budget : MemoryBudget
        Counts what is held.
    """

    __slots__ = (
        '_tables',
        'budget',
        'counts_bodies',
        'limits',
        'read_head_limits',
    )

    def __init__(
        self,
        limits: _client_limits.ClientLimits | None = None,
        budget: _memory.MemoryBudget | None = None,
        read_head_limits: collections.abc.Callable[[], HeadLimits] = (
            HeadLimits
        ),
        counts_bodies: bool = True,
    ) -> None:
        self.counts_bodies = counts_bodies
        self.limits = limits or _client_limits.compute_client_limits()
        self.budget = budget or _memory.MemoryBudget(self.limits.held_bytes)
        self.budget.add_relief(self._end_stalled)
        self.read_head_limits = read_head_limits
        self._tables: dict[int, _connection_table.ConnectionTable] = {}

    def get_table(self, port: int) -> _connection_table.ConnectionTable:
        """Return the connections to a port."""
        return self._tables.setdefault(
            port, _connection_table.ConnectionTable()
        )

    async def sweep(self) -> None:
        """End the connections whose clients do not go on, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_SECONDS)
            head_seconds = self.read_head_limits().seconds
            for table in self._tables.values():
                table.sweep(anyio.current_time(), head_seconds)

    def _end_stalled(self) -> bool:
        """End a connection that holds memory and makes no progress."""
        now = anyio.current_time()
        return any(table.end_stalled(now) for table in self._tables.values())

    def summarize(self) -> dict[str, object]:
        """Return what is held, for the state dump."""
        return {
            'limits': self.limits,
            'held_bytes': self.budget.held_bytes,
            'connections': {
                port: table.summarize() for port, table in self._tables.items()
            },
        }
