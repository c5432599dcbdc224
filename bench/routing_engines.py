"""Model engines as queues, and a client that calls them with no HTTP."""

import collections
import collections.abc
import heapq
import itertools
import random

import anyio

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import routing

# A request on an engine: lognormal with this mean, and a coefficient of
# variation of about 0.5.
MEAN_SECONDS = 0.1
SIGMA = 0.47
SLOTS = 4
LOAD_LAG_SECONDS = 0.5
CONNECT_SECONDS = 0.001


class SimulatedEngine:
    """So many requests at once, higher priorities first, then in order.

    Attributes
    ----------
    slow_factor : float
        How many times longer each request takes.
    prefill_seconds : float
        What a prompt costs beside, where its prefix is not cached.
    cached_prefixes : int
        How many prefixes the cache holds.
    started, hits : int
        Requests that ran, and those whose prefix was cached.
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
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, anyio.Event]] = []
        self._ended = anyio.Event()
        self._cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._loads: collections.deque[tuple[float, float]] = (
            collections.deque([(0.0, 0.0)])
        )

    def crash(self) -> None:
        """End at once; what runs and waits breaks off."""
        self.crashed = True
        for _, _, ready in self._waiting:
            ready.set()
        self._waiting.clear()
        self._running = 0
        self._cache.clear()
        self._ended.set()

    def restart(self) -> None:
        """Come back with nothing."""
        self.crashed = False
        self._ended = anyio.Event()

    def report_load(self) -> float:
        """Return the load as it was a while ago."""
        limit = anyio.current_time() - LOAD_LAG_SECONDS
        while len(self._loads) > 1 and self._loads[1][0] <= limit:
            self._loads.popleft()
        return self._loads[0][1]

    async def run(self, prompt: str, priority: int) -> None:
        """Serve one request.

        Raises
        ------
        AnswerBroken
            If the engine crashes meanwhile.
        """
        ended = self._ended
        await self._wait_for_slot(priority, ended)
        self.started += 1
        try:
            with anyio.move_on_after(self._draw_seconds(prompt)):
                await ended.wait()
            if ended.is_set():
                raise errors.AnswerBroken('crashed', step='generate')
        finally:
            if not ended.is_set():
                self._free_slot()

    async def _wait_for_slot(self, priority: int, ended: anyio.Event) -> None:
        if self._running < SLOTS:
            self._running += 1
            self._note_load()
            return
        ready = anyio.Event()
        entry = (-priority, next(self._order), ready)
        heapq.heappush(self._waiting, entry)
        self._note_load()
        try:
            await ready.wait()
        except anyio.get_cancelled_exc_class():
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise
        if ended.is_set():
            raise errors.AnswerBroken('crashed', step='generate')

    def _free_slot(self) -> None:
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self._running -= 1
        self._note_load()

    def _note_load(self) -> None:
        load = (self._running + len(self._waiting)) / SLOTS
        self._loads.append((anyio.current_time(), load))

    def _draw_seconds(self, prompt: str) -> float:
        mean = MEAN_SECONDS * self._rng.lognormvariate(
            -SIGMA * SIGMA / 2, SIGMA
        )
        if self.prefill_seconds:
            mean += self._prefill(prompt)
        return mean * self.slow_factor

    def _prefill(self, prompt: str) -> float:
        prefix = prompt[: routing.BLOCK_CHARS]
        hit = prefix in self._cache
        self.hits += hit
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > self.cached_prefixes:
            self._cache.popitem(last=False)
        return 0.0 if hit else self.prefill_seconds


class SimulatedEngineClient(backends.EngineClient):
    """Calls :class:`SimulatedEngine` in the same process.

    Attributes
    ----------
    first_attempts, retries : int
        Attempts that were sent.
    """

    def __init__(self, engines: dict[str, SimulatedEngine]) -> None:
        self._engines = engines
        self.first_attempts = 0
        self.retries = 0

    async def stream(
        self, server: backends.BackendServer, call: backends.EngineCall
    ) -> collections.abc.AsyncGenerator[backends.Chunk, None]:
        """Run the request; its answer is one chunk."""
        engine = self._engines[server.name]
        if call.request_id.endswith('-1'):
            self.first_attempts += 1
        else:
            self.retries += 1
        await anyio.sleep(CONNECT_SECONDS)
        if engine.crashed:
            raise errors.BackendUnreachable('down', peer=server.name)
        with anyio.move_on_after(call.timeout_seconds) as scope:
            await engine.run(call.prompt, call.priority)
        if scope.cancelled_caught:
            raise errors.AnswerBroken('timed out', peer=server.name)
        server.load = engine.report_load()
        yield backends.Chunk('x', 0, 1, server.weight_version, 'stop')

    async def resume(
        self,
        server: backends.BackendServer,
        call: backends.EngineCall,
        offset: int,
    ) -> collections.abc.AsyncGenerator[backends.Chunk, None]:
        """Fail: what broke off is lost."""
        raise errors.BackendUnreachable('down', peer=server.name)
        yield

    async def cancel(
        self, server: backends.BackendServer, request_id: str
    ) -> None:
        """Do nothing: a model request ends with its task."""
