"""Interface of the client that calls engines, and its messages."""

import abc
import collections.abc

import msgspec

from swiftjunction import backends
from swiftjunction.batches import _batch


class EngineReport(msgspec.Struct, frozen=True):
    """The state that an engine reports, up to about 100 ms old.

    Attributes
    ----------
    versions : dict of str to int
        The weight version of each model.
    busy : bool
        Whether it is executing an order.
    orders : int
        Number of orders that it has accepted since its start.
    born_ms : int
        When it started, in Unix milliseconds; 0 if it does not say.
    """

    versions: dict[str, int]
    busy: bool
    orders: int
    born_ms: int = 0


class VersionOrder(msgspec.Struct, frozen=True):
    """An order to an engine to load a weight version.

    Attributes
    ----------
    holder : str
        The holder of the lease under which the order is sent.
    fencing_token : int
        The fencing token of that lease.
    expected_orders : int
        The engine refuses the order unless it has accepted exactly this
        number of orders.
    keeps_running : bool
        Whether running generations continue with the new version; if not,
        the engine lets them end before it loads.
    """

    model: str
    version: int
    holder: str
    fencing_token: int
    expected_orders: int
    keeps_running: bool = True


class SampleEngineClient(abc.ABC):
    """Interface of clients of engines that generate samples."""

    __slots__ = ()

    @abc.abstractmethod
    def generate(
        self,
        server: backends.BackendServer,
        host: str,
        sample: _batch.Sample,
        after_number: int,
        check: collections.abc.Callable[[], None],
        organisation: str = '',
    ) -> collections.abc.AsyncGenerator[backends.StreamEvent, None]:
        """Generate a sample and yield its events up to the last one.

        Parameters
        ----------
        after_number : int
            Number of the last event already received, after which to resume;
            -1 to start at the beginning.
        check : callable
            Called just before the head is sent, and just before the body is.
            If it raises, the engine does not get the whole request.
        organisation : str
            The organisation of the batch, which the engine is told; empty if
            it is told none.

        Raises
        ------
        BackendUnreachable, BackendRefused
            If the sample did not run.
        SampleRefused
            If the engine reports that it can never run this sample.
        SampleFailed
            If the sample ran and failed.
        AnswerBroken
            If the stream ended before its last event.
        RequestUnsendable
            If no engine can get this sample.
        """

    @abc.abstractmethod
    async def read_report(
        self, server: backends.BackendServer
    ) -> EngineReport:
        """Request the state of an engine."""

    @abc.abstractmethod
    async def send_order(
        self,
        server: backends.BackendServer,
        order: VersionOrder,
        check: collections.abc.Callable[[], None],
    ) -> bool:
        """Send an order; return whether the engine has that version already.

        Parameters
        ----------
        check : callable
            Called just before the head is sent, and just before the body is.
            If it raises, the engine does not get the whole order.

        Raises
        ------
        LeaseLost
            If the engine has seen a higher fencing token, because the lease
            was acquired again.
        BackendRefused
            If another order is in progress, or if the number of accepted
            orders is not the expected one.
        BackendError
            If it is unknown whether the engine accepted the order.
        """
