"""Requests that wait for a place on a backend server.

The wait is bounded by time: by the request's deadline, and by how long a
request of its class may wait at all. That is less where the line did not get
empty for a while, as a line that stands adds delay and no throughput. Who
would wait too long is refused on arrival, and told when to come back.
"""

import bisect
import collections.abc
import typing

import anyio

from swiftjunction import errors
from swiftjunction.routing import _drain_rate
from swiftjunction.routing import _policy

MAX_RETRY_AFTER_SECONDS = 30.0
MIN_RETRY_AFTER_SECONDS = 0.2
# A line that was empty within this time is a burst, not an overload.
STANDING_AFTER_SECONDS = 1.0
# A place may also come free with no event, such as an ejection that ends.
CHECK_INTERVAL_SECONDS = 0.25
# While the drain rate is not known.
ASSUMED_STARTS_PER_SECOND = 100.0


class Patience(typing.NamedTuple):
    """How long a class of requests may wait, in a burst and in overload."""

    rank: int
    burst_seconds: float
    standing_seconds: float


PATIENCE = {
    'live': Patience(0, 1.0, 0.2),
    'internal': Patience(1, 0.5, 0.1),
    # Nobody waits for a single sample; its step's deadline is what counts.
    'samples': Patience(2, 600.0, 600.0),
}

Choose = collections.abc.Callable[[], _policy.Server]


class _Ticket:
    __slots__ = ('event', 'order')

    def __init__(self, order: tuple[int, int]) -> None:
        self.order = order
        self.event = anyio.Event()


class Line:
    """Those who wait for the servers of one service."""

    __slots__ = ('_drain', '_empty_at', '_next', '_tickets')

    def __init__(self) -> None:
        self._tickets: list[_Ticket] = []
        self._drain = _drain_rate.DrainRate()
        self._empty_at = anyio.current_time()
        self._next = 0

    def __len__(self) -> int:
        return len(self._tickets)

    async def take(
        self, choose: Choose, request: _policy.RoutingRequest
    ) -> _policy.Server:
        """Return what `choose` returns as soon as it finds a place.

        Raises
        ------
        ServersBusy
            If no place can be had in time; at once where that is known.
        """
        patience = PATIENCE[request.request_class]
        if not self._count_ahead(patience):
            try:
                return self._start(choose)
            except errors.ServersBusy:
                pass
        now = anyio.current_time()
        allowed_seconds = self._bound_wait(patience, request.deadline - now)
        if self._estimate_wait(patience) > allowed_seconds:
            raise self._refuse(request, 'would wait too long')
        ticket = self._join(patience)
        try:
            return await self._wait(
                ticket, choose, request, now + allowed_seconds
            )
        finally:
            self._leave(ticket)

    def wake(self) -> None:
        """Let the first in line try."""
        if self._tickets:
            self._tickets[0].event.set()

    def estimate_retry_after(self) -> float:
        """Return in how many seconds the line will have been worked off."""
        seconds = (len(self._tickets) + 1) / self._estimate_rate()
        return min(
            max(seconds, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
        )

    async def _wait(
        self,
        ticket: _Ticket,
        choose: Choose,
        request: _policy.RoutingRequest,
        give_up_at: float,
    ) -> _policy.Server:
        while (remaining := give_up_at - anyio.current_time()) > 0:
            with anyio.move_on_after(min(remaining, CHECK_INTERVAL_SECONDS)):
                await ticket.event.wait()
            ticket.event = anyio.Event()
            try:
                return self._start(choose)
            except errors.ServersBusy:
                if request.is_restricted():
                    self._wake_after(ticket)
        raise self._refuse(request, 'has waited too long')

    def _start(self, choose: Choose) -> _policy.Server:
        chosen = choose()
        if self._tickets:
            self._drain.note(anyio.current_time())
        return chosen

    def _join(self, patience: Patience) -> _Ticket:
        if not self._tickets:
            self._empty_at = anyio.current_time()
            self._drain.restart(self._empty_at)
        self._next += 1
        ticket = _Ticket((patience.rank, self._next))
        bisect.insort(self._tickets, ticket, key=lambda t: t.order)
        return ticket

    def _leave(self, ticket: _Ticket) -> None:
        self._tickets.remove(ticket)
        # There may be a place for the next one too.
        self.wake()

    def _wake_after(self, ticket: _Ticket) -> None:
        # This one cannot use every server: another may have a place.
        index = self._tickets.index(ticket) + 1
        if index < len(self._tickets):
            self._tickets[index].event.set()

    def _count_ahead(self, patience: Patience) -> int:
        return bisect.bisect(
            self._tickets, (patience.rank + 1, 0), key=lambda t: t.order
        )

    def _bound_wait(self, patience: Patience, remaining: float) -> float:
        standing = bool(self._tickets) and (
            anyio.current_time() - self._empty_at > STANDING_AFTER_SECONDS
        )
        limit = (
            patience.standing_seconds if standing else patience.burst_seconds
        )
        return min(limit, remaining)

    def _estimate_wait(self, patience: Patience) -> float:
        return (self._count_ahead(patience) + 1) / self._estimate_rate()

    def _estimate_rate(self) -> float:
        if not self._tickets:
            # What was measured tells of a line that has ended.
            return ASSUMED_STARTS_PER_SECOND
        measured = self._drain.estimate(anyio.current_time())
        return measured or ASSUMED_STARTS_PER_SECOND

    def _refuse(
        self, request: _policy.RoutingRequest, why: str
    ) -> errors.ServersBusy:
        return errors.ServersBusy(
            f'every server of {request.service} is at its limit, and the '
            f'request {why}',
            step='route',
            retry_after_seconds=self.estimate_retry_after(),
        )
