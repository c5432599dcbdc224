"""A stand-in for a model engine: its batch, cache, weights and orders."""

import collections
import logging

import anyio
import anyio.abc
import httpx

from swiftjunction import backends
from swiftjunction.standins import _faults
from swiftjunction.standins import _generations
from swiftjunction.standins import _prefixes

LOG = logging.getLogger(__name__)

BASE_TICK_SECONDS = 0.010
TICK_SECONDS_PER_REQUEST = 0.0004
TOKENS_PER_TICK = 4
PREFILL_CHARS_PER_TICK = 256
MAX_BATCH = 32
MAX_QUEUE = 256
CACHE_BLOCKS = 4096
KEPT_FINISHED = 512
LOAD_MODEL_SECONDS = 1.0
POISON = 'POISON'


class OrderFailed(Exception):
    """An order that the engine does not carry out.

    `refused` tells that it did not even try.
    """

    def __init__(self, message: str, refused: bool) -> None:
        super().__init__(message)
        self.refused = refused


class Engine:
    """Batches requests; its token rate falls as the batch grows.

    Parameters
    ----------
    name : str
        The engine.
    model : str
        What it serves.
    weights : httpx.AsyncClient
        The weight store.
    checks_fencing : bool
        Whether it refuses orders with an old fencing token.

    Faults
    ------
    crashed : the process is gone for so many seconds.
    poison_seconds : a prompt with POISON in it crashes the engine for so long.
    slow_factor : how many times slower each tick is.
    break_streams : so many streams break off in the middle.
    refuse : every request is refused and not run.
    fail_orders : so many orders fail.
    ignore_orders : so many orders are accepted and not carried out.
    fail_swaps : so many activations fail partway, leaving no weights.
    leaving : the engine says that it leaves, and refuses new work.
    hide_versions : chunks do not name their version.
    load_lag_seconds : how old the load that it reports is.
    false_load : the load that it reports, whatever it is.
    cache_lag_seconds : how late cache events are.
    cache_gaps : so many batches of cache events are left out.

    Attributes
    ----------
    orders : list of Order
        What it was told, for tests.
    crash_count : int
        How often a request crashed it.
    refused : int
        How many requests were refused.
    started : Counter
        How often each request id began to run.
    """

    def __init__(
        self,
        name: str,
        model: str,
        weights: httpx.AsyncClient,
        *,
        checks_fencing: bool = True,
    ) -> None:
        self.name = name
        self.model = model
        self.weight_version = 0
        self.staged_version = 0
        self.role = 'generate'
        self.adapters: set[str] = set()
        self.crash_count = 0
        self.refused = 0
        self.orders: list[backends.Order] = []
        self.started: collections.Counter[str] = collections.Counter()
        self.faults = _faults.FaultSwitches(
            'crashed',
            'poison_seconds',
            'slow_factor',
            'break_streams',
            'refuse',
            'fail_orders',
            'ignore_orders',
            'fail_swaps',
            'leaving',
            'hide_versions',
            'load_lag_seconds',
            'false_load',
            'cache_lag_seconds',
            'cache_gaps',
        )
        self.cache = _prefixes.PrefixCache(CACHE_BLOCKS)
        self._weights = weights
        self._checks_fencing = checks_fencing
        self._highest_token = 0
        self._loading = False
        self._running: dict[str, _generations.Generation] = {}
        self._waiting: list[_generations.Generation] = []
        self._known: collections.OrderedDict[str, _generations.Generation] = (
            collections.OrderedDict()
        )
        self._past_loads: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=4096)
        )
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Generate until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await self._tick()

    @property
    def load(self) -> float:
        """Return how full the batch is; above 1 there is a queue."""
        return (len(self._running) + len(self._waiting)) / MAX_BATCH

    def report_load(self) -> float:
        """Return the load as it is reported: old, or false."""
        if self.faults.get('false_load'):
            return self.faults.get('false_load')
        limit = anyio.current_time() - self.faults.get('load_lag_seconds')
        for time, load in reversed(self._past_loads):
            if time <= limit:
                return load
        return 0.0

    def accepts_work(self) -> bool:
        """Tell whether a new request would run."""
        return not (
            self.faults.get('refuse')
            or self.faults.get('leaving')
            or self._loading
            or len(self._waiting) >= MAX_QUEUE
            or not self.weight_version
        )

    def start(
        self,
        request_id: str,
        state: _generations.KeyValueState,
        priority: int = 0,
        *,
        prefilled: bool = False,
    ) -> _generations.Generation:
        """Put a request into the queue."""
        generation = _generations.Generation(request_id, state, priority)
        cached = self.cache.use(state.prompt)
        if not prefilled:
            left = len(state.prompt) - cached
            generation.prefill_ticks = left // PREFILL_CHARS_PER_TICK
        self.started[request_id] += 1
        self._known[request_id] = generation
        while len(self._known) > KEPT_FINISHED:
            self._known.popitem(last=False)
        self._waiting.append(generation)
        return generation

    def find(self, request_id: str) -> _generations.Generation | None:
        """Return a request that is running or ended not long ago."""
        return self._known.get(request_id)

    def cancel(self, request_id: str) -> None:
        """Stop a request."""
        generation = self._known.get(request_id)
        if generation is None:
            return
        generation.cancel()
        if generation in self._waiting:
            self._waiting.remove(generation)

    def describe_status(self) -> backends.EngineStatus:
        """Return what the engine says of itself."""
        return backends.EngineStatus(
            self.model,
            self.weight_version,
            self.staged_version,
            round(self.report_load(), 1),
            bool(self.faults.get('leaving')),
            self.role,
            sorted(self.adapters),
        )

    def apply_order(self, order: backends.Order) -> None:
        """Carry out an order, at once or in time.

        Raises
        ------
        OrderFailed
            If it is not carried out.
        """
        if self._checks_fencing and order.fencing_token < self._highest_token:
            raise OrderFailed(
                f'fencing token below {self._highest_token}', refused=True
            )
        self._highest_token = max(self._highest_token, order.fencing_token)
        if self.faults.consume('fail_orders'):
            raise OrderFailed('failed', refused=False)
        self.orders.append(order)
        if self.faults.consume('ignore_orders'):
            return
        if order.kind == 'activate':
            self._activate(order)
        elif order.kind == 'role':
            self.role = order.argument
        elif order.kind == 'adapter':
            self.adapters.add(order.argument)
        elif self._tasks is not None:
            task = self._stage if order.kind == 'stage' else self._load_model
            self._tasks.start_soon(task, order)

    def _activate(self, order: backends.Order) -> None:
        if order.model != self.model:
            raise OrderFailed(f'serves {self.model}', refused=True)
        if order.weight_version > self.staged_version:
            raise OrderFailed('not staged', refused=True)
        self.cache.clear()
        if self.faults.consume('fail_swaps'):
            self.weight_version = 0
            raise OrderFailed('the swap failed partway', refused=False)
        self.weight_version = order.weight_version

    async def _stage(self, order: backends.Order) -> None:
        if (
            order.model != self.model
            or order.weight_version <= self.staged_version
        ):
            return
        try:
            files = order.source_version or order.weight_version
            response = await self._weights.get(
                f'/weights/{order.model}/{files}'
            )
            response.raise_for_status()
        except httpx.HTTPError as error:
            LOG.info('%s could not stage: %s', self.name, error)
            return
        if order.model == self.model:
            self.staged_version = max(
                self.staged_version, order.weight_version
            )

    async def _load_model(self, order: backends.Order) -> None:
        if order.model == self.model or self._loading:
            return
        self._loading = True
        self.weight_version = self.staged_version = 0
        self.model = order.model
        self.adapters.clear()
        self.cache.clear()
        await anyio.sleep(LOAD_MODEL_SECONDS)
        self._loading = False

    async def _tick(self) -> None:
        seconds = BASE_TICK_SECONDS + TICK_SECONDS_PER_REQUEST * len(
            self._running
        )
        await anyio.sleep(seconds * max(self.faults.get('slow_factor'), 1))
        if self.faults.get('crashed'):
            self._forget_all()
            return
        self._past_loads.append((anyio.current_time(), self.load))
        self._fill_batch()
        if self.faults.get('poison_seconds') and any(
            POISON in generation.state.prompt
            for generation in self._running.values()
        ):
            self.crash_count += 1
            self.faults.set('crashed', self.faults.get('poison_seconds'))
            return
        version = (
            0 if self.faults.get('hide_versions') else self.weight_version
        )
        for generation in list(self._running.values()):
            if not generation.finished:
                generation.advance(TOKENS_PER_TICK, version)
            if generation.finished:
                del self._running[generation.request_id]

    def _fill_batch(self) -> None:
        self._waiting.sort(key=lambda g: -g.priority)
        while self._waiting and len(self._running) < MAX_BATCH:
            generation = self._waiting.pop(0)
            self._running[generation.request_id] = generation

    def _forget_all(self) -> None:
        for generation in [*self._running.values(), *self._waiting]:
            generation.cancel()
        self._running.clear()
        self._waiting.clear()
        self._known.clear()
        self.cache.clear()
        self.weight_version = self.staged_version = 0
