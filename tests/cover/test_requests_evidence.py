import anyio
import pytest

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import requests
from swiftjunction.requests import _evidence

pytestmark = pytest.mark.anyio


class Services(backends.ServiceTransport):
    """Servers whose check has one result for all."""

    def __init__(self, crashed=False):
        self.crashed = crashed

    async def call(self, server, call):
        raise NotImplementedError

    async def is_crashed(self, server):
        return self.crashed


class Scene:
    """One server, and the crashes recorded under requests at it."""

    def __init__(self, clock, crashed=False):
        self.clock = clock
        table = membership.RecordTable()
        self.directory = backends.Directory(table)
        self.suspects = requests.SuspectTracker(
            requests.RecordCrashRegistry(table), 'vm', clock
        )
        self.observer = _evidence.CrashObserver(
            Services(crashed), self.suspects, self.directory
        )
        self.list_server(1)

    def list_server(self, born_ms, state='live'):
        self.directory.update(
            backends.ServerReport(
                's', 'h:1', 'plain', 'dc', state=state, born_ms=born_ms
            )
        )

    async def attempt(self, error, fingerprint='f'):
        with pytest.raises(type(error)):
            async with self.observer.observe(
                fingerprint, self.directory.get('s')
            ):
                raise error

    def count(self):
        return self.suspects.count_crashes('f')


def make_error(error_type=errors.AnswerBroken):
    return error_type('failed', step='call', peer='s')


async def test_a_refused_connection_shows_a_crash_at_once(clock):
    scene = Scene(clock, crashed=True)
    await scene.attempt(make_error())
    assert scene.count() == 1


@pytest.mark.parametrize(
    'error_type', [errors.AnswerBroken, errors.RequestTimeout]
)
async def test_a_later_start_shows_a_crash(clock, error_type):
    scene = Scene(clock)
    await scene.attempt(make_error(error_type))
    assert scene.count() == 0
    clock.now += 3
    scene.list_server(2)
    assert scene.count() == 1


async def test_an_end_that_is_listed_during_the_attempt_shows_a_crash(clock):
    scene = Scene(clock)
    with pytest.raises(errors.RequestTimeout):
        async with scene.observer.observe('f', scene.directory.get('s')):
            clock.now += 3
            scene.directory.remove('s')
            assert scene.count() == 0
            clock.now += 3
            raise make_error(errors.RequestTimeout)
    assert scene.count() == 1


async def test_an_end_before_the_attempt_does_not_count(clock):
    scene = Scene(clock)
    scene.list_server(0)
    scene.directory.remove('s')
    clock.now += 1
    scene.list_server(0)
    await scene.attempt(make_error())
    assert scene.count() == 0


async def test_a_cancelled_check_is_resolved_later(clock):
    scene = Scene(clock)
    scene.observer._services.is_crashed = lambda server: anyio.sleep_forever()
    with anyio.move_on_after(0.05):
        await scene.attempt(make_error())
    scene.directory.remove('s')
    assert scene.count() == 1


@pytest.mark.parametrize(
    'error_type', [errors.BackendUnreachable, errors.BackendRefused]
)
async def test_a_request_that_did_not_run_is_not_suspected(clock, error_type):
    scene = Scene(clock, crashed=True)
    await scene.attempt(make_error(error_type))
    scene.directory.remove('s')
    assert scene.count() == 0


async def test_a_server_that_left_as_planned_did_not_crash(clock):
    scene = Scene(clock)
    await scene.attempt(make_error())
    scene.list_server(1, 'leaving')
    scene.directory.remove('s')
    assert scene.count() == 0


async def test_an_end_long_after_the_attempt_is_not_its_crash(clock):
    scene = Scene(clock)
    await scene.attempt(make_error())
    clock.now += 6.1
    scene.directory.remove('s')
    assert scene.count() == 0


async def test_requests_handed_in_for_later_are_never_suspected(clock):
    scene = Scene(clock)
    await scene.attempt(make_error(), fingerprint='')
    scene.directory.remove('s')
    assert scene.suspects.summarize() == {}
