"""Serves a stand-in over HTTP and simulates its crashes."""

import typing

import anyio

from swiftjunction.standins import _faults
from swiftjunction.standins import _ports
from swiftjunction import web

CRASH_CHECK_INTERVAL_SECONDS = 0.02


class Standin(typing.Protocol):
    """Interface of all stand-ins.

    Attributes
    ----------
    faults : FaultSwitches
        Supported faults; must include ``crashed``.
    """

    faults: _faults.FaultSwitches

    def build_app(self) -> typing.Any:
        """Return the HTTP application."""


async def serve(listener: web.HttpListener, standin: Standin) -> None:
    """Serve `standin` at the address of `listener` until cancelled.

    The fault ``crashed`` closes the listener for as many seconds as its value
    says. Connections are then refused, as if the process had ended.
    """
    ip, _, port = listener.address.rpartition(':')
    while True:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, standin.build_app())
            while not standin.faults.get('crashed'):
                await anyio.sleep(CRASH_CHECK_INTERVAL_SECONDS)
            tasks.cancel_scope.cancel()
        with _ports.hold_port(ip, int(port)):
            await anyio.sleep(standin.faults.get('crashed'))
        standin.faults.set('crashed', 0)
        listener = web.open_listener(ip, int(port))
