"""Whether this process reaches the servers of each service.

A failed request shows that one server, or the path to it, does not work. If
none of a service's servers accepts a connection, either all of them are down,
or this VM is cut off from them: only other VMs can tell which.
"""

import collections.abc
import contextlib
import functools
import logging
import random
import time

import anyio

from swiftjunction.backends import _exchange
from swiftjunction.backends import _server
from swiftjunction import supervision
from swiftjunction import telemetry
from swiftjunction import web

LOG = logging.getLogger(__name__)

TICK_SECONDS = 0.05
# A connection that takes longer, or a server that sends nothing for longer,
# is a reason to check whether the service is reachable.
SLOW_CONNECT_SECONDS = 0.1
SILENT_SECONDS = 0.25
# Several round trips between data centres.
CONNECT_TIMEOUT_SECONDS = 0.3
FIRST_CONNECT_TIMEOUT_SECONDS = 0.1
# Servers that a check connects to.
MAX_CHECKED_SERVERS = 8
# If a check takes longer, the event loop was late, and the timeouts of its
# connections say nothing.
MAX_CHECK_SECONDS = (
    FIRST_CONNECT_TIMEOUT_SECONDS + CONNECT_TIMEOUT_SECONDS + 0.15
)
# Pause after a check that reached a server.
CHECK_PAUSE_SECONDS = 1.0
# Interval of the checks of a service that is cut off, spread at random so that
# VMs do not return all at once.
RECHECK_SECONDS = 0.4
RECHECK_JITTER = 0.25
# Checks in a row that end a cut.
CHECKS_TO_RETURN = 2

Connect = collections.abc.Callable[
    [str, float], collections.abc.Awaitable[bool]
]
SelectServers = collections.abc.Callable[
    [str], collections.abc.Iterable[_server.BackendServer]
]
Listener = collections.abc.Callable[[str], None]


class _Service:
    """What is known of the path to one service."""

    __slots__ = (
        'is_checking',
        'is_cut_off',
        'next_check_at',
        'reached_checks',
    )

    def __init__(self) -> None:
        self.is_cut_off = False
        self.is_checking = False
        self.next_check_at = 0.0
        # Checks in a row that reached a server.
        self.reached_checks = 0


