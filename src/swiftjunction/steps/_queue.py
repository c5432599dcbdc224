"""Fair queueing of the steps that share the slots of a process."""

import collections

import anyio

# The weight of a step grows towards its deadline by at most this factor, so
# that a late step slows the others down but cannot starve them.
MAX_URGENCY_FACTOR = 4.0
MIN_REMAINING_FRACTION = 1 / MAX_URGENCY_FACTOR


class _Waiter:
    """A call that waits for a slot, with its finish tag."""

    __slots__ = ('event', 'finish_tag')

    def __init__(self, finish_tag: float) -> None:
        self.event = anyio.Event()
        self.finish_tag = finish_tag


class _Flow:
    """The waiting calls of one step, first in, first out."""

    __slots__ = ('finish_tag', 'waiting')

    def __init__(self) -> None:
        self.finish_tag = 0.0
        self.waiting: collections.deque[_Waiter] = collections.deque()


class FairQueue:
    """Grants slots by self-clocked fair queueing.

    Each request advances the finish tag of its flow by 1 / weight, and a
    free slot goes to the waiting request with the smallest tag. A flow that
    was idle resumes at the virtual time, which is the tag served last, so
    that it gains no credit from having been idle.

    Slots are released in bursts, as an engine finishes several samples at
    once. A step receives its share of a burst only if that many of its
    requests are waiting.

    Parameters
    ----------
    capacity : int
        Total number of slots.
    """

    __slots__ = ('_flows', '_free', '_virtual_time')

    def __init__(self, capacity: int) -> None:
        self._free = capacity
        self._virtual_time = 0.0
        self._flows: dict[str, _Flow] = {}

    @property
    def free(self) -> int:
        """Return the number of free slots."""
        return self._free

    async def acquire(self, flow_id: str, weight: float) -> None:
        """Wait for a slot.

        Parameters
        ----------
        flow_id : str
            Identifier of the step.
        weight : float
            Share of the slots, relative to the weights of the other flows.
        """
        flow = self._flows.setdefault(flow_id, _Flow())
        flow.finish_tag = (
            max(flow.finish_tag, self._virtual_time) + 1.0 / weight
        )
        waiter = _Waiter(flow.finish_tag)
        flow.waiting.append(waiter)
        self._grant_slots()
        try:
            await waiter.event.wait()
        except anyio.get_cancelled_exc_class():
            if waiter.event.is_set():
                self.release()
            else:
                flow.waiting.remove(waiter)
            raise

    def release(self) -> None:
        """Release a slot."""
        self._free += 1
        self._grant_slots()

    def remove(self, flow_id: str) -> None:
        """Remove a step that has ended."""
        self._flows.pop(flow_id, None)

    def _grant_slots(self) -> None:
        while self._free:
            waiting = [f for f in self._flows.values() if f.waiting]
            if not waiting:
                return
            flow = min(waiting, key=lambda f: f.waiting[0].finish_tag)
            waiter = flow.waiting.popleft()
            self._virtual_time = max(self._virtual_time, waiter.finish_tag)
            self._free -= 1
            waiter.event.set()


def compute_weight(
    share: float, remaining_seconds: float, deadline_seconds: float
) -> float:
    """Return the share of a step, increased as its deadline approaches."""
    remaining_fraction = max(remaining_seconds, 0.0) / deadline_seconds
    return share / max(remaining_fraction, MIN_REMAINING_FRACTION)
