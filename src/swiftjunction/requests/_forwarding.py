"""Sends requests on to plain services."""

import logging

import anyio
import msgspec

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction.requests import _budget
from swiftjunction.requests import _claims
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
    """

    path: str
    settings: configuration.PathSettings
    service_call: backends.ServiceCall
    deadline: float
    idempotent: bool
    idempotency_key: str = ''


class Forwarder:
    """Runs a request on one server of a plain service.

    Parameters
    ----------
    router : Router
        Chooses the server.
    services : ServiceClient
        Calls it.
    claims : Claims
        Claims the idempotency key of what may run only once.
    budget : RetryBudget
        Bounds the retries of all requests together.
    """

    __slots__ = ('_budget', '_claims', '_router', '_services')

    def __init__(
        self,
        router: routing.Router,
        services: backends.ServiceClient,
        claims: _claims.Claims,
        budget: _budget.RetryBudget,
    ) -> None:
        self._router = router
        self._services = services
        self._claims = claims
        self._budget = budget

    async def forward(self, call: ForwardedCall) -> backends.ServiceAnswer:
        """Return the whole answer.

        Raises
        ------
        NotRun
            If the request ran nowhere.
        OutcomeUnknown
            If it may have run.
        """
        self._budget.note_request()
        if not call.idempotent and call.idempotency_key:
            await self._claims.claim(call.path, call.idempotency_key)
        excluded: set[str] = set()
        may_have_run = False
        last: errors.BackendError | None = None
        for _ in range(MAX_ATTEMPTS):
            if last is not None and not self._budget.take_retry():
                break
            try:
                return await self._attempt(call, excluded)
            except errors.NotRun:
                if last is None:
                    raise
                break
            except errors.BackendError as error:
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
        self, call: ForwardedCall, excluded: set[str]
    ) -> backends.ServiceAnswer:
        server = self._router.choose(
            routing.RoutingRequest(
                path=call.path,
                service=call.settings.service or '',
                excluded=frozenset(excluded),
            ),
            call.settings.policy or '',
        )
        excluded.add(server.name)
        remaining_seconds = max(call.deadline - anyio.current_time(), 0.001)
        service_call = msgspec.structs.replace(
            call.service_call, timeout_seconds=remaining_seconds
        )
        try:
            with server.track():
                answer = await self._services.call(server, service_call)
        except (errors.BackendUnreachable, errors.AnswerBroken):
            server.note_failure()
            raise
        server.note_success()
        return answer
