"""Where finished samples are kept until the trainer acknowledges them."""

import abc
import logging

import anyio
import msgspec

from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import spool
from swiftjunction.steps import _step

LOG = logging.getLogger(__name__)

COPIES = 2


class Payloads(abc.ABC):
    """Keeps finished samples so that a new owner of a step finds them."""

    @abc.abstractmethod
    async def keep(self, step_id: str, samples: list[_step.Sample]) -> None:
        """Keep `samples`; return when they survive the owner's death."""

    @abc.abstractmethod
    async def fetch(self, step_id: str) -> dict[int, _step.Sample]:
        """Return what is kept of a step, by index."""

    @abc.abstractmethod
    async def drop(self, step_id: str) -> None:
        """Forget a step that has ended."""


class MemoryPayloads(Payloads):
    """Keeps nothing beyond the owner's memory."""

    async def keep(self, step_id: str, samples: list[_step.Sample]) -> None:
        return

    async def fetch(self, step_id: str) -> dict[int, _step.Sample]:
        return {}

    async def drop(self, step_id: str) -> None:
        return


class SpooledPayloads(Payloads):
    """Keeps two copies on the spools that own the step.

    Parameters
    ----------
    processes : ProcessList
        Knows the spools.
    """

    __slots__ = ('_clients', '_processes')

    def __init__(self, processes: membership.ProcessList) -> None:
        self._processes = processes
        self._clients: dict[str, spool.SpoolClient] = {}

    async def keep(self, step_id: str, samples: list[_step.Sample]) -> None:
        payloads = [
            spool.Payload(sample.index, msgspec.msgpack.encode(sample))
            for sample in samples
        ]
        async with anyio.create_task_group() as tasks:
            for client in self._choose(step_id)[:COPIES]:
                tasks.start_soon(self._put, client, step_id, payloads)

    async def fetch(self, step_id: str) -> dict[int, _step.Sample]:
        samples: dict[int, _step.Sample] = {}
        for client in self._choose(step_id):
            try:
                payloads = await client.fetch(step_id)
            except errors.LinkError as error:
                LOG.warning('spool not read: %s', error)
                continue
            for payload in payloads:
                samples[payload.index] = msgspec.msgpack.decode(
                    payload.data, type=_step.Sample
                )
        return samples

    async def drop(self, step_id: str) -> None:
        for client in self._choose(step_id):
            try:
                await client.drop(step_id)
            except errors.LinkError as error:
                LOG.info('spool not told of the end of a step: %s', error)

    def _choose(self, step_id: str) -> list[spool.SpoolClient]:
        addresses = [p.address for p in self._processes.select('spool')]
        ranked = membership.rank_owners(step_id, addresses)
        return [self._connect(address) for address in ranked]

    def _connect(self, address: str) -> spool.SpoolClient:
        if address not in self._clients:
            self._clients[address] = spool.SpoolClient(address)
        return self._clients[address]

    async def _put(
        self,
        client: spool.SpoolClient,
        step_id: str,
        payloads: list[spool.Payload],
    ) -> None:
        try:
            await client.put(step_id, payloads)
        except errors.LinkError as error:
            # A sample without a copy is made again if its owner dies, under
            # the sequence number that it has.
            LOG.warning('payloads not spooled: %s', error)
