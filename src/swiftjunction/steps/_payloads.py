"""Where finished samples are kept until the trainer acknowledges them."""

import abc
import collections.abc
import logging

import anyio
import msgspec

from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import spool
from swiftjunction.steps import _step

LOG = logging.getLogger(__name__)

COPIES = 2
AVOID_SECONDS = 10.0


class PayloadStore(abc.ABC):
    """Keeps finished samples so that a new owner of a step finds them."""

    @abc.abstractmethod
    async def save(self, step_id: str, samples: list[_step.Sample]) -> None:
        """Keep `samples`; return when they survive the owner's death."""

    @abc.abstractmethod
    async def fetch(self, step_id: str) -> dict[int, _step.Sample]:
        """Return what is kept of a step, by index."""

    @abc.abstractmethod
    async def drop(self, step_id: str) -> None:
        """Forget a step that has ended."""


class NullPayloadStore(PayloadStore):
    """Keeps nothing beyond the owner's memory."""

    async def save(self, step_id: str, samples: list[_step.Sample]) -> None:
        return

    async def fetch(self, step_id: str) -> dict[int, _step.Sample]:
        return {}

    async def drop(self, step_id: str) -> None:
        return


class SpoolPayloadStore(PayloadStore):
    """Keeps two copies on the spools that own the step.

    Parameters
    ----------
    processes : ProcessList
        Knows the spools.
    """

    __slots__ = ('_avoided_until', '_clients', '_processes')

    def __init__(self, processes: membership.ProcessList) -> None:
        self._processes = processes
        self._clients: dict[str, spool.SpoolClient] = {}
        self._avoided_until: dict[str, float] = {}

    async def save(self, step_id: str, samples: list[_step.Sample]) -> None:
        payloads = [
            spool.Payload(sample.index, msgspec.msgpack.encode(sample))
            for sample in samples
        ]
        clients = iter(self._choose(step_id))
        async with anyio.create_task_group() as tasks:
            for _ in range(COPIES):
                tasks.start_soon(self._put, clients, step_id, payloads)

    async def fetch(self, step_id: str) -> dict[int, _step.Sample]:
        found: list[spool.Payload] = []
        async with anyio.create_task_group() as tasks:
            for client in self._choose(step_id):
                tasks.start_soon(self._fetch, client, step_id, found)
        return {
            payload.index: msgspec.msgpack.decode(
                payload.data, type=_step.Sample
            )
            for payload in found
        }

    async def drop(self, step_id: str) -> None:
        async with anyio.create_task_group() as tasks:
            for client in self._choose(step_id):
                tasks.start_soon(self._drop, client, step_id)

    def _choose(self, step_id: str) -> list[spool.SpoolClient]:
        addresses = [p.address for p in self._processes.select('spool')]
        ranked = membership.rank_owners(step_id, addresses)
        # A spool that did not answer is asked last for a while.
        now = anyio.current_time()
        ranked.sort(key=lambda a: self._avoided_until.get(a, 0.0) > now)
        return [self._connect(address) for address in ranked]

    def _connect(self, address: str) -> spool.SpoolClient:
        if address not in self._clients:
            self._clients[address] = spool.SpoolClient(address)
        return self._clients[address]

    def _avoid(self, client: spool.SpoolClient) -> None:
        until = anyio.current_time() + AVOID_SECONDS
        self._avoided_until[client.address] = until

    async def _put(
        self,
        clients: collections.abc.Iterator[spool.SpoolClient],
        step_id: str,
        payloads: list[spool.Payload],
    ) -> None:
        """Make one copy, on the first of `clients` that takes it."""
        for client in clients:
            try:
                await client.put(step_id, payloads)
                return
            except errors.LinkError as error:
                LOG.warning('payloads not spooled: %s', error)
                self._avoid(client)
        # A sample without a copy is made again if its owner dies, under the
        # sequence number that it has.
        LOG.warning('step %s has too few spools', step_id)

    async def _fetch(
        self,
        client: spool.SpoolClient,
        step_id: str,
        found: list[spool.Payload],
    ) -> None:
        try:
            found.extend(await client.fetch(step_id))
        except errors.LinkError as error:
            LOG.warning('spool not read: %s', error)
            self._avoid(client)

    async def _drop(self, client: spool.SpoolClient, step_id: str) -> None:
        try:
            await client.drop(step_id)
        except errors.LinkError as error:
            LOG.info('spool not told of the end of a step: %s', error)
