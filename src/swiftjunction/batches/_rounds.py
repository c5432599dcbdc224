"""Keeps an unexpected error in a round over all batches to one batch."""

import collections.abc
import functools

import anyio

from swiftjunction.batches import _dispatch
from swiftjunction.batches import _open
from swiftjunction import supervision

# Delay after an unexpected error, doubled with each consecutive one.
FIRST_ERROR_DELAY_SECONDS = 0.5
MAX_ERROR_DELAY_SECONDS = 30.0

Round = collections.abc.Callable[[list[_open.OpenBatch]], None]


class Rounds:
    """Runs rounds over all batches but those whose planning has failed.

    Parameters
    ----------
    supervisor : Supervisor
        Logs and counts unexpected errors.
    dispatcher : Dispatcher
        Finds the batches that cannot be planned.
    """

    __slots__ = ('_dispatcher', '_failures', '_set_aside', '_supervisor')

    def __init__(
        self,
        supervisor: supervision.Supervisor,
        dispatcher: _dispatch.Dispatcher,
    ) -> None:
        self._supervisor = supervisor
        self._dispatcher = dispatcher
        # The number of errors of each kind of round, and of each batch.
        self._failures: dict[str, int] = {}
        # Until when a batch is left out, on the event loop's clock.
        self._set_aside: dict[str, float] = {}

    def reset(self) -> None:
        """Forget earlier errors, as a new term begins."""
        self._failures.clear()
        self._set_aside.clear()

    async def run(
        self,
        name: str,
        start_round: Round,
        batches: collections.abc.Iterable[_open.OpenBatch],
    ) -> None:
        """Run one round.

        After an unexpected error, the batches that cannot be planned are set
        aside for a growing delay. If there are none, the next round waits.
        """
        now = anyio.current_time()
        planned = [
            open_batch
            for open_batch in batches
            if self._set_aside.get(open_batch.batch.batch_id, now) <= now
        ]

        async def run_round() -> None:
            start_round(planned)

        if await self._supervisor.run_isolated(name, run_round):
            self._failures.pop(name, None)
            return
        if not await self._set_failing_aside(planned):
            await anyio.sleep(self._compute_delay(name))

    async def _set_failing_aside(
        self, planned: list[_open.OpenBatch]
    ) -> list[str]:
        """Set the batches aside that cannot be planned; return their ids."""
        failing = []
        for open_batch in planned:
            batch_id = open_batch.batch.batch_id
            check = functools.partial(self._check, open_batch)
            if not await self._supervisor.run_isolated(
                'plan batch', check, batch=batch_id
            ):
                failing.append(batch_id)
                self._set_aside[batch_id] = (
                    anyio.current_time()
                    + self._compute_delay(f'batch {batch_id}')
                )
        return failing

    async def _check(self, open_batch: _open.OpenBatch) -> None:
        self._dispatcher.check_batch(open_batch)

    def _compute_delay(self, name: str) -> float:
        failures = self._failures.get(name, 0)
        self._failures[name] = failures + 1
        return min(
            FIRST_ERROR_DELAY_SECONDS * 2 ** min(failures, 10),
            MAX_ERROR_DELAY_SECONDS,
        )
