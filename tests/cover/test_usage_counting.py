"""Which requests count as having begun, and in which window."""

import msgspec
import pytest

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import requests
from swiftjunction import usage
from tests.cover import test_requests_forwarding as forwarding

WINDOW_SECONDS = 5.0


class FakeClock:
    """A clock that a test sets, in Unix seconds."""

    def __init__(self):
        self.seconds = 5000.0

    def __call__(self):
        return self.seconds


class ScriptedService(forwarding.SlowService):
    """Sends each request as far as its script says.

    Parameters
    ----------
    script : list of (bool, Exception or None)
        For each attempt, whether it is sent, and what then happens.
    """

    def __init__(self, script, clock):
        super().__init__(0.0)
        self.script = list(script)
        self.clock = clock

    async def call(self, server, call):
        is_sent, error = self.script.pop(0)
        if is_sent and call.check is not None:
            call.check()
        self.clock.seconds += WINDOW_SECONDS
        if error is not None:
            raise error
        return await super().call(server, call)


def make_error(kind):
    return kind('test', step='test')


async def forward(script, organisation='org', check=None):
    """Forward one request; return what is counted, by window from 0."""
    clock = FakeClock()
    counter = usage.UsageCounter(usage.Windows(WINDOW_SECONDS, 10.0, clock))
    forwarder = forwarding.make_forwarder(ScriptedService(script, clock))
    forwarder._runs = counter
    call = forwarding.make_call(max_attempts=2)
    call = msgspec.structs.replace(
        call,
        service_call=msgspec.structs.replace(
            call.service_call, organisation=organisation, check=check
        ),
    )
    try:
        await forwarder.forward(call)
    except errors.RequestError:
        pass
    assert not counter._undecided
    return {
        entry.window - 1000: entry.count
        for entry in counter.list_untold()
        if entry.count
    }


REFUSED = (True, make_error(errors.BackendRefused))
UNREACHABLE = (False, make_error(errors.BackendUnreachable))
BROKEN = (True, make_error(errors.AnswerBroken))
SERVED = (True, None)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('script', 'counts'),
    [
        ([SERVED], {0: 1}),
        ([REFUSED, SERVED], {1: 1}),
        ([UNREACHABLE, SERVED], {1: 1}),
        # It ran, or may have: a second run of the same request adds nothing.
        ([BROKEN, SERVED], {0: 1}),
        ([BROKEN, REFUSED], {0: 1}),
        ([BROKEN, BROKEN], {0: 1}),
        ([REFUSED, REFUSED], {}),
        ([UNREACHABLE, UNREACHABLE], {}),
    ],
)
async def test_a_request_counts_once_when_it_began(script, counts):
    assert await forward(script) == counts


@pytest.mark.anyio
async def test_a_request_without_an_organisation_is_not_counted():
    assert await forward([SERVED], organisation='') == {}


@pytest.mark.anyio
async def test_a_request_that_a_check_stops_is_not_counted():
    def check():
        raise errors.NotRun('the key was removed', step='test')

    assert await forward([SERVED], check=check) == {}


@pytest.mark.anyio
async def test_a_request_whose_caller_leaves_counts_if_it_was_sent():
    clock = FakeClock()
    counter = usage.UsageCounter(usage.Windows(WINDOW_SECONDS, 10.0, clock))
    run = requests.RequestRun(counter, 'org')
    call = run.watch(backends.ServiceCall('r', 'POST', '/p', '', b'', [], 0.0))
    call.check()
    run.settle()
    run.record_failure(make_error(errors.BackendRefused))
    assert [entry.count for entry in counter.list_untold()] == [1]


def test_a_window_is_complete_once_its_outcomes_are_known():
    clock = FakeClock()
    counter = usage.UsageCounter(usage.Windows(WINDOW_SECONDS, 10.0, clock))
    window = counter.count('org')
    clock.seconds += WINDOW_SECONDS
    assert counter.find_complete() == window - 1
    counter.settle(window)
    assert counter.find_complete() == window


def test_an_unknown_outcome_holds_a_window_up_for_a_second_only():
    clock = FakeClock()
    counter = usage.UsageCounter(usage.Windows(WINDOW_SECONDS, 10.0, clock))
    window = counter.count('org')
    clock.seconds += WINDOW_SECONDS + 1.0
    assert counter.find_complete() == window


def test_a_receipt_of_an_older_message_confirms_no_newer_count():
    clock = FakeClock()
    counter = usage.UsageCounter(usage.Windows(WINDOW_SECONDS, 10.0, clock))
    window = counter.count('org')
    first = counter.list_untold()
    counter.take_back('org', window)
    counter.record_received(2, counter.list_untold())
    counter.count('org')
    counter.record_received(1, first)
    assert [entry.count for entry in counter.list_untold()] == [1]
