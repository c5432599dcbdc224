"""What running a batch needs of a model engine."""

import abc
import collections.abc

import msgspec

from swiftjunction import backends
from swiftjunction.batches import _batch


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine says of itself, as of some hundred milliseconds ago.

    Attributes
    ----------
    versions : dict of str to int
        The weight version of each model.
    busy : bool
        Whether it is carrying out an order.
    orders : int
        How many orders it has accepted since its start.
    """

    versions: dict[str, int]
    busy: bool
    orders: int


class VersionOrder(msgspec.Struct, frozen=True):
    """Tells an engine to change to a weight version.

    Attributes
    ----------
    expected_orders : int
        The order is void unless the engine has accepted just as many.
    keeps_running : bool
        Whether generations go on under the new version, rather than having
        to end before it is loaded.
    """

    model: str
    version: int
    holder: str
    fencing_token: int
    expected_orders: int
    keeps_running: bool = True


class SampleEngineClient(abc.ABC):
    """Calls engines, in the protocol that they speak."""

    __slots__ = ()

    @abc.abstractmethod
    def generate(
        self,
        server: backends.BackendServer,
        host: str,
        item: _batch.Item,
        after: int,
    ) -> collections.abc.AsyncGenerator[backends.StreamEvent, None]:
        """Run a sample, or go on with it behind event `after`, to its end.

        Raises
        ------
        BackendUnreachable, BackendRefused
            If it did not run.
        SampleRefused
            If the engine says that this sample can never be run.
        SampleFailed
            If it ran and failed.
        AnswerBroken
            If the stream ended before its last event.
        """

    @abc.abstractmethod
    async def read_report(
        self, server: backends.BackendServer
    ) -> EngineReport:
        """Ask an engine for its state."""

    @abc.abstractmethod
    async def send_order(
        self, server: backends.BackendServer, order: VersionOrder
    ) -> bool:
        """Send an order; tell whether it holds already.

        Raises
        ------
        LeaseLost
            If the engine has seen a higher fencing token.
        BackendRefused
            If another order is in progress, or others came before.
        BackendError
            If it is not known whether the engine took it.
        """
