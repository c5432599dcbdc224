"""Stores of finished samples, from which a new owner restores a step."""

import abc
import collections.abc
import logging

import anyio
import msgspec

from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import spool
from swiftjunction.steps import _step

LOG = logging.getLogger(__name__)

REPLICA_COUNT = 2
# After a failed request, a spool is tried after all others for this time.
SPOOL_DEPRIORITIZED_SECONDS = 10.0


class PayloadStore(abc.ABC):
    """Stores finished samples so that a new owner of a step can read them."""

    @abc.abstractmethod
    async def save(self, step_id: str, samples: list[_step.Sample]) -> None:
        """Store `samples` where a new owner can read them, if possible."""

    @abc.abstractmethod
    async def fetch(self, step_id: str) -> dict[int, _step.Sample]:
        """Return the stored samples of a step, by index."""

    @abc.abstractmethod
    async def drop(self, step_id: str) -> None:
        """Delete the samples of a step that has ended."""


class NullPayloadStore(PayloadStore):
    """Stores nothing: a new owner generates all samples again."""

    async def save(self, step_id: str, samples: list[_step.Sample]) -> None:
        return

    async def fetch(self, step_id: str) -> dict[int, _step.Sample]:
        return {}

    async def drop(self, step_id: str) -> None:
        return


class SpoolPayloadStore(PayloadStore):
    """Replicates samples to the spools that rank highest for the step.

    Parameters
    ----------
    processes : ProcessList
        Lists the available spools.
    """

    __slots__ = ('_clients', '_deprioritized_until', '_processes')

    def __init__(self, processes: membership.ProcessList) -> None:
        self._processes = processes
        self._clients: dict[str, spool.SpoolClient] = {}
        self._deprioritized_until: dict[str, float] = {}

    async def save(self, step_id: str, samples: list[_step.Sample]) -> None:
        payloads = [
            spool.Payload(sample.index, msgspec.msgpack.encode(sample))
            for sample in samples
        ]
        clients = iter(self._rank_clients(step_id))
        async with anyio.create_task_group() as tasks:
            for _ in range(REPLICA_COUNT):
                tasks.start_soon(
                    self._store_replica, clients, step_id, payloads
                )

    async def fetch(self, step_id: str) -> dict[int, _step.Sample]:
        payloads: list[spool.Payload] = []
        async with anyio.create_task_group() as tasks:
            for client in self._rank_clients(step_id):
                tasks.start_soon(self._fetch_from, client, step_id, payloads)
        return {
            payload.index: decoding.decode_msgpack(payload.data, _step.Sample)
            for payload in payloads
        }

    async def drop(self, step_id: str) -> None:
        async with anyio.create_task_group() as tasks:
            for client in self._rank_clients(step_id):
                tasks.start_soon(self._drop_from, client, step_id)

    def _rank_clients(self, step_id: str) -> list[spool.SpoolClient]:
        addresses = [p.address for p in self._processes.select('spool')]
        ranked = membership.rank_owners(step_id, addresses)
        # Spools that failed recently are tried last.
        now = anyio.current_time()
        ranked.sort(key=lambda a: self._deprioritized_until.get(a, 0.0) > now)
        return [self._get_client(address) for address in ranked]

    def _get_client(self, address: str) -> spool.SpoolClient:
        if address not in self._clients:
            self._clients[address] = spool.SpoolClient(address)
        return self._clients[address]

    def _deprioritize(self, client: spool.SpoolClient) -> None:
        until = anyio.current_time() + SPOOL_DEPRIORITIZED_SECONDS
        self._deprioritized_until[client.address] = until

    async def _store_replica(
        self,
        clients: collections.abc.Iterator[spool.SpoolClient],
        step_id: str,
        payloads: list[spool.Payload],
    ) -> None:
        """Store one replica on the first of `clients` that accepts it."""
        for client in clients:
            try:
                await client.put(step_id, payloads)
                return
            except errors.LinkError as error:
                LOG.warning('could not store samples on a spool: %s', error)
                self._deprioritize(client)
        # If the owner crashes, a sample without a replica is generated again
        # under the same sequence number.
        LOG.warning(
            'too few spools accepted the samples of step %s; '
            'replicas are missing',
            step_id,
        )

    async def _fetch_from(
        self,
        client: spool.SpoolClient,
        step_id: str,
        payloads: list[spool.Payload],
    ) -> None:
        try:
            payloads.extend(await client.fetch(step_id))
        except errors.LinkError as error:
            LOG.warning('could not read samples from a spool: %s', error)
            self._deprioritize(client)

    async def _drop_from(
        self, client: spool.SpoolClient, step_id: str
    ) -> None:
        try:
            await client.drop(step_id)
        except errors.LinkError as error:
            LOG.info('could not delete samples from a spool: %s', error)
