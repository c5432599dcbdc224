"""Collects which revision of a team's settings each daemon applies."""

import anyio
import httpx
import msgspec

from swiftjunction import configuration
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import web

KINDS = ('conductor', 'entry', 'rollout')
TIMEOUT_SECONDS = 2.0
CONCURRENT_CALLS = 32


class DaemonRevision(msgspec.Struct, frozen=True):
    """The active revision of one daemon, or why its request failed.

    Attributes
    ----------
    problem : str
        The error of the request, ``silent`` if it has no text; empty if the
        request succeeded.
    """

    process: str
    data_center: str
    revision: int
    problem: str = ''


class RevisionCollector:
    """Requests the active revisions from each live daemon on demand.

    Replicating the revisions as records instead would write one record per
    daemon for each change of the settings.
    """

    __slots__ = ('_peers', '_processes')

    def __init__(
        self, processes: membership.ProcessList, peers: web.PeerClients
    ) -> None:
        self._processes = processes
        self._peers = peers

    async def collect(self, team: str) -> list[DaemonRevision]:
        """Return the active revision of a team's settings on each daemon."""
        collected: list[DaemonRevision] = []
        limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

        async def fetch_limited(process: membership.Process) -> None:
            async with limiter:
                collected.append(await self._fetch(process, team))

        async with anyio.create_task_group() as tasks:
            for kind in KINDS:
                for process in self._processes.select(kind):
                    tasks.start_soon(fetch_limited, process)
        return sorted(collected, key=lambda item: item.process)

    async def _fetch(
        self, process: membership.Process, team: str
    ) -> DaemonRevision:
        try:
            response = await self._peers.get(process.address).get(
                '/in-force', timeout=TIMEOUT_SECONDS
            )
            found = decoding.decode_json(
                response.content, dict[str, configuration.ActiveRevision]
            )
        except (httpx.HTTPError, errors.ContentBroken) as error:
            return DaemonRevision(
                process.name,
                process.data_center,
                0,
                str(error) or 'silent',
            )
        active = found.get(team)
        revision = active.revision if active is not None else 0
        return DaemonRevision(process.name, process.data_center, revision)
