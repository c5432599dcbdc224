"""Queue of requests that wait for capacity on a backend server.

A wait is bounded by the deadline of the request and by a limit for its class.
That limit is lower once the queue has been non-empty for longer than
``MAX_BURST_SECONDS``, as a standing queue adds delay but no throughput. A
request whose expected wait exceeds its bound is refused on arrival, with an
estimate of when to retry. So is one of an organisation that has used up its
fair share, see ``_shares``.
"""

import bisect
import collections.abc
import random
import typing

import anyio

from swiftjunction import errors
from swiftjunction.routing import _drain
from swiftjunction.routing import _policy
from swiftjunction.routing import _shares

MAX_RETRY_AFTER_SECONDS = 30.0
MIN_RETRY_AFTER_SECONDS = 0.2
# A queue that has been non-empty for at most this long counts as a burst, not
# as an overload.
MAX_BURST_SECONDS = 1.0
# The queue is not notified of every change of capacity, for example of the end
# of an ejection.
CAPACITY_CHECK_INTERVAL_SECONDS = 0.25
# Used while the rate at which queued requests start is not known.
ASSUMED_STARTS_PER_SECOND = 100.0


class WaitLimits(typing.NamedTuple):
    """Priority and maximum waits of a class of requests.

    Attributes
    ----------
    rank : int
        Requests of a lower rank are first in the queue. In contrast, a
        higher `EngineCall.priority` goes first.
    burst_seconds : float
        The maximum wait while the queue counts as a burst.
    overload_seconds : float
        The maximum wait while the queue counts as an overload.
    """

    rank: int
    burst_seconds: float
    overload_seconds: float


WAIT_LIMITS = {
    'live': WaitLimits(0, 1.0, 0.2),
    'internal': WaitLimits(1, 0.5, 0.1),
    # No caller waits for a single sample; the deadline of the attempt normally
    # comes earlier than this.
    'samples': WaitLimits(2, 600.0, 600.0),
}

ServerChooser = collections.abc.Callable[[], _policy.BackendServer]


class _Waiter:
    __slots__ = ('event', 'holds_up_others', 'sort_key')

    def __init__(
        self, sort_key: tuple[int, int], holds_up_others: bool
    ) -> None:
        self.sort_key = sort_key
        self.holds_up_others = holds_up_others
        self.event = anyio.Event()


