"""Runs a recurrent task for each of several items, apart from each other."""

import anyio

from swiftjunction.supervision import _supervisor

# Delay of an item after an unexpected error, doubled with each consecutive
# one.
FIRST_ERROR_DELAY_SECONDS = 0.5
MAX_ERROR_DELAY_SECONDS = 30.0


class IsolatedItems:
    """Runs the task of an item so that its unexpected error delays it alone.

    Parameters
    ----------
    supervisor : Supervisor
        Logs and counts the errors.
    name : str
        Kind of the task in logs and metrics.
    """

    __slots__ = ('_delays', '_due_at', '_name', '_supervisor')

    def __init__(self, supervisor: _supervisor.Supervisor, name: str) -> None:
        self._supervisor = supervisor
        self._name = name
        # Of each item that failed when it last ran: the delay after that, and
        # its end on the event loop's clock.
        self._delays: dict[str, float] = {}
        self._due_at: dict[str, float] = {}

    async def run(
        self, item: str, task: _supervisor.Task, **context: object
    ) -> None:
        """Run the task of an item once, unless the item is still delayed.

        Parameters
        ----------
        item : str
            Identifies the item among those of this object.
        task : callable
            The task.
        context : object
            Fields of the log line that tell the item.
        """
        if self.is_delayed(item):
            return
        if await self._supervisor.run_isolated(self._name, task, **context):
            self._forget(item)
        else:
            self._delay(item)

    def is_delayed(self, item: str) -> bool:
        """Return whether an item is delayed after an unexpected error."""
        return self._due_at.get(item, 0.0) > anyio.current_time()

    def _delay(self, item: str) -> None:
        now = anyio.current_time()
        self._forget_unused(now)
        delay_seconds = min(
            max(2 * self._delays.get(item, 0.0), FIRST_ERROR_DELAY_SECONDS),
            MAX_ERROR_DELAY_SECONDS,
        )
        self._delays[item] = delay_seconds
        self._due_at[item] = now + delay_seconds

    def _forget(self, item: str) -> None:
        self._delays.pop(item, None)
        self._due_at.pop(item, None)

    def _forget_unused(self, now: float) -> None:
        """Forget items that were due long ago, and exist no longer."""
        for item, due_at in list(self._due_at.items()):
            if now - due_at > MAX_ERROR_DELAY_SECONDS:
                self._forget(item)
