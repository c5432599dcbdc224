"""What the clients of callers and of trainers share."""

import types
import typing

from swiftjunction import web


class BaseClient:
    """BaseClient to daemons, closed at the end of a ``with`` block.

    Parameters
    ----------
    seeds : list of str
        ``ip:port`` of some daemons to begin with.
    authority : str
        A file of the certificates that daemons are checked against; they are
        called over TLS where it is given.
    """

    __slots__ = ('_peers', '_seeds')

    def __init__(self, seeds: list[str], authority: str) -> None:
        if not seeds:
            raise ValueError('seeds is empty; give at least one "ip:port"')
        self._seeds = list(seeds)
        self._peers = web.PeerClients(web.create_client_context(authority))

    async def __aenter__(self) -> typing.Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        await self._peers.close()
