"""Lets stand-ins of servers announce that they are leaving."""

import starlette.datastructures
import starlette.middleware
import starlette.types

from swiftjunction.standins import _faults

LEAVING_HEADER = (b'server-leaving', b'1')
# Names the run of the stand-in, so that a test can tell which one responded.
RUN_HEADER = b'x-standin-run'


class ServerRuns:
    """Counts the starts of a stand-in, and records what reaches each run.

    Attributes
    ----------
    count : int
        Number of starts; a test increments it when it restarts the server.
    arrivals : dict of str to list of str
        For each request id, the runs that received the request.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self.count = 1
        self.arrivals: dict[str, list[str]] = {}

    @property
    def current(self) -> str:
        """Return the name of the current run."""
        return f'{self._name}.{self.count}'

    def record(self, request_id: str) -> None:
        """Record a request that reaches the current run."""
        self.arrivals.setdefault(request_id, []).append(self.current)


class LeavingMiddleware:
    """Adds the leaving header to all responses while a fault is set.

    Parameters
    ----------
    app : ASGIApp
        The application that responds.
    faults : FaultSwitches
        Its fault ``leaving`` makes the server leave.
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
            is_start = message['type'] == 'http.response.start'
            if is_start and self._faults.get('leaving'):
                run = self._server_runs.current.encode()
                message = {
                    **message,
                    'headers': [
                        *message['headers'],
                        LEAVING_HEADER,
                        (RUN_HEADER, run),
                    ],
                }
            await send(message)

        await self._app(scope, receive, send_marked)


def make_middleware(
    faults: _faults.FaultSwitches, server_runs: ServerRuns
) -> list[starlette.middleware.Middleware]:
    """Return the middleware that lets a stand-in announce its leave."""
    return [
        starlette.middleware.Middleware(
            LeavingMiddleware, faults=faults, server_runs=server_runs
        )
    ]
