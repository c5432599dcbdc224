"""A fair queue: several steps share what this process runs at once."""

import collections

import anyio

# By how much the weight of a step grows until its deadline. It is bounded,
# so that a step that is late slows the others down and never stops them.
MAX_URGENCY = 4.0
MIN_REMAINING_SHARE = 1 / MAX_URGENCY


class _Waiter:
    """One call that waits for a slot."""

    __slots__ = ('event', 'tag')

    def __init__(self, tag: float) -> None:
        self.event = anyio.Event()
        self.tag = tag


class _Flow:
    """One step that waits for slots, in the order in which it asked."""

    __slots__ = ('finish', 'waiting')

    def __init__(self) -> None:
        self.finish = 0.0
        self.waiting: collections.deque[_Waiter] = collections.deque()


class FairQueue:
    """Gives out slots by start-time fair queueing.

    Each slot moves its step's finish tag on by 1 / weight, and the free slot
    goes to the waiting step with the smallest one. A step that was idle
    begins at the tag served last, so it gains nothing from having waited.

    Slots come back in bunches, as an engine ends several samples at once. A
    step gets its part of a bunch only if it waits for as many.

    Parameters
    ----------
    capacity : int
        How many slots there are.
    """

    __slots__ = ('_flows', '_free', '_served')

    def __init__(self, capacity: int) -> None:
        self._free = capacity
        self._served = 0.0
        self._flows: dict[str, _Flow] = {}

    @property
    def free(self) -> int:
        """Return how many slots nobody has."""
        return self._free

    async def acquire(self, flow_id: str, weight: float) -> None:
        """Wait for a slot.

        Parameters
        ----------
        flow_id : str
            The step.
        weight : float
            Its part of the slots, against the weights of the others.
        """
        flow = self._flows.setdefault(flow_id, _Flow())
        flow.finish = max(flow.finish, self._served) + 1.0 / weight
        waiter = _Waiter(flow.finish)
        flow.waiting.append(waiter)
        self._grant()
        try:
            await waiter.event.wait()
        except anyio.get_cancelled_exc_class():
            if waiter.event.is_set():
                self.release()
            else:
                flow.waiting.remove(waiter)
            raise

    def release(self) -> None:
        """Give a slot back."""
        self._free += 1
        self._grant()

    def remove(self, flow_id: str) -> None:
        """Drop a step that has ended."""
        self._flows.pop(flow_id, None)

    def _grant(self) -> None:
        while self._free:
            waiting = [f for f in self._flows.values() if f.waiting]
            if not waiting:
                return
            flow = min(waiting, key=lambda f: f.waiting[0].tag)
            waiter = flow.waiting.popleft()
            self._served = max(self._served, waiter.tag)
            self._free -= 1
            waiter.event.set()


def compute_weight(
    share: float, remaining_seconds: float, deadline_seconds: float
) -> float:
    """Return the weight of a step: its share, more near its deadline."""
    remaining_share = max(remaining_seconds, 0.0) / deadline_seconds
    return share / max(remaining_share, MIN_REMAINING_SHARE)
