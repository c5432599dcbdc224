"""Forwarding of requests to plain services."""

import contextlib
import logging
import math

import anyio
import msgspec

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction.requests import _budget
from swiftjunction.requests import _claims
from swiftjunction.requests import _evidence
from swiftjunction.requests import _runs
from swiftjunction.requests import _suspects
from swiftjunction import routing

LOG = logging.getLogger(__name__)

MAX_SERVICE_ATTEMPTS = 4
RETRY_DELAY_SECONDS = 0.05


class ForwardedCall(msgspec.Struct, frozen=True):
    """One request to a plain service.

    Attributes
    ----------
    settings : PathSettings
        Settings of `path`.
    service_call : ServiceCall
        The request as it is sent; each attempt sets its timeout.
    deadline : float
        On the event loop's clock, in seconds.
    idempotent : bool
        Whether another attempt may be made after one that may have run.
    idempotency_key : str
        The key that the caller sent; empty if there is none.
    max_attempts : int
        Maximum number of attempts, each on another backend server. The retry
        budget may allow fewer.
    attempt_seconds : float
        Timeout of each attempt of an idempotent request, in seconds. An
        attempt that no other one can follow may last until the deadline.
    deferred : bool
        Whether it scores a sample. Crashes of servers do not make such a
        request a suspect.
    rank : int
        Priority of the request, where 0 is the highest: that of the caller's
        organisation, or of the route if the organisation has none.
    """

    path: str
    settings: configuration.PathSettings
    service_call: backends.ServiceCall
    deadline: float
    idempotent: bool
    idempotency_key: str = ''
    max_attempts: int = MAX_SERVICE_ATTEMPTS
    attempt_seconds: float = math.inf
    deferred: bool = False
    rank: int = 0

    @property
    def fingerprint(self) -> str:
        """Return an identifier that retries of the same request share.

        Deferred requests have none.
        """
        if self.deferred:
            return _suspects.NO_FINGERPRINT
        return _suspects.make_fingerprint(
            self.path,
            self.service_call.method,
            self.service_call.path,
            self.service_call.query or '',
            self.service_call.body,
        )


