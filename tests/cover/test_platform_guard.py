import random

import anyio
import pytest

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.objectstore import _breaker
from swiftjunction.objectstore import _rate_limiter

pytestmark = pytest.mark.anyio


def guard(store, clock=None):
    options = {'clock': clock} if clock is not None else {}
    return objectstore.ResilientObjectStore(
        store, lambda: 1, random.Random(0), **options
    )


class TestBudget:
    def make(self, calls_per_second, *clock):
        shares = calls_per_second / _rate_limiter.SHARES_PER_PROCESS
        budget = _rate_limiter.RateLimiter(shares, lambda: 1, *clock)
        budget._tokens = 0
        return budget

    @pytest.mark.parametrize(
        ('processes', 'calls_per_second'),
        [(1, 1200), (16, 75), (240, 5), (1140, 5)],
    )
    def test_each_process_has_its_shares(self, processes, calls_per_second):
        budget = _rate_limiter.RateLimiter(300, lambda: processes)
        assert budget.calls_per_second == calls_per_second

    async def test_uses_that_wait_take_turns(self, clock):
        budget = self.make(200, clock)
        order = []

        async def acquire(use):
            await budget.acquire(use)
            order.append(use)

        async with anyio.create_task_group() as tasks:
            for use in ['claims'] * 12 + ['steps'] * 4:
                tasks.start_soon(acquire, use)
            while sum(budget.count_waiting().values()) < 16:
                await anyio.sleep(0.001)
            clock.now += 8.5 / 200
            while len(order) < 8:
                await anyio.sleep(0.001)
            assert order.count('steps') == 4
            clock.now += 1

    async def test_renewals_of_leases_never_wait(self):
        budget = self.make(10)
        with anyio.fail_after(2):
            for _ in range(100):
                await budget.acquire('leases')
        assert budget._tokens < -50

    async def test_what_would_wait_too_long_is_refused_at_once(self):
        budget = self.make(10)
        budget._tokens = -100
        with anyio.fail_after(2):
            with pytest.raises(
                errors.PlatformUnavailable, match='used up'
            ) as caught:
                await budget.acquire('claims')
        assert caught.value.step == 'budget of claims'

    async def test_a_call_that_gives_up_leaves_its_place(self):
        budget = self.make(10)
        with anyio.move_on_after(0.01):
            await budget.acquire('claims')
        assert budget.count_waiting() == {}


class TestBreaker:
    def make(self, clock):
        return _breaker.CircuitBreaker(random.Random(0), clock)

    def test_it_opens_after_failures_in_a_row(self, clock):
        breaker = self.make(clock)
        for number in range(_breaker.FAILURES_TO_OPEN):
            assert not breaker.is_open
            if number == 2:
                breaker.record_success()
        for _ in range(_breaker.FAILURES_TO_OPEN):
            assert breaker.admit_call()
            breaker.record_failure(OSError('gone'))
        assert breaker.is_open
        assert not breaker.admit_call()

    def test_one_call_at_a_time_tries_again(self, clock):
        breaker = self.make(clock)
        for _ in range(_breaker.FAILURES_TO_OPEN):
            breaker.record_failure(OSError('gone'))
        tries = 0
        for _ in range(3600):
            clock.now += 1
            if breaker.admit_call():
                tries += 1
                breaker.record_failure(OSError('gone'))
        assert 3600 / _breaker.MAX_BACKOFF_SECONDS <= tries
        assert tries <= 3600 / (_breaker.MAX_BACKOFF_SECONDS / 2) + 10
        assert breaker.outage_seconds() == 3600
        breaker.record_success()
        assert breaker.admit_call()
        assert breaker.outage_seconds() == 0


class TestGuard:
    async def test_an_outage_is_shown_and_calls_fail_at_once(
        self, store, clock
    ):
        guarded = guard(store, clock)
        store.faults = ['refuse'] * 9
        for _ in range(3):
            with pytest.raises(errors.PlatformUnavailable):
                await guarded.list('claims/')
        left = len(store.faults)
        with pytest.raises(errors.PlatformUnavailable, match='been out'):
            await guarded.list('claims/')
        assert len(store.faults) == left
        clock.now += 3
        assert guarded.summarize()['state'] == 'outage'
        assert guarded.outage_seconds() == 3
        store.faults = []
        await guarded.list('claims/')
        assert guarded.summarize()['state'] == 'answers'

    async def test_renewals_of_leases_go_through_an_open_breaker(
        self, store, clock
    ):
        guarded = guard(store, clock)
        store.faults = ['refuse'] * 5
        for _ in range(2):
            with pytest.raises(errors.PlatformUnavailable):
                await guarded.list('claims/')
        assert guarded.summarize()['state'] == 'outage'
        await guarded.create('leases/orders/1', b'1')
        assert guarded.summarize()['state'] == 'answers'

    async def test_conflicts_do_not_open_the_breaker(self, store):
        guarded = guard(store)
        await guarded.create('claims/a', b'1')
        for _ in range(10):
            with pytest.raises(errors.RevisionConflict):
                await guarded.create('claims/a', b'2')
        assert guarded.summarize()['state'] == 'answers'


@pytest.mark.parametrize(
    ('faults', 'version'),
    [
        (['lose', 'ok'], 2),
        (['lose', 'refuse', 'ok'], 2),
        # Never arrived, and is sent again.
        (['drop', 'ok', 'ok'], 2),
        (['drop', 'ok', 'lose', 'ok'], 2),
        # Arrives between the read and the second write.
        (['delay', 'ok', 'land', 'ok'], 2),
        # Neither could be found out.
        (['lose'] + ['refuse'] * 6, None),
    ],
)
@pytest.mark.parametrize('write', ['create', 'update'])
async def test_an_uncertain_write_is_settled(store, faults, version, write):
    await store.create('claims/a', b'1')
    if write == 'create':
        del store.objects['claims/a']
    store.faults = list(faults)

    async def run():
        if write == 'create':
            return await objectstore.create_or_confirm(store, 'claims/a', b'2')
        return await objectstore.update_or_confirm(store, 'claims/a', b'2', 1)

    if version is None:
        with pytest.raises(errors.WriteUncertain):
            await run()
    else:
        assert await run() == version
        assert store.objects['claims/a'].value == b'2'


async def test_a_write_that_another_one_replaced_stays_uncertain(store):
    await store.create('claims/a', b'1')
    store.faults = ['lose']
    read = store.read

    async def read_after_another(key):
        await store.update(key, b'3', store.objects[key].version)
        return await read(key)

    store.read = read_after_another
    with pytest.raises(errors.WriteUncertain, match='by another'):
        await objectstore.update_or_confirm(store, 'claims/a', b'2', 1)
