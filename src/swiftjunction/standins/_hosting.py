"""Serves a stand-in, and takes its listener away while it has crashed."""

import typing

import anyio

from swiftjunction.standins import _faults
from swiftjunction import web

CHECK_SECONDS = 0.02


class Standin(typing.Protocol):
    """What every stand-in has."""

    faults: _faults.FaultSwitches

    def build_app(self) -> typing.Any:
        """Return the HTTP application."""


async def serve(listener: web.HttpListener, standin: Standin) -> None:
    """Serve `standin` at the listener's address until cancelled.

    While its fault ``crashed`` is on, connections to it are refused, as
    those to a process that ended; the fault's number is for how many seconds.
    """
    ip, _, port = listener.address.rpartition(':')
    while True:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, standin.build_app())
            while not standin.faults.get('crashed'):
                await anyio.sleep(CHECK_SECONDS)
            tasks.cancel_scope.cancel()
        await anyio.sleep(standin.faults.get('crashed'))
        standin.faults.set('crashed', 0)
        listener = web.open_listener(ip, int(port))
