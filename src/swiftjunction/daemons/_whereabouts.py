"""Asks daemons which configuration they have in force."""

import anyio
import httpx
import msgspec

from swiftjunction import configuration
from swiftjunction import membership
from swiftjunction import web

KINDS = ('conductor', 'entry', 'rollout')
TIMEOUT_SECONDS = 2.0
CONCURRENT_CALLS = 32


class Place(msgspec.Struct, frozen=True):
    """What one daemon has in force; `problem` where it did not say."""

    process: str
    data_center: str
    revision: int
    problem: str = ''


class Whereabouts:
    """Asks each live daemon when an operator wants to know.

    Were it spread instead, each change would make as many records as there
    are daemons.
    """

    __slots__ = ('_peers', '_processes')

    def __init__(
        self, processes: membership.ProcessList, peers: web.PeerClients
    ) -> None:
        self._processes = processes
        self._peers = peers

    async def ask(self, team: str) -> list[Place]:
        """Return the revision of a team's settings in force on each daemon."""
        places: list[Place] = []
        limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

        async def ask_one(process: membership.Process) -> None:
            async with limiter:
                places.append(await self._ask_one(process, team))

        async with anyio.create_task_group() as tasks:
            for kind in KINDS:
                for process in self._processes.select(kind):
                    tasks.start_soon(ask_one, process)
        return sorted(places, key=lambda place: place.process)

    async def _ask_one(self, process: membership.Process, team: str) -> Place:
        try:
            response = await self._peers.get(process.address).get(
                '/in-force', timeout=TIMEOUT_SECONDS
            )
            found = msgspec.json.decode(
                response.content, type=dict[str, configuration.ActiveRevision]
            )
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            return Place(
                process.name, process.data_center, 0, str(error) or 'silent'
            )
        held = found.get(team)
        revision = held.revision if held is not None else 0
        return Place(process.name, process.data_center, revision)
