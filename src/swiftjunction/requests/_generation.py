"""Runs one generation to its last token, over as many attempts as it takes.

Both live answers and trainers' samples are made here.
"""

import collections.abc
import contextlib
import logging

import anyio

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.requests import _budget
from swiftjunction.requests import _call
from swiftjunction.requests import _finding
from swiftjunction.requests import _progress
from swiftjunction.requests import _suspects
from swiftjunction import routing
from swiftjunction import weights

LOG = logging.getLogger(__name__)

MAX_ATTEMPTS = 6


class _Aborted(Exception):
    """The attempt ended so that new weights read what there is so far."""


class Generator:
    """Makes whole answers out of attempts that may fail.

    Parameters
    ----------
    router : Router
        Chooses the engine of each attempt.
    engines : EngineClient
        Calls it.
    board : VersionTracker
        Knows which versions are fresh.
    budget : RetryBudget
        Bounds the retries of all requests together.
    suspects : SuspectList
        Knows the requests that servers crashed under.
    """

    __slots__ = (
        '_board',
        '_budget',
        '_engines',
        '_finder',
        '_suspects',
    )

    def __init__(
        self,
        router: routing.Router,
        engines: backends.EngineClient,
        board: weights.VersionTracker,
        budget: _budget.RetryBudget,
        suspects: _suspects.SuspectList,
    ) -> None:
        self._finder = _finding.ServerFinder(router, board)
        self._suspects = suspects
        self._engines = engines
        self._board = board
        self._budget = budget

    async def generate(
        self, call: _call.GenerationCall
    ) -> collections.abc.AsyncGenerator[backends.Chunk, None]:
        """Yield the chunks of one answer, each token once, to the last.

        Raises
        ------
        RequestError
            If there is no whole answer within the deadline; what was yielded
            before is then not an answer.
        """
        self._budget.note_request()
        progress = _progress.Progress()
        fingerprint = call.fingerprint
        while True:
            alone = self._suspects.check(fingerprint)
            server = await self._finder.find(call, progress, alone)
            progress.tries += 1
            began = self._suspects.now()
            try:
                with (
                    server.track(),
                    server.reserve() if alone else contextlib.nullcontext(),
                ):
                    async with contextlib.aclosing(
                        self._attempt(call, server, progress)
                    ) as chunks:
                        async for chunk in chunks:
                            yield chunk
                server.note_success()
                if alone:
                    self._suspects.clear(fingerprint)
                return
            except errors.BackendError as error:
                if isinstance(error, errors.ServerCrashed):
                    self._suspects.note_crash(fingerprint, server.name, began)
                self._note_failure(call, server, progress, error)
            except _Aborted:
                progress.tries -= 1
                progress.swaps += 1
            except errors.WeightsSwapped:
                raise
            except errors.StaleWeights:
                # The engine runs older weights than was reported, or newer
                # ones were published meanwhile: go on where they are fresh.
                progress.may_have_run = True
                progress.excluded.add(server.name)
                if not call.idempotent or progress.tries >= MAX_ATTEMPTS:
                    raise

    def check_fresh(
        self,
        call: _call.GenerationCall,
        chunks: collections.abc.Iterable[backends.Chunk],
    ) -> None:
        """Raise ``StaleWeights`` if any chunk is too old by now."""
        for version in {c.weight_version for c in chunks if c.tokens}:
            self._board.check_freshness(call.model, version, call.bound)

    async def _attempt(
        self,
        call: _call.GenerationCall,
        server: backends.BackendServer,
        progress: _progress.Progress,
    ) -> collections.abc.AsyncGenerator[backends.Chunk, None]:
        engine_call = backends.EngineCall(
            # Callers may use an id twice, for example when they turn to
            # another entry; engines must not take the one generation for
            # the other when it is resumed or cancelled.
            request_id=progress.name_attempt(call.request_id),
            model=call.model,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            seed=call.seed,
            generated=progress.text,
            generated_tokens=progress.tokens,
            priority=call.priority,
            timeout_seconds=self._remaining(call),
        )
        finished = False
        wait = server.start_wait()
        stream = self._read_through_breaks(server, engine_call, progress)
        try:
            async with contextlib.aclosing(stream) as chunks:
                async for chunk in chunks:
                    wait.end()
                    server.note_version(chunk.weight_version)
                    self._board.check_freshness(
                        call.model, chunk.weight_version, call.bound
                    )
                    self._follow_swap(call, chunk, progress)
                    fresh = progress.add(chunk)
                    finished = bool(chunk.finish_reason)
                    if fresh is not None:
                        yield fresh
        finally:
            wait.end()
            if not finished:
                await self._cancel(server, engine_call.request_id)

    def _follow_swap(
        self,
        call: _call.GenerationCall,
        chunk: backends.Chunk,
        progress: _progress.Progress,
    ) -> None:
        """End the attempt where the path's policy says so at a swap."""
        if progress.versions is None or not chunk.tokens:
            return
        oldest, newest = progress.versions
        if chunk.weight_version <= newest or not call.idempotent:
            return
        policy = weights.SWAP_POLICIES[call.settings.swap or 'finish']
        action = policy.decide(
            weights.SwapContext(
                oldest,
                self._board.find_oldest_fresh(call.model, call.bound),
                call.is_whole,
            )
        )
        if action is weights.SwapAction.RESTART:
            raise errors.WeightsSwapped(
                f'version {chunk.weight_version} took the place of {oldest} '
                'under the answer',
                step='swap',
            )
        if action is weights.SwapAction.RESUME:
            # What the new weights make next is not a second swap.
            progress.versions = (oldest, chunk.weight_version)
            raise _Aborted

    async def _read_through_breaks(
        self,
        server: backends.BackendServer,
        engine_call: backends.EngineCall,
        progress: _progress.Progress,
    ) -> collections.abc.AsyncGenerator[backends.Chunk, None]:
        """Read the stream, taking it up again once where it breaks."""
        try:
            async with contextlib.aclosing(
                self._engines.stream(server, engine_call)
            ) as chunks:
                async for chunk in chunks:
                    yield chunk
                return
        except errors.AnswerBroken as error:
            LOG.info('resuming after %s', error)
        resumed = False
        try:
            async with contextlib.aclosing(
                self._engines.resume(server, engine_call, progress.tokens)
            ) as chunks:
                async for chunk in chunks:
                    resumed = True
                    yield chunk
        except errors.BackendError as error:
            # A server that gives no more of a generation it had started is
            # taken to have crashed, also where it is dying just now and only
            # breaks the connection once more.
            if resumed:
                raise
            raise errors.ServerCrashed(
                error.message, step='resume', peer=error.peer
            ) from error

    def _remaining(self, call: _call.GenerationCall) -> float:
        return max(call.deadline - anyio.current_time(), 0.0)

    def _note_failure(
        self,
        call: _call.GenerationCall,
        server: backends.BackendServer,
        progress: _progress.Progress,
        error: errors.BackendError,
    ) -> None:
        progress.excluded.add(server.name)
        refused = isinstance(
            error, (errors.BackendRefused, errors.BackendUnreachable)
        )
        progress.may_have_run |= not refused
        if not isinstance(error, errors.BackendRefused):
            server.note_failure()
        if not refused and not call.idempotent:
            raise errors.OutcomeUnknown(
                error.message, step=error.step, peer=error.peer
            ) from error
        if (
            progress.tries >= MAX_ATTEMPTS
            or self._remaining(call) <= 0
            or not self._may_go_on(progress)
        ):
            raise _finding.describe_failure(progress, error) from error
        LOG.info('request %s is retried after %s', call.request_id, error)

    def _may_go_on(self, progress: _progress.Progress) -> bool:
        # Going on with a generation runs only the tokens that are missing,
        # which adds no load; beginning again does.
        return progress.tokens > 0 or self._budget.take_retry()

    async def _cancel(
        self, server: backends.BackendServer, request_id: str
    ) -> None:
        with anyio.CancelScope(shield=True):
            try:
                await self._engines.cancel(server, request_id)
            except errors.BackendError as error:
                LOG.debug('generation not cancelled: %s', error)