class Forwarder:
    """Forwards requests to the servers of plain services, with retries.

    Parameters
    ----------
    router : Router
        Chooses the server of each attempt.
    services : ServiceTransport
        Sends requests to the chosen server.
    claims : ClaimStore
        Claims the idempotency keys of requests that are not idempotent.
    budget : RetryBudget
        Limits the retries of all requests together.
    suspects : SuspectTracker
        Tracks the requests that may crash servers.
    directory : Directory, optional
        Tells which servers have ended.
    runs : RunListener, optional
        Counts the requests of organisations that began to run.
    """

    __slots__ = (
        '_budget',
        '_claims',
        '_observer',
        '_router',
        '_runs',
        '_services',
        '_suspects',
    )

    def __init__(
        self,
        router: routing.Router,
        services: backends.ServiceTransport,
        claims: _claims.ClaimStore,
        budget: _budget.RetryBudget,
        suspects: _suspects.SuspectTracker,
        directory: backends.Directory | None = None,
        runs: _runs.RunListener | None = None,
    ) -> None:
        self._runs = runs or _runs.NoRunListener()
        self._observer = _evidence.CrashObserver(services, suspects, directory)
        self._suspects = suspects
        self._router = router
        self._services = services
        self._claims = claims
        self._budget = budget

    async def forward(self, call: ForwardedCall) -> backends.ServiceResponse:
        """Return the response of the first attempt that gets one.

        A request that is not idempotent and repeats an idempotency key gets
        the response that is stored for the key.

        Raises
        ------
        NotRun
            If the request did not run on any server.
        OutcomeUnknown
            If the request may have run.
        PoisonRefused
            If the request was involved in several crashes of servers.
        RequestUnsendable
            If no server can get the request.
        """
        self._budget.deposit()
        # Refuses the request here if it must not run at all.
        self._suspects.must_isolate(call.fingerprint)
        if call.idempotent or not call.idempotency_key:
            return await self._run(call)
        claim = await self._claims.claim(call.path, call.idempotency_key)
        if claim.response is not None:
            return claim.response
        try:
            response = await self._run(call)
        except (errors.NotRun, errors.RequestUnsendable):
            await claim.release()
            raise
        await claim.store_response(response)
        return response

    async def _run(self, call: ForwardedCall) -> backends.ServiceResponse:
        with _runs.track_run(
            self._runs, call.service_call.organisation
        ) as run:
            return await self._make_attempts(call, run)

    async def _make_attempts(
        self, call: ForwardedCall, run: _runs.RequestRun
    ) -> backends.ServiceResponse:
        excluded: set[str] = set()
        may_have_run = False
        last_error: errors.BackendError | None = None
        for attempts_left in reversed(range(call.max_attempts)):
            if last_error is not None and not self._budget.try_withdraw():
                break
            may_retry = attempts_left > 0 and self._budget.can_withdraw()
            try:
                # Earlier attempts of this call may have crashed servers.
                isolated = self._suspects.must_isolate(call.fingerprint)
                response = await self._attempt(
                    call, run, excluded, isolated, may_retry
                )
                if isolated:
                    self._suspects.clear(call.fingerprint)
                return response
            except (errors.NotRun, errors.PoisonRefused):
                if last_error is None:
                    raise
                break
            except errors.BackendError as error:
                LOG.info(
                    'attempt failed: %s',
                    error,
                    extra={'request_id': call.service_call.request_id},
                )
                # Its traceback refers to this frame: the cycle would keep the
                # body of the request until the next garbage collection.
                last_error = error.with_traceback(None)
                run.record_failure(error)
                if isinstance(error, errors.AnswerBroken):
                    may_have_run = True
                    if not call.idempotent:
                        break
            if call.deadline - anyio.current_time() <= RETRY_DELAY_SECONDS:
                break
            await anyio.sleep(RETRY_DELAY_SECONDS)
        assert last_error is not None
        error_type = errors.OutcomeUnknown if may_have_run else errors.NotRun
        raise error_type(
            last_error.message, step=last_error.step, peer=last_error.peer
        ) from last_error

    async def _attempt(
        self,
        call: ForwardedCall,
        run: _runs.RequestRun,
        excluded: set[str],
        isolated: bool,
        may_retry: bool,
    ) -> backends.ServiceResponse:
        server = await self._router.acquire(
            routing.RoutingRequest(
                path=call.path,
                service=call.settings.service or '',
                excluded=frozenset(excluded),
                isolated=isolated,
                request_class=call.settings.request_class or 'live',
                deadline=call.deadline,
                organisation=call.service_call.organisation,
            ),
            call.settings.policy or '',
        )
        excluded.add(server.name)
        latency_timer = server.start_latency_timer()
        # The attempt gets at least 1 ms, also if the deadline has passed.
        remaining_seconds = max(call.deadline - anyio.current_time(), 0.001)
        service_call = msgspec.structs.replace(
            run.watch(call.service_call), timeout_seconds=remaining_seconds
        )
        async with self._observer.observe(call.fingerprint, server):
            try:
                with (
                    server.track(),
                    server.reserve() if isolated else contextlib.nullcontext(),
                ):
                    response = await self._call_with_timeout(
                        call, server, service_call, may_retry
                    )
            except (errors.BackendUnreachable, errors.AnswerBroken):
                server.record_failure()
                raise
            finally:
                latency_timer.stop()
        server.record_success()
        LOG.info(
            'attempt received a response',
            extra={
                'request_id': call.service_call.request_id,
                'server': server.name,
                'in_flight': server.in_flight,
                'status': response.status,
                'remaining_seconds': round(remaining_seconds, 3),
            },
        )
        return response

    async def _call_with_timeout(
        self,
        call: ForwardedCall,
        server: backends.BackendServer,
        service_call: backends.ServiceCall,
        may_retry: bool,
    ) -> backends.ServiceResponse:
        # An attempt that no other one can follow gets all of the time that is
        # left, as ending it early would only fail the request.
        timeout_seconds = service_call.timeout_seconds
        if call.idempotent and may_retry:
            timeout_seconds = min(timeout_seconds, call.attempt_seconds)
        with anyio.move_on_after(timeout_seconds):
            return await self._services.call(server, service_call)
        raise errors.AnswerBroken(
            f'no response within {timeout_seconds:.3f} s',
            step='call',
            peer=server.name,
        )
