import anyio
import msgspec
import pytest

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import requests

TIMEOUT_SECONDS = 0.4


class SlowService(backends.ServiceTransport):
    """Responds after a delay and records which servers were called."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.called = []

    async def call(self, server, call):
        self.called.append(server.name)
        await anyio.sleep(self.seconds)
        return backends.ServiceResponse(200, [], b'', 'signed')

    async def is_crashed(self, server):
        return False


class FirstRouter:
    """Chooses the first server that is not excluded."""

    def __init__(self, names):
        self.servers = [
            backends.BackendServer(
                backends.ServerReport(
                    name=name,
                    address='h:1',
                    service='s',
                    data_center='d',
                    state='live',
                )
            )
            for name in names
        ]

    async def acquire(self, request, policy):
        for server in self.servers:
            if server.name not in request.excluded:
                return server
        raise errors.NotRun('no server', step='route')


def make_forwarder(service, budget=None):
    return requests.Forwarder(
        FirstRouter(['a', 'b']),
        service,
        None,
        budget or requests.RetryBudget(),
        requests.SuspectTracker(
            requests.RecordCrashRegistry(membership.RecordTable()), 'vm'
        ),
    )


def make_call(max_attempts):
    return requests.ForwardedCall(
        path='/p',
        settings=configuration.PathSettings(service='s'),
        service_call=backends.ServiceCall('r', 'POST', '/p', '', b'', [], 0.0),
        deadline=anyio.current_time() + TIMEOUT_SECONDS,
        idempotent=True,
        max_attempts=max_attempts,
        attempt_seconds=TIMEOUT_SECONDS / 2,
    )


def exhaust(budget):
    while budget.try_withdraw():
        pass
    return budget


@pytest.mark.anyio
class TestAttemptTimeout:
    async def test_a_silent_server_makes_the_request_try_another_one(self):
        service = SlowService(TIMEOUT_SECONDS)
        with pytest.raises(errors.OutcomeUnknown):
            await make_forwarder(service).forward(make_call(max_attempts=2))
        assert service.called == ['a', 'b']

    async def test_the_last_attempt_may_use_all_of_the_remaining_time(self):
        # Guards against ending the last attempt early: calls then failed after
        # half of their timeout, although no other server was left to try.
        service = SlowService(TIMEOUT_SECONDS * 0.75)
        response = await make_forwarder(service).forward(make_call(1))
        assert response.status == 200

    async def test_without_retry_budget_the_first_attempt_is_not_cut_short(
        self,
    ):
        service = SlowService(TIMEOUT_SECONDS * 0.75)
        forwarder = make_forwarder(service, exhaust(requests.RetryBudget()))
        response = await forwarder.forward(make_call(max_attempts=4))
        assert response.status == 200
        assert service.called == ['a']


class UncheckableService(SlowService):
    """A check of any of its servers gets no response."""

    async def is_crashed(self, server):
        await anyio.sleep_forever()


@pytest.mark.anyio
async def test_the_check_of_a_silent_server_leaves_time_for_a_retry():
    service = UncheckableService(10.0)
    call = msgspec.structs.replace(
        make_call(max_attempts=2),
        deadline=anyio.current_time() + 2.0,
        attempt_seconds=1.0,
    )
    with anyio.fail_after(3.0), pytest.raises(errors.OutcomeUnknown):
        await make_forwarder(service).forward(call)
    assert service.called == ['a', 'b']


class CrashingService(SlowService, backends.StreamTransport):
    """Crashes every server that starts the request."""

    async def open_stream(self, server, call, position):
        self.called.append(server.name)
        raise errors.AnswerBroken('reset', step='test', peer=server.name)

    async def is_crashed(self, server):
        return True


@pytest.mark.anyio
async def test_a_stream_request_that_crashed_two_servers_is_refused():
    service = CrashingService(0.0)
    relay = requests.StreamRelay(
        FirstRouter(['a', 'b', 'c', 'd']),
        service,
        service,
        requests.RetryBudget(),
        requests.SuspectTracker(
            requests.RecordCrashRegistry(membership.RecordTable()), 'vm'
        ),
    )
    for expected in (errors.RequestError, errors.PoisonRefused):
        with pytest.raises(expected):
            await relay.open(make_call(max_attempts=4), resumable=True)
    assert service.called == ['a', 'b']
