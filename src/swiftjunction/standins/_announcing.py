"""Lets stand-ins of servers announce their state in all responses."""

import time
import typing

import starlette.datastructures
import starlette.middleware
import starlette.types

from swiftjunction.standins import _faults

LEAVING_HEADER = (b'server-leaving', b'1')
LIMIT_HEADER = b'server-limit'
# Names the run of the stand-in, so that a test can tell which one responded.
RUN_HEADER = b'x-standin-run'


class Arrival(typing.NamedTuple):
    """A request that reached a stand-in.

    Attributes
    ----------
    run : str
        The run that received it.
    at : float
        Monotonic time in seconds.
    """

    request_id: str
    run: str
    at: float


class ServerRuns:
    """Counts the starts of a stand-in, and records what reaches each run.

    Attributes
    ----------
    count : int
        Number of starts; a test increments it when it restarts the server.
    arrivals : list of Arrival
        All requests with an id, in their order.
    limited_at : float or None
        When the server first named its limit.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self.count = 1
        self.arrivals: list[Arrival] = []
        self.limited_at: float | None = None

    @property
    def current(self) -> str:
        """Return the name of the current run."""
        return f'{self._name}.{self.count}'

    def record(self, request_id: str) -> None:
        """Record a request that reaches the current run."""
        if request_id:
            self.arrivals.append(
                Arrival(request_id, self.current, time.monotonic())
            )


class StateMiddleware:
    """Adds headers that announce the server's state to all responses.

    Parameters
    ----------
    app : ASGIApp
        The application that responds.
    faults : FaultSwitches
        Its fault ``leaving`` makes the server leave, and ``limit`` is the
        limit that the server names, in requests a second.
    server_runs : ServerRuns
        Records the requests.
    """

    def __init__(
        self,
        app: starlette.types.ASGIApp,
        faults: _faults.FaultSwitches,
        server_runs: ServerRuns,
    ) -> None:
        self._app = app
        self._faults = faults
        self._server_runs = server_runs

    async def __call__(
        self,
        scope: starlette.types.Scope,
        receive: starlette.types.Receive,
        send: starlette.types.Send,
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        headers = starlette.datastructures.Headers(scope=scope)
        self._server_runs.record(headers.get('swiftjunction-attempt-id', ''))

        async def send_marked(message: starlette.types.Message) -> None:
            if message['type'] == 'http.response.start':
                headers = [*message['headers'], *self._list_headers()]
                message = {**message, 'headers': headers}
            await send(message)

        await self._app(scope, receive, send_marked)

    def _list_headers(self) -> list[tuple[bytes, bytes]]:
        headers = [(RUN_HEADER, self._server_runs.current.encode())]
        if self._faults.get('leaving'):
            headers.append(LEAVING_HEADER)
        limit = self._faults.get('limit')
        if limit:
            headers.append((LIMIT_HEADER, f'{limit:g}'.encode()))
            if self._server_runs.limited_at is None:
                self._server_runs.limited_at = time.monotonic()
        return headers


def make_middleware(
    faults: _faults.FaultSwitches, server_runs: ServerRuns
) -> list[starlette.middleware.Middleware]:
    """Return the middleware that lets a stand-in announce its state."""
    return [
        starlette.middleware.Middleware(
            StateMiddleware, faults=faults, server_runs=server_runs
        )
    ]
