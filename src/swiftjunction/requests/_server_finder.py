"""Selection of the engine for the next attempt of a generation."""

import anyio

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction.requests import _call
from swiftjunction.requests import _progress
from swiftjunction import routing
from swiftjunction import weights

POLL_INTERVAL_SECONDS = 0.1
# New weights are normally active on all engines within this time.
MAX_FRESH_WAIT_SECONDS = 8.0
# How long requests wait for a service that has no live server.
MAX_OUTAGE_WAIT_SECONDS = 1.0


class ServerFinder:
    """Finds an engine for each attempt, waiting if one can become available.

    Parameters
    ----------
    router : Router
        Chooses among the engines.
    version_tracker : VersionTracker
        Knows which weight versions are fresh.
    """

    __slots__ = ('_version_tracker', '_router', '_unavailable')

    def __init__(
        self, router: routing.Router, version_tracker: weights.VersionTracker
    ) -> None:
        self._router = router
        self._version_tracker = version_tracker
        self._unavailable: set[tuple[str, int]] = set()

    async def find(
        self,
        call: _call.GenerationCall,
        progress: _progress.GenerationProgress,
        isolated: bool,
    ) -> backends.BackendServer:
        """Return the server for the next attempt.

        Parameters
        ----------
        isolated : bool
            Whether the request must not share its server.

        Raises
        ------
        RequestError
            As soon as no server can be expected in time.
        """
        started_at = anyio.current_time()
        while True:
            try:
                request = self._build_routing_request(call, progress, isolated)
                server = await self._router.acquire(
                    request, call.settings.policy or ''
                )
                self._unavailable.clear()
                return server
            except (errors.ServersBusy, errors.StaleWeights) as error:
                # With ServersBusy, the queue of the router has already
                # bounded the wait. With StaleWeights, even the newest version
                # is too old, and nothing announces the next one.
                raise build_request_error(progress, error) from error
            except errors.NotRun as error:
                waited_seconds = anyio.current_time() - started_at
                if not self._should_wait(request, waited_seconds):
                    raise build_request_error(progress, error) from error
            # Failed servers may have recovered.
            progress.excluded.clear()
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    def _build_routing_request(
        self,
        call: _call.GenerationCall,
        progress: _progress.GenerationProgress,
        isolated: bool,
    ) -> routing.RoutingRequest:
        return routing.RoutingRequest(
            path=call.path,
            service=call.model,
            prompt=call.prompt,
            min_version=self._version_tracker.find_oldest_fresh(
                call.model, call.freshness_bound
            ),
            excluded=frozenset(progress.excluded),
            isolated=isolated,
            request_class=call.request_class,
            max_load=call.max_load,
            deadline=call.deadline,
        )

    def _should_wait(
        self, request: routing.RoutingRequest, waited_seconds: float
    ) -> bool:
        """Return whether a server for the request can be expected in time.

        After a wait in vain, unrestricted requests for that service and
        version fail at once until any request finds a server or waits in vain.
        """
        wanted = (request.service, request.min_version)
        if wanted in self._unavailable and not request.is_restricted():
            return False
        limit_seconds = (
            MAX_FRESH_WAIT_SECONDS
            if self._router.has_live_server(request.service)
            else MAX_OUTAGE_WAIT_SECONDS
        )
        if waited_seconds >= limit_seconds:
            self._unavailable = {wanted}
            return False
        remaining_seconds = request.deadline - anyio.current_time()
        return remaining_seconds > POLL_INTERVAL_SECONDS


def build_request_error(
    progress: _progress.GenerationProgress, error: errors.SwiftjunctionError
) -> errors.RequestError:
    """Return the error that the caller of a generation receives."""
    if isinstance(error, errors.StaleWeights):
        return error
    # However the last attempt failed, an earlier one may have run.
    error_type = (
        errors.OutcomeUnknown if progress.may_have_run else errors.NotRun
    )
    return error_type(
        error.message,
        step=error.step,
        peer=error.peer,
        retry_after_seconds=getattr(error, 'retry_after_seconds', 1.0),
    )
