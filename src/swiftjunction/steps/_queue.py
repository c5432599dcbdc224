"""A fair queue: several steps share what this process runs at once."""

import anyio

# By how much the weight of a step grows until its deadline. It is bounded,
# so that a step that is late slows the others down and never stops them.
MAX_URGENCY = 4.0
MIN_REMAINING_SHARE = 1 / MAX_URGENCY


class _Flow:
    """One step that waits for slots, in the order in which it asked."""

    __slots__ = ('finish', 'waiting')

    def __init__(self) -> None:
        self.finish = 0.0
        self.waiting: list[anyio.Event] = []


class FairQueue:
    """Gives out slots by start-time fair queueing.

    Each slot moves its step's finish tag on by 1 / weight, and the free slot
    goes to the waiting step with the smallest one. A step that was idle
    begins at the tag served last, so it gains nothing from having waited.

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
        event = anyio.Event()
        flow.waiting.append(event)
        self._grant()
        try:
            await event.wait()
        except anyio.get_cancelled_exc_class():
            if event.is_set():
                self.release()
            else:
                flow.waiting.remove(event)
            raise

    def release(self) -> None:
        """Give a slot back."""
        self._free += 1
        self._grant()

    def forget(self, flow_id: str) -> None:
        """Drop a step that has ended."""
        self._flows.pop(flow_id, None)

    def _grant(self) -> None:
        while self._free:
            waiting = [f for f in self._flows.values() if f.waiting]
            if not waiting:
                return
            flow = min(waiting, key=lambda f: f.finish)
            self._served = max(self._served, flow.finish)
            self._free -= 1
            flow.waiting.pop(0).set()


def weigh_step(
    share: float, remaining_seconds: float, deadline_seconds: float
) -> float:
    """Return the weight of a step: its share, more near its deadline."""
    remaining_share = max(remaining_seconds, 0.0) / deadline_seconds
    return share / max(remaining_share, MIN_REMAINING_SHARE)
