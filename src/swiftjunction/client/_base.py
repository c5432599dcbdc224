"""Base class of the clients of callers and of trainers."""

import types
import typing

from swiftjunction import web


class BaseClient:
    """Holds connections to daemons; closes them on leaving ``async with``.

    Parameters
    ----------
    seeds : list of str
        ``ip:port`` of the daemons that are called first.
    authority : str
        File of CA certificates that verify the daemons; if empty, they are
        called over plain HTTP.
    """

    __slots__ = ('_clients', '_seeds')

    def __init__(self, seeds: list[str], authority: str) -> None:
        if not seeds:
            raise ValueError('seeds is empty; give at least one "ip:port"')
        self._seeds = list(seeds)
        self._clients = web.PeerClients(web.create_client_context(authority))

    async def __aenter__(self) -> typing.Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        await self._clients.close()
