"""Generation of completions, with retries and continuation on other engines.

Both callers' completions and trainers' samples are generated here.
"""

import collections.abc
import contextlib
import logging

import anyio

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.requests import _budget
from swiftjunction.requests import _call
from swiftjunction.requests import _progress
from swiftjunction.requests import _server_finder
from swiftjunction.requests import _suspects
from swiftjunction import routing
from swiftjunction import weights

LOG = logging.getLogger(__name__)

# Attempts that a weight swap ended, to resume with the new weights, are not
# counted.
MAX_GENERATION_ATTEMPTS = 6


class _ResumeAfterSwap(Exception):
    """Ends an attempt, so that the next one resumes with the new weights.

    The new weights then process the prompt and the text so far from the
    start, rather than use the key-value cache that the old ones computed.
    """


class CompletionGenerator:
    """Generates completions, with further attempts after a failure.

    Parameters
    ----------
    router : Router
        Chooses the engine of each attempt.
    engines : EngineClient
        Sends requests to the chosen engine.
    version_tracker : VersionTracker
        Knows which weight versions are fresh.
    budget : RetryBudget
        Limits the retries of all requests together.
    suspects : SuspectTracker
        Tracks the requests that may crash servers.
    """

    __slots__ = (
        '_version_tracker',
        '_budget',
        '_engines',
        '_finder',
        '_suspects',
    )

    def __init__(
        self,
        router: routing.Router,
        engines: backends.EngineClient,
        version_tracker: weights.VersionTracker,
        budget: _budget.RetryBudget,
        suspects: _suspects.SuspectTracker,
    ) -> None:
        self._finder = _server_finder.ServerFinder(router, version_tracker)
        self._suspects = suspects
        self._engines = engines
        self._version_tracker = version_tracker
        self._budget = budget

    async def generate(
        self, call: _call.GenerationCall
    ) -> collections.abc.AsyncGenerator[backends.Chunk, None]:
        """Yield the chunks of one completion, each token exactly once.

        Raises
        ------
        RequestError
            If the request is refused, or no attempt completes it. Chunks that
            were yielded before are then an incomplete completion.
        WeightsSwapped
            If the completion must be generated again from the start.
        """
        self._budget.deposit()
        progress = _progress.GenerationProgress()
        fingerprint = call.fingerprint
        while True:
            isolated = self._suspects.must_isolate(fingerprint)
            server = await self._finder.find(call, progress, isolated)
            progress.attempts += 1
            started_unix = self._suspects.now()
            try:
                with (
                    server.track(),
                    server.reserve() if isolated else contextlib.nullcontext(),
                ):
                    async with contextlib.aclosing(
                        self._attempt(call, server, progress)
                    ) as chunks:
                        async for chunk in chunks:
                            yield chunk
                server.record_success()
                if isolated:
                    self._suspects.clear(fingerprint)
                return
            except errors.BackendError as error:
                if isinstance(error, errors.ServerCrashed):
                    self._suspects.record_crash(
                        fingerprint, server.name, started_unix
                    )
                self._handle_failure(call, server, progress, error)
            except _ResumeAfterSwap:
                progress.attempts -= 1
                progress.swap_resumes += 1
            except errors.WeightsSwapped:
                raise
            except errors.StaleWeights:
                # The engine runs an older version than it reported, or newer
                # versions were published meanwhile: continue on an engine
                # whose weights are fresh.
                progress.may_have_run = True
                progress.excluded.add(server.name)
                if (
                    not call.idempotent
                    or progress.attempts >= MAX_GENERATION_ATTEMPTS
                ):
                    raise

    def check_freshness(
        self,
        call: _call.GenerationCall,
        chunks: collections.abc.Iterable[backends.Chunk],
    ) -> None:
        """Raise ``StaleWeights`` if any chunk is outside the bound by now."""
        for version in {c.weight_version for c in chunks if c.tokens}:
            self._version_tracker.check_freshness(
                call.model, version, call.freshness_bound
            )

    async def _attempt(
        self,
        call: _call.GenerationCall,
        server: backends.BackendServer,
        progress: _progress.GenerationProgress,
    ) -> collections.abc.AsyncGenerator[backends.Chunk, None]:
        engine_call = backends.EngineCall(
            # Callers may reuse a request id, for example when they retry on
            # another entry. Engines must not confuse the two generations when
            # one of them is cancelled, or reconnected to.
            request_id=progress.make_attempt_id(call.request_id),
            model=call.model,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            seed=call.seed,
            generated=progress.text,
            generated_tokens=progress.tokens,
            priority=call.priority,
            timeout_seconds=self._get_remaining_seconds(call),
        )
        finished = False
        latency_timer = server.start_latency_timer()
        stream = self._stream_with_reconnect(server, engine_call, progress)
        try:
            async with contextlib.aclosing(stream) as chunks:
                async for chunk in chunks:
                    latency_timer.stop()
                    server.record_version(chunk.weight_version)
                    self._version_tracker.check_freshness(
                        call.model, chunk.weight_version, call.freshness_bound
                    )
                    self._handle_swap(call, chunk, progress)
                    new_chunk = progress.add_chunk(chunk)
                    finished = bool(chunk.finish_reason)
                    if new_chunk is not None:
                        yield new_chunk
        finally:
            latency_timer.stop()
            if not finished:
                await self._cancel(server, engine_call.request_id)

    def _handle_swap(
        self,
        call: _call.GenerationCall,
        chunk: backends.Chunk,
        progress: _progress.GenerationProgress,
    ) -> None:
        """End the attempt if the swap policy requires it after `chunk`.

        The policy applies to idempotent requests, when `chunk` is the first
        of newer weights.

        Raises
        ------
        WeightsSwapped
            If the completion must be generated again from the start.
        _ResumeAfterSwap
            If the new weights must process the text so far first.
        """
        if progress.versions is None or not chunk.tokens:
            return
        oldest, newest = progress.versions
        if chunk.weight_version <= newest or not call.idempotent:
            return
        policy = weights.SWAP_POLICIES[call.settings.swap or 'finish']
        action = policy.decide(
            weights.SwapContext(
                oldest,
                self._version_tracker.find_oldest_fresh(
                    call.model, call.freshness_bound
                ),
                call.is_whole,
            )
        )
        if action is weights.SwapAction.RESTART:
            raise errors.WeightsSwapped(
                f'version {chunk.weight_version} replaced version {oldest} '
                'during the generation',
                step='swap',
            )
        if action is weights.SwapAction.RESUME:
            # The next tokens of the new version are not another swap.
            progress.versions = (oldest, chunk.weight_version)
            raise _ResumeAfterSwap

    async def _stream_with_reconnect(
        self,
        server: backends.BackendServer,
        engine_call: backends.EngineCall,
        progress: _progress.GenerationProgress,
    ) -> collections.abc.AsyncGenerator[backends.Chunk, None]:
        """Yield the chunks of the stream, reconnecting once if it breaks."""
        try:
            async with contextlib.aclosing(
                self._engines.stream(server, engine_call)
            ) as chunks:
                async for chunk in chunks:
                    yield chunk
                return
        except errors.AnswerBroken as error:
            LOG.info(
                'reconnecting to the generation on the same engine: %s', error
            )
        reconnected = False
        try:
            async with contextlib.aclosing(
                self._engines.resume(server, engine_call, progress.tokens)
            ) as chunks:
                async for chunk in chunks:
                    reconnected = True
                    yield chunk
        except errors.BackendError as error:
            # A server that cannot continue the stream of a generation that it
            # had started counts as crashed. This includes one that is just
            # crashing and still accepts a connection, only to break it again.
            if reconnected:
                raise
            raise errors.ServerCrashed(
                error.message, step='resume', peer=error.peer
            ) from error

    def _get_remaining_seconds(self, call: _call.GenerationCall) -> float:
        return max(call.deadline - anyio.current_time(), 0.0)

    def _handle_failure(
        self,
        call: _call.GenerationCall,
        server: backends.BackendServer,
        progress: _progress.GenerationProgress,
        error: errors.BackendError,
    ) -> None:
        """Record the failure of an attempt; raise unless it can be retried."""
        progress.excluded.add(server.name)
        rejected = isinstance(
            error, (errors.BackendRefused, errors.BackendUnreachable)
        )
        progress.may_have_run |= not rejected
        if not isinstance(error, errors.BackendRefused):
            server.record_failure()
        if not rejected and not call.idempotent:
            raise errors.OutcomeUnknown(
                error.message, step=error.step, peer=error.peer
            ) from error
        if (
            progress.attempts >= MAX_GENERATION_ATTEMPTS
            or self._get_remaining_seconds(call) <= 0
            or not self._try_withdraw_retry(progress)
        ):
            raise _server_finder.build_request_error(
                progress, error
            ) from error
        LOG.info('retrying request %s after error: %s', call.request_id, error)

    def _try_withdraw_retry(
        self, progress: _progress.GenerationProgress
    ) -> bool:
        # Another engine that continues a generation processes the text so far
        # and generates only the missing tokens, which adds little load.
        # Starting again adds more, and needs the retry budget.
        return progress.tokens > 0 or self._budget.try_withdraw()

    async def _cancel(
        self, server: backends.BackendServer, request_id: str
    ) -> None:
        with anyio.CancelScope(shield=True):
            try:
                await self._engines.cancel(server, request_id)
            except errors.BackendError as error:
                LOG.debug('generation not cancelled: %s', error)