class Reachability:
    """Finds out which services this process cannot reach.

    Parameters
    ----------
    select_servers : callable
        Returns the servers of a service.
    rng : random.Random
        Chooses the servers that a check connects to.
    connect : callable
        Takes the address of a server and a timeout in seconds; returns
        whether the server accepts a connection.
    clock : callable
        Returns monotonic time in seconds.
    supervisor : Supervisor, optional
        Keeps the unexpected error of a check from those of other services,
        and that of a connection from those to other servers.
    """

    __slots__ = (
        '_clock',
        '_connect',
        '_connections',
        '_contacts',
        '_exchanges',
        '_listeners',
        '_rng',
        '_select_servers',
        '_services',
        '_supervisor',
        '_suspected',
        '_wake',
    )

    def __init__(
        self,
        select_servers: SelectServers,
        rng: random.Random | None = None,
        connect: Connect | None = None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        supervisor: supervision.Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or supervision.Supervisor(
            telemetry.Metrics()
        )
        self._connections = supervision.IsolatedItems(
            self._supervisor, 'connection of a check'
        )
        self._select_servers = select_servers
        self._rng = rng or random.Random()
        self._connect = connect or can_connect
        self._clock = clock
        self._services: dict[str, _Service] = {}
        # When a server of the service last sent something.
        self._contacts: dict[str, float] = {}
        self._exchanges: dict[_exchange.Exchange, None] = {}
        self._listeners: list[Listener] = []
        self._suspected: set[str] = set()
        self._wake = anyio.Event()

    def listen(self, listener: Listener) -> None:
        """Call `listener` with each service that is found to be cut off."""
        self._listeners.append(listener)

    def is_cut_off(self, service: str) -> bool:
        """Return whether no server of the service accepted a connection."""
        state = self._services.get(service)
        return state is not None and state.is_cut_off

    def list_cut_off(self) -> list[str]:
        """Return the services that this process cannot reach."""
        return sorted(s for s in self._services if self.is_cut_off(s))

    @contextlib.contextmanager
    def track(
        self, server: _server.BackendServer
    ) -> collections.abc.Iterator[_exchange.Exchange]:
        """Watch over a request that is sent directly within the context."""
        exchange = _exchange.Exchange(
            server.report.service, self._contacts, self._clock
        )
        self._exchanges[exchange] = None
        self._wake.set()
        try:
            yield exchange
        finally:
            del self._exchanges[exchange]

    def suspect(self, service: str) -> None:
        """Have the service checked, as a connection to a server failed."""
        self._suspected.add(service)
        self._wake.set()

    async def confirm(self, service: str) -> bool:
        """Return whether the service is cut off, after a failed connection.

        Waits for a check, unless one has just reached a server.
        """
        state = self._services.setdefault(service, _Service())
        if not state.is_cut_off and self._is_check_due(state):
            await self._check(service, state)
        while state.is_checking:
            await anyio.sleep(TICK_SECONDS)
        return state.is_cut_off

    async def run(self) -> None:
        """Check services that are silent or cut off, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if not (
                    self._exchanges or self._suspected or self.list_cut_off()
                ):
                    self._wake = anyio.Event()
                    await self._wake.wait()
                for service in self._select_suspects():
                    state = self._services.setdefault(service, _Service())
                    if self._is_check_due(state):
                        tasks.start_soon(self._check_isolated, service, state)
                await anyio.sleep(TICK_SECONDS)

    def _is_check_due(self, state: _Service) -> bool:
        return not state.is_checking and self._clock() >= state.next_check_at

    def _select_suspects(self) -> set[str]:
        """Return the services from which an awaited response is late."""
        now = self._clock()
        suspects = self._suspected | set(self.list_cut_off())
        self._suspected = set()
        for exchange in self._exchanges:
            heard_at = self._contacts.get(exchange.service, exchange.began)
            silent_seconds = now - max(heard_at, exchange.began)
            limit = (
                SILENT_SECONDS if exchange.is_sent else SLOW_CONNECT_SECONDS
            )
            if silent_seconds >= limit:
                suspects.add(exchange.service)
        return suspects

    async def _check_isolated(self, service: str, state: _Service) -> None:
        # For a check that fails.
        self._schedule(state, CHECK_PAUSE_SECONDS)
        await self._supervisor.run_isolated(
            'check of a service',
            lambda: self._check(service, state),
            service=service,
        )

    async def _check(self, service: str, state: _Service) -> None:
        began = self._clock()
        servers = [
            server
            for server in self._select_servers(service)
            if server.accepts_requests()
        ]
        if not servers:
            # Nobody can tell, and there is nothing to reach.
            self._schedule(state, CHECK_PAUSE_SECONDS)
            self._set_cut_off(service, state, False)
            return
        self._rng.shuffle(servers)
        state.is_checking = True
        try:
            reached = await self._connect_any(
                servers[:1], FIRST_CONNECT_TIMEOUT_SECONDS
            ) or await self._connect_any(
                servers[:MAX_CHECKED_SERVERS], CONNECT_TIMEOUT_SECONDS
            )
        finally:
            state.is_checking = False
        seconds = self._clock() - began
        if reached:
            self._record_reached(service, state)
        elif reached is None:
            self._schedule(state, CHECK_PAUSE_SECONDS)
        elif seconds > MAX_CHECK_SECONDS:
            self._schedule(state, 0.0)
        else:
            self._record_unreached(service, state, servers, seconds)

    async def _connect_any(
        self, servers: list[_server.BackendServer], timeout_seconds: float
    ) -> bool | None:
        """Return whether one of the servers accepts a connection.

        One that fails unexpectedly shows nothing; None if all of them do.
        """
        reached: bool | None = None
        async with anyio.create_task_group() as tasks:

            async def connect(address: str) -> None:
                nonlocal reached
                if await self._connect(address, timeout_seconds):
                    reached = True
                    tasks.cancel_scope.cancel()
                else:
                    reached = reached or False

            for server in servers:
                tasks.start_soon(
                    functools.partial(
                        self._connections.run,
                        server.address,
                        functools.partial(connect, server.address),
                        server=server.name,
                    )
                )
        return reached

    def _record_reached(self, service: str, state: _Service) -> None:
        self._contacts[service] = self._clock()
        state.reached_checks += 1
        if not state.is_cut_off:
            self._schedule(state, CHECK_PAUSE_SECONDS)
        elif state.reached_checks < CHECKS_TO_RETURN:
            self._schedule(state, self._draw_interval())
        else:
            self._schedule(state, CHECK_PAUSE_SECONDS)
            self._set_cut_off(service, state, False)
            LOG.info(
                'servers of the service are reachable again',
                extra={'service': service},
            )

    def _record_unreached(
        self,
        service: str,
        state: _Service,
        servers: list[_server.BackendServer],
        seconds: float,
    ) -> None:
        state.reached_checks = 0
        self._schedule(state, self._draw_interval())
        if state.is_cut_off:
            return
        LOG.warning(
            'no server of the service is reachable from this VM',
            extra={
                'service': service,
                'servers': len(servers),
                'seconds': round(seconds, 3),
            },
        )
        self._set_cut_off(service, state, True)

    def _set_cut_off(
        self, service: str, state: _Service, is_cut_off: bool
    ) -> None:
        if state.is_cut_off == is_cut_off:
            return
        state.is_cut_off = is_cut_off
        self._wake.set()
        # The failures of these servers were failures of the path to them.
        for server in self._select_servers(service):
            server.clear_failures()
        if not is_cut_off:
            return
        for listener in self._listeners:
            listener(service)
        for exchange in list(self._exchanges):
            if exchange.service == service:
                exchange.abandon()

    def _schedule(self, state: _Service, seconds: float) -> None:
        state.next_check_at = self._clock() + seconds

    def _draw_interval(self) -> float:
        return RECHECK_SECONDS * self._rng.uniform(
            1.0 - RECHECK_JITTER, 1.0 + RECHECK_JITTER
        )

    def summarize(self) -> dict[str, object]:
        """Return the services that are cut off, for the state dump."""
        return {
            'cut_off': self.list_cut_off(),
            'exchanges': len(self._exchanges),
        }


async def can_connect(address: str, timeout_seconds: float) -> bool:
    """Return whether a server accepts a connection within the timeout."""
    with anyio.move_on_after(timeout_seconds):
        try:
            host, port = web.parse_address(address)
            stream = await anyio.connect_tcp(host, port)
        except (OSError, ValueError):
            return False
        await stream.aclose()
        return True
    return False
