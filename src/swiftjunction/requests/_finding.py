"""Finds the engine of a generation's next attempt."""

import anyio

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.requests import _call
from swiftjunction.requests import _progress
from swiftjunction import routing
from swiftjunction import weights

NO_SERVER_WAIT_SECONDS = 0.1
# Within this time new weights are on all engines, or something is wrong.
FRESH_WAIT_SECONDS = 8.0
# How long a service without one live server may be a mere blip.
BLIP_SECONDS = 1.0


class ServerFinder:
    """Waits for an engine where one may come, and refuses where none will.

    Parameters
    ----------
    router : Router
        Chooses among the engines.
    board : VersionTracker
        Knows which versions are fresh.
    """

    __slots__ = ('_board', '_missing', '_router')

    def __init__(
        self, router: routing.Router, board: weights.VersionTracker
    ) -> None:
        self._router = router
        self._board = board
        self._missing: set[tuple[str, int]] = set()

    async def find(
        self,
        call: _call.GenerationCall,
        progress: _progress.Progress,
        alone: bool,
    ) -> backends.BackendServer:
        """Return the next server, waiting while one may come.

        A request that nobody will serve in time is given up at once.
        """
        started_at = anyio.current_time()
        while True:
            try:
                request = self._describe(call, progress, alone)
                server = await self._router.acquire(
                    request, call.settings.policy or ''
                )
                self._missing.clear()
                return server
            except (errors.ServersBusy, errors.StaleWeights) as error:
                # A newer version than the newest comes with no notice.
                raise describe_failure(progress, error) from error
            except errors.NotRun as error:
                waited_seconds = anyio.current_time() - started_at
                if not self._may_wait(request, waited_seconds):
                    raise describe_failure(progress, error) from error
            progress.excluded.clear()
            await anyio.sleep(NO_SERVER_WAIT_SECONDS)

    def _describe(
        self,
        call: _call.GenerationCall,
        progress: _progress.Progress,
        alone: bool,
    ) -> routing.RoutingRequest:
        return routing.RoutingRequest(
            path=call.path,
            service=call.model,
            prompt=call.prompt,
            min_version=self._board.find_oldest_fresh(call.model, call.bound),
            excluded=frozenset(progress.excluded),
            alone=alone,
            request_class=call.request_class,
            max_load=call.max_load,
            deadline=call.deadline,
        )

    def _may_wait(
        self, request: routing.RoutingRequest, waited_seconds: float
    ) -> bool:
        """Tell whether a server that may run the request can come in time.

        What one request has waited for in vain, the next ones do not wait
        for: until an engine has the version, they are refused at once.
        """
        wanted = (request.service, request.min_version)
        if wanted in self._missing and not request.is_narrow():
            return False
        limit_seconds = (
            FRESH_WAIT_SECONDS
            if self._router.has_live(request.service)
            else BLIP_SECONDS
        )
        if waited_seconds >= limit_seconds:
            self._missing = {wanted}
            return False
        remaining_seconds = request.deadline - anyio.current_time()
        return remaining_seconds > NO_SERVER_WAIT_SECONDS


def describe_failure(
    progress: _progress.Progress, error: errors.SwiftjunctionError
) -> errors.RequestError:
    """Return what the caller of a generation is told."""
    if isinstance(error, errors.StaleWeights):
        return error
    # A refusal of the last attempt does not undo an earlier attempt that
    # ran: only when none did is "not run" true.
    kind = errors.OutcomeUnknown if progress.may_have_run else errors.NotRun
    return kind(
        error.message,
        step=error.step,
        peer=error.peer,
        retry_after_seconds=getattr(error, 'retry_after_seconds', 1.0),
    )
