"""Sends requests on to plain services."""

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
from swiftjunction.requests import _suspects
from swiftjunction import routing

LOG = logging.getLogger(__name__)

MAX_ATTEMPTS = 4
RETRY_DELAY_SECONDS = 0.05


class ForwardedCall(msgspec.Struct, frozen=True):
    """One request for a plain service.

    Attributes
    ----------
    idempotency_key : str
        Given by the caller; empty where there is none.
    max_attempts : int
        How many backend servers may be tried.
    attempt_seconds : float
        Of an idempotent request: without an answer by then, another server
        is tried, if one may be.
    """

    path: str
    settings: configuration.PathSettings
    service_call: backends.ServiceCall
    deadline: float
    idempotent: bool
    idempotency_key: str = ''
    max_attempts: int = MAX_ATTEMPTS
    attempt_seconds: float = math.inf

    @property
    def fingerprint(self) -> str:
        """Return what is the same when the request is sent again."""
        return _suspects.make_fingerprint(
            self.path,
            self.service_call.method,
            self.service_call.path,
            self.service_call.query,
            self.service_call.body,
        )


class Forwarder:
    """Runs a request on one server of a plain service.

    Parameters
    ----------
    router : Router
        Chooses the server.
    services : ServiceTransport
        Calls it.
    claims : Claims
        Claims the idempotency key of what may run only once.
    budget : RetryBudget
        Bounds the retries of all requests together.
    suspects : SuspectList
        Knows the requests that servers crashed under.
    """

    __slots__ = ('_budget', '_claims', '_router', '_services', '_suspects')

    def __init__(
        self,
        router: routing.Router,
        services: backends.ServiceTransport,
        claims: _claims.Claims,
        budget: _budget.RetryBudget,
        suspects: _suspects.SuspectList,
    ) -> None:
        self._suspects = suspects
        self._router = router
        self._services = services
        self._claims = claims
        self._budget = budget

    async def forward(self, call: ForwardedCall) -> backends.ServiceResponse:
        """Return the whole answer.

        Raises
        ------
        NotRun
            If the request ran nowhere.
        OutcomeUnknown
            If it may have run.
        """
        self._budget.note_request()
        self._suspects.check(call.fingerprint)
        if call.idempotent or not call.idempotency_key:
            return await self._run(call)
        claim = await self._claims.claim(call.path, call.idempotency_key)
        if claim.answer is not None:
            return claim.answer
        try:
            answer = await self._run(call)
        except errors.NotRun:
            await claim.release()
            raise
        await claim.keep_answer(answer)
        return answer

    async def _run(self, call: ForwardedCall) -> backends.ServiceResponse:
        alone = self._suspects.check(call.fingerprint)
        excluded: set[str] = set()
        may_have_run = False
        last: errors.BackendError | None = None
        for attempts_left in reversed(range(call.max_attempts)):
            if last is not None and not self._budget.take_retry():
                break
            may_retry = attempts_left > 0 and self._budget.has_retry()
            try:
                answer = await self._attempt(call, excluded, alone, may_retry)
                if alone:
                    self._suspects.clear(call.fingerprint)
                return answer
            except errors.NotRun:
                if last is None:
                    raise
                break
            except errors.BackendError as error:
                LOG.info(
                    'attempt failed: %s',
                    error,
                    extra={'request_id': call.service_call.request_id},
                )
                last = error
                if isinstance(error, errors.AnswerBroken):
                    may_have_run = True
                    if not call.idempotent:
                        break
            if call.deadline - anyio.current_time() <= RETRY_DELAY_SECONDS:
                break
            await anyio.sleep(RETRY_DELAY_SECONDS)
        assert last is not None
        kind = errors.OutcomeUnknown if may_have_run else errors.NotRun
        raise kind(last.message, step=last.step, peer=last.peer) from last

    async def _attempt(
        self,
        call: ForwardedCall,
        excluded: set[str],
        alone: bool,
        may_retry: bool,
    ) -> backends.ServiceResponse:
        server = await self._router.acquire(
            routing.RoutingRequest(
                path=call.path,
                service=call.settings.service or '',
                excluded=frozenset(excluded),
                alone=alone,
                request_class=call.settings.request_class or 'live',
                deadline=call.deadline,
            ),
            call.settings.policy or '',
        )
        excluded.add(server.name)
        began = self._suspects.now()
        latency_timer = server.start_latency_timer()
        remaining_seconds = max(call.deadline - anyio.current_time(), 0.001)
        service_call = msgspec.structs.replace(
            call.service_call, timeout_seconds=remaining_seconds
        )
        try:
            with (
                server.track(),
                server.reserve() if alone else contextlib.nullcontext(),
            ):
                answer = await self._call_in_time(
                    call, server, service_call, may_retry
                )
        except errors.BackendUnreachable:
            server.record_failure()
            raise
        except errors.AnswerBroken:
            server.record_failure()
            if await self._services.is_crashed(server):
                self._suspects.note_crash(call.fingerprint, server.name, began)
            raise
        finally:
            latency_timer.stop()
        server.record_success()
        LOG.info(
            'attempt answered',
            extra={
                'request_id': call.service_call.request_id,
                'server': server.name,
                'in_flight': server.in_flight,
                'status': answer.status,
                'remaining_seconds': round(remaining_seconds, 3),
            },
        )
        return answer

    async def _call_in_time(
        self,
        call: ForwardedCall,
        server: backends.BackendServer,
        service_call: backends.ServiceCall,
        may_retry: bool,
    ) -> backends.ServiceResponse:
        limit_seconds = service_call.timeout_seconds
        if call.idempotent and may_retry:
            limit_seconds = min(limit_seconds, call.attempt_seconds)
        with anyio.move_on_after(limit_seconds):
            return await self._services.call(server, service_call)
        raise errors.AnswerBroken(
            f'no answer within {limit_seconds:.3f} s',
            step='call',
            peer=server.name,
        )