class WaitQueue:
    """Queue of the requests that wait for a server of one service.

    Parameters
    ----------
    rng : random.Random
        Chooses among the requests of organisations above their share.

    Attributes
    ----------
    shares : FlowShares
        The fair shares of organisations.
    """

    __slots__ = (
        '_nonempty_since',
        '_sequence',
        '_start_rate',
        '_waiters',
        'shares',
    )

    def __init__(self, rng: random.Random) -> None:
        self.shares = _shares.FlowShares(anyio.current_time, rng)
        self._waiters: list[_Waiter] = []
        self._start_rate = _drain.StartRate()
        self._nonempty_since = anyio.current_time()
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._waiters)

    async def acquire(
        self, choose: ServerChooser, request: _policy.RoutingRequest
    ) -> _policy.BackendServer:
        """Return the result of `choose` once a server has capacity.

        Raises
        ------
        ServersBusy
            If no server had capacity within the maximum wait; immediately if
            the expected wait is longer than that, or if the organisation of
            the request has used up its share.
        """
        if request.organisation:
            self.shares.record_asked(request.organisation)
        limits = WAIT_LIMITS[request.request_class]
        if not self._must_queue(limits):
            try:
                return self._choose_and_record_start(choose, request)
            except errors.ServersBusy:
                pass
        self._check_share(request)
        now = anyio.current_time()
        max_wait_seconds = self._bound_wait(limits, request.deadline - now)
        if self._estimate_wait(limits) > max_wait_seconds:
            raise self._refuse(request, 'would exceed its maximum wait')
        waiter = self._enqueue(limits, request.holds_up_others())
        try:
            return await self._wait(
                waiter, choose, request, now + max_wait_seconds
            )
        finally:
            self._remove(waiter)

    def _check_share(self, request: _policy.RoutingRequest) -> None:
        flow = request.organisation
        if not flow or self.shares.may_wait(flow):
            return
        raise errors.ServersBusy(
            f'all eligible servers of {request.service} are at capacity and '
            f'organisation {flow} has used up its share',
            step='route',
            retry_after_seconds=max(
                self.shares.estimate_retry_after(flow),
                self.estimate_retry_after(),
            ),
        )

    def wake(self) -> None:
        """Let the first request in the queue try again."""
        if self._waiters:
            self._waiters[0].event.set()

    def estimate_retry_after(self) -> float:
        """Return when a caller should retry, in seconds from now.

        This is the expected time until the queue is empty and one more
        request has started, within bounds.
        """
        seconds = (len(self._waiters) + 1) / self._estimate_rate()
        return min(
            max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
        )

    async def _wait(
        self,
        waiter: _Waiter,
        choose: ServerChooser,
        request: _policy.RoutingRequest,
        give_up_at: float,
    ) -> _policy.BackendServer:
        while (remaining_seconds := give_up_at - anyio.current_time()) > 0:
            with anyio.move_on_after(
                min(remaining_seconds, CAPACITY_CHECK_INTERVAL_SECONDS)
            ):
                await waiter.event.wait()
            waiter.event = anyio.Event()
            try:
                return self._choose_and_record_start(choose, request)
            except errors.ServersBusy:
                if request.is_restricted():
                    self._wake_next(waiter)
        raise self._refuse(request, 'has exceeded its maximum wait')

    def _choose_and_record_start(
        self, choose: ServerChooser, request: _policy.RoutingRequest
    ) -> _policy.BackendServer:
        chosen = choose()
        if request.organisation:
            self.shares.record_started(request.organisation)
        if self._waiters:
            self._start_rate.record(anyio.current_time())
        return chosen

    def _enqueue(self, limits: WaitLimits, holds_up_others: bool) -> _Waiter:
        if not self._waiters:
            self._nonempty_since = anyio.current_time()
            self._start_rate.reset(self._nonempty_since)
        self._sequence += 1
        waiter = _Waiter((limits.rank, self._sequence), holds_up_others)
        bisect.insort(self._waiters, waiter, key=lambda w: w.sort_key)
        return waiter

    def _remove(self, waiter: _Waiter) -> None:
        self._waiters.remove(waiter)
        # There may also be capacity for the next request.
        self.wake()

    def _wake_next(self, waiter: _Waiter) -> None:
        # The free capacity may be on a server that this request excludes but
        # the next one may use.
        index = self._waiters.index(waiter) + 1
        if index < len(self._waiters):
            self._waiters[index].event.set()

    def _count_ahead(self, limits: WaitLimits) -> int:
        return bisect.bisect(
            self._waiters, (limits.rank + 1, 0), key=lambda w: w.sort_key
        )

    def _must_queue(self, limits: WaitLimits) -> bool:
        ahead = self._waiters[: self._count_ahead(limits)]
        return any(waiter.holds_up_others for waiter in ahead)

    def _bound_wait(
        self, limits: WaitLimits, remaining_seconds: float
    ) -> float:
        overloaded = bool(self._waiters) and (
            anyio.current_time() - self._nonempty_since > MAX_BURST_SECONDS
        )
        limit = limits.overload_seconds if overloaded else limits.burst_seconds
        return min(limit, remaining_seconds)

    def _estimate_wait(self, limits: WaitLimits) -> float:
        return (self._count_ahead(limits) + 1) / self._estimate_rate()

    def _estimate_rate(self) -> float:
        if not self._waiters:
            # The measured rate, if any, is that of an earlier queue.
            return ASSUMED_STARTS_PER_SECOND
        measured = self._start_rate.estimate(anyio.current_time())
        return measured or ASSUMED_STARTS_PER_SECOND

    def _refuse(
        self, request: _policy.RoutingRequest, reason: str
    ) -> errors.ServersBusy:
        return errors.ServersBusy(
            f'all eligible servers of {request.service} are at capacity and '
            f'the request {reason}',
            step='route',
            retry_after_seconds=self.estimate_retry_after(),
        )
