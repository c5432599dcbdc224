"""A simulated model engine: batching, prefix cache, weights and orders."""

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
MAX_BATCH_REQUESTS = 32
MAX_QUEUED_REQUESTS = 256
CACHE_CAPACITY_BLOCKS = 4096
MAX_RECENT_REQUESTS = 512
MODEL_LOAD_SECONDS = 1.0
POISON_MARKER = 'POISON'


class OrderFailed(Exception):
    """An order was refused or failed; the message gives the reason.

    Parameters
    ----------
    message : str
        Reason, which the response contains.
    refused : bool
        Whether the order was refused before it had any effect. If False, it
        may have been partly applied.
    """

    def __init__(self, message: str, refused: bool) -> None:
        super().__init__(message)
        self.refused = refused


class Engine:
    """Generates tokens for a batch of requests.

    The rate of tokens for each request decreases as the batch grows.

    Parameters
    ----------
    name : str
        Name of the engine.
    model : str
        Model that it serves at first.
    weights : httpx.AsyncClient
        Client of the weight store.
    checks_fencing : bool
        Whether it refuses orders with an outdated fencing token.

    Attributes
    ----------
    varies_streams : bool
        Send streams in several forms: with comments, CRLF or CR.

    Faults
    ------
    crashed : seconds for which connections are refused; requests, cached
        blocks and weights are lost.
    poison_seconds : if not 0, a running request with POISON in its prompt
        crashes the engine for as many seconds.
    slow_factor : factor on the duration of each tick; below 1, no effect.
    break_streams : number of streams that break off.
    refuse : if not 0, new requests are refused with 503 and do not run.
    fail_orders : number of orders that fail with 500 and are not applied.
    ignore_orders : number of orders that are accepted but have no effect.
    fail_swaps : number of activations that fail and leave no version active.
    leaving : if not 0, the engine reports that it is leaving the deployment
        and refuses new requests.
    hide_versions : if not 0, chunks report 0 as their weight version.
    load_lag_seconds : age of the reported load in seconds.
    false_load : if not 0, load to report in place of the actual one.
    cache_lag_seconds : delay of the cache events in seconds.
    cache_gaps : number of cache events that are dropped; their sequence
        numbers are skipped.

    Attributes
    ----------
    weight_version : int
        Active version; 0 if there is none.
    staged_version : int
        Newest staged version; 0 if there is none.
    role : str
        Role that the last order assigned to it.
    adapters : set of str
        Names of the loaded adapters.
    orders : list of Order
        Orders that passed the fencing check, for tests; without those that
        ``fail_orders`` made fail.
    crash_count : int
        Number of crashes that ``poison_seconds`` caused.
    refusal_count : int
        Number of refused requests.
    runs : Counter
        Number of runs by request id.
    cache : PrefixCache
        Cached blocks of prompts.
    """

    def __init__(
        self,
        name: str,
        model: str,
        weights: httpx.AsyncClient,
        *,
        checks_fencing: bool = True,
    ) -> None:
        self.varies_streams = False
        self.name = name
        self.model = model
        self.weight_version = 0
        self.staged_version = 0
        self.role = 'generate'
        self.adapters: set[str] = set()
        self.crash_count = 0
        self.refusal_count = 0
        self.orders: list[backends.Order] = []
        self.runs: collections.Counter[str] = collections.Counter()
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
        self.cache = _prefixes.PrefixCache(CACHE_CAPACITY_BLOCKS)
        self._weights = weights
        self._checks_fencing = checks_fencing
        self._highest_fencing_token = 0
        self._is_loading = False
        self._running: dict[str, _generations.Generation] = {}
        self._waiting: list[_generations.Generation] = []
        self._recent: collections.OrderedDict[str, _generations.Generation] = (
            collections.OrderedDict()
        )
        self._load_history: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=4096)
        )
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Run the engine until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await self._tick()

    @property
    def load(self) -> float:
        """Return the unfinished requests as a fraction of the batch size."""
        return (len(self._running) + len(self._waiting)) / MAX_BATCH_REQUESTS

    def report_load(self) -> float:
        """Return the reported load, which faults may falsify or delay."""
        if self.faults.get('false_load'):
            return self.faults.get('false_load')
        latest_time = anyio.current_time() - self.faults.get(
            'load_lag_seconds'
        )
        for time, load in reversed(self._load_history):
            if time <= latest_time:
                return load
        return 0.0

    def accepts_work(self) -> bool:
        """Tell whether a new request would be accepted."""
        return not (
            self.faults.get('refuse')
            or self.faults.get('leaving')
            or self._is_loading
            or len(self._waiting) >= MAX_QUEUED_REQUESTS
            or not self.weight_version
        )

    def enqueue(
        self,
        request_id: str,
        state: _generations.KvCacheState,
        priority: int = 0,
        *,
        prefilled: bool = False,
    ) -> _generations.Generation:
        """Add a request to the queue.

        Parameters
        ----------
        request_id : str
            Identifies the request; chosen by the client.
        state : KvCacheState
            State from which the generation starts.
        priority : int
            Requests with a higher priority run first.
        prefilled : bool
            Whether `state` was imported, so that no prefill is necessary.
        """
        generation = _generations.Generation(request_id, state, priority)
        cached = self.cache.add_prompt(state.prompt)
        if not prefilled:
            uncached_chars = len(state.prompt) - cached
            generation.remaining_prefill_ticks = (
                uncached_chars // PREFILL_CHARS_PER_TICK
            )
        self.runs[request_id] += 1
        self._recent[request_id] = generation
        while len(self._recent) > MAX_RECENT_REQUESTS:
            self._recent.popitem(last=False)
        self._waiting.append(generation)
        return generation

    def find_generation(
        self, request_id: str
    ) -> _generations.Generation | None:
        """Return a queued, running or recently finished request, if any."""
        return self._recent.get(request_id)

    def cancel(self, request_id: str) -> None:
        """Cancel a request, if it is known."""
        generation = self._recent.get(request_id)
        if generation is None:
            return
        generation.cancel()
        if generation in self._waiting:
            self._waiting.remove(generation)

    def describe_status(self) -> backends.EngineStatus:
        """Return the status that the engine reports."""
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
        """Apply an order.

        Staging a version or loading a model continues in the background.

        Raises
        ------
        OrderFailed
            If it is refused or fails.
        """
        if (
            self._checks_fencing
            and order.fencing_token < self._highest_fencing_token
        ):
            raise OrderFailed(
                f'fencing token is below {self._highest_fencing_token}',
                refused=True,
            )
        self._highest_fencing_token = max(
            self._highest_fencing_token, order.fencing_token
        )
        if self.faults.consume('fail_orders'):
            raise OrderFailed('injected failure', refused=False)
        self.orders.append(order)
        if self.faults.consume('ignore_orders'):
            return
        if order.kind == 'activate':
            self._activate_version(order)
        elif order.kind == 'role':
            self.role = order.argument
        elif order.kind == 'adapter':
            self.adapters.add(order.argument)
        elif self._tasks is not None:
            handle_order = (
                self._stage_version
                if order.kind == 'stage'
                else self._load_model
            )
            self._tasks.start_soon(handle_order, order)

    def _activate_version(self, order: backends.Order) -> None:
        if order.model != self.model:
            raise OrderFailed(f'engine serves {self.model}', refused=True)
        if order.weight_version > self.staged_version:
            raise OrderFailed('version is not staged', refused=True)
        self.cache.clear()
        if self.faults.consume('fail_swaps'):
            self.weight_version = 0
            raise OrderFailed('injected failure of the swap', refused=False)
        self.weight_version = order.weight_version

    async def _stage_version(self, order: backends.Order) -> None:
        if (
            order.model != self.model
            or order.weight_version <= self.staged_version
        ):
            return
        try:
            source_version = order.source_version or order.weight_version
            response = await self._weights.get(
                f'/weights/{order.model}/{source_version}'
            )
            response.raise_for_status()
        except httpx.HTTPError as error:
            LOG.info('engine %s could not stage weights: %s', self.name, error)
            return
        if order.model == self.model:
            self.staged_version = max(
                self.staged_version, order.weight_version
            )

    async def _load_model(self, order: backends.Order) -> None:
        if order.model == self.model or self._is_loading:
            return
        self._is_loading = True
        self.weight_version = self.staged_version = 0
        self.model = order.model
        self.adapters.clear()
        self.cache.clear()
        await anyio.sleep(MODEL_LOAD_SECONDS)
        self._is_loading = False

    async def _tick(self) -> None:
        tick_seconds = BASE_TICK_SECONDS + TICK_SECONDS_PER_REQUEST * len(
            self._running
        )
        await anyio.sleep(
            tick_seconds * max(self.faults.get('slow_factor'), 1)
        )
        if self.faults.get('crashed'):
            self._reset()
            return
        self._load_history.append((anyio.current_time(), self.load))
        self._fill_batch()
        if self.faults.get('poison_seconds') and any(
            POISON_MARKER in generation.state.prompt
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
        while self._waiting and len(self._running) < MAX_BATCH_REQUESTS:
            generation = self._waiting.pop(0)
            self._running[generation.request_id] = generation

    def _reset(self) -> None:
        for generation in [*self._running.values(), *self._waiting]:
            generation.cancel()
        self._running.clear()
        self._waiting.clear()
        self._recent.clear()
        self.cache.clear()
        self.weight_version = self.staged_version = 0
