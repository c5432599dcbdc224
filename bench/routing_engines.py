"""Queueing model of engines, and a client that calls it without HTTP."""

import collections
import collections.abc
import heapq
import itertools
import random

import anyio

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import routing

# The service time is lognormal; this sigma gives a coefficient of variation
# of about 0.5.
MEAN_SERVICE_SECONDS = 0.1
SERVICE_SIGMA = 0.47
SLOTS = 4  # requests that an engine runs at once
LOAD_LAG_SECONDS = 0.5
CONNECT_SECONDS = 0.001


class SimulatedEngine:
    """Priority queue in front of a fixed number of slots.

    Requests of equal priority run in the order of their arrival.

    Parameters
    ----------
    rng : random.Random
        Source of the service times.

    Attributes
    ----------
    slow_factor : float
        Factor on the duration of each request.
    prefill_seconds : float
        Additional duration of a request whose prefix is not cached.
    cached_prefixes : int
        Capacity of the prefix cache.
    crashed : bool
        Whether the engine is down.
    started, hits : int
        Number of requests that started, and that hit the prefix cache.
    """

    def __init__(self, rng: random.Random) -> None:
        self.slow_factor = 1.0
        self.prefill_seconds = 0.0
        self.cached_prefixes = 16
        self.crashed = False
        self.started = 0
        self.hits = 0
        self._rng = rng
        self._running = 0
        self._sequence = itertools.count()
        self._waiting: list[tuple[int, int, anyio.Event]] = []
        self._crash_event = anyio.Event()
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._loads: collections.deque[tuple[float, float]] = (
            collections.deque([(0.0, 0.0)])
        )

    def crash(self) -> None:
        """Stop at once and fail all running and waiting requests."""
        self.crashed = True
        for _, _, ready in self._waiting:
            ready.set()
        self._waiting.clear()
        self._running = 0
        self._cache.clear()
        self._crash_event.set()

    def restart(self) -> None:
        """Start again with an empty queue and an empty cache."""
        self.crashed = False
        self._crash_event = anyio.Event()

    def report_load(self) -> float:
        """Return the load as it was `LOAD_LAG_SECONDS` ago."""
        limit = anyio.current_time() - LOAD_LAG_SECONDS
        while len(self._loads) > 1 and self._loads[1][0] <= limit:
            self._loads.popleft()
        return self._loads[0][1]

    async def run(self, prompt: str, priority: int) -> None:
        """Run one request.

        Raises
        ------
        AnswerBroken
            If the engine crashes before the request finishes.
        """
        crash_event = self._crash_event
        await self._acquire_slot(priority, crash_event)
        self.started += 1
        try:
            with anyio.move_on_after(self._sample_service_seconds(prompt)):
                await crash_event.wait()
            if crash_event.is_set():
                raise errors.AnswerBroken('engine crashed', step='generate')
        finally:
            if not crash_event.is_set():
                self._release_slot()

    async def _acquire_slot(
        self, priority: int, crash_event: anyio.Event
    ) -> None:
        if self._running < SLOTS:
            self._running += 1
            self._record_load()
            return
        ready = anyio.Event()
        entry = (-priority, next(self._sequence), ready)
        heapq.heappush(self._waiting, entry)
        self._record_load()
        try:
            await ready.wait()
        except anyio.get_cancelled_exc_class():
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise
        if crash_event.is_set():
            raise errors.AnswerBroken('engine crashed', step='generate')

    def _release_slot(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self._running -= 1
        self._record_load()

    def _record_load(self) -> None:
        load = (self._running + len(self._waiting)) / SLOTS
        self._loads.append((anyio.current_time(), load))

    def _sample_service_seconds(self, prompt: str) -> float:
        seconds = MEAN_SERVICE_SECONDS * self._rng.lognormvariate(
            -SERVICE_SIGMA * SERVICE_SIGMA / 2, SERVICE_SIGMA
        )
        if self.prefill_seconds:
            seconds += self._look_up_prefix(prompt)
        return seconds * self.slow_factor

    def _look_up_prefix(self, prompt: str) -> float:
        prefix = prompt[: routing.BLOCK_CHARS]
        hit = prefix in self._cache
        self.hits += hit
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > self.cached_prefixes:
            self._cache.popitem(last=False)
        return 0.0 if hit else self.prefill_seconds


class SimulatedEngineClient(backends.EngineClient):
    """Calls each :class:`SimulatedEngine` in the same process.

    Attributes
    ----------
    first_attempts, retries : int
        Number of attempts sent.
    """

    def __init__(self, engines: dict[str, SimulatedEngine]) -> None:
        self._engines = engines
        self.first_attempts = 0
        self.retries = 0

    async def stream(
        self, server: backends.BackendServer, call: backends.EngineCall
    ) -> collections.abc.AsyncGenerator[backends.Chunk, None]:
        """Run a request and yield its response as one chunk."""
        engine = self._engines[server.name]
        if call.request_id.endswith('-1'):
            self.first_attempts += 1
        else:
            self.retries += 1
        await anyio.sleep(CONNECT_SECONDS)
        if engine.crashed:
            raise errors.BackendUnreachable('engine is down', peer=server.name)
        with anyio.move_on_after(call.timeout_seconds) as scope:
            await engine.run(call.prompt, call.priority)
        if scope.cancelled_caught:
            raise errors.AnswerBroken('request timed out', peer=server.name)
        server.load = engine.report_load()
        yield backends.Chunk('x', 0, 1, server.weight_version, 'stop')

    async def resume(
        self,
        server: backends.BackendServer,
        call: backends.EngineCall,
        offset: int,
    ) -> collections.abc.AsyncGenerator[backends.Chunk, None]:
        """Raise an error: interrupted requests cannot be resumed."""
        raise errors.BackendUnreachable('engine is down', peer=server.name)
        yield

    async def cancel(
        self, server: backends.BackendServer, request_id: str
    ) -> None:
        """Do nothing: a request ends when its task is cancelled."""
