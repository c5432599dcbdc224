import random

import anyio
import pytest

from swiftjunction import errors
from swiftjunction import objectstore
from swiftjunction.objectstore import _breaker
from swiftjunction.objectstore import _rate_limiter

pytestmark = pytest.mark.anyio


def make_resilient_store(store, clock=None):
    options = {'clock': clock} if clock is not None else {}
    return objectstore.ResilientObjectStore(
        store, lambda: 1, random.Random(0), **options
    )


class TestRateLimiter:
    def make(self, calls_per_second, *clock):
        shares = calls_per_second / _rate_limiter.SHARES_PER_PROCESS
        rate_limiter = _rate_limiter.RateLimiter(shares, lambda: 1, *clock)
        rate_limiter._tokens = 0
        return rate_limiter

    @pytest.mark.parametrize(
        ('processes', 'calls_per_second'),
        [(1, 1200), (16, 75), (240, 5), (1140, 5)],
    )
    def test_the_rate_is_divided_between_processes(
        self, processes, calls_per_second
    ):
        rate_limiter = _rate_limiter.RateLimiter(300, lambda: processes)
        assert rate_limiter.calls_per_second == calls_per_second

    async def test_waiting_categories_are_served_in_turn(self, clock):
        rate_limiter = self.make(200, clock)
        order = []

        async def acquire(use):
            await rate_limiter.acquire(use)
            order.append(use)

        async with anyio.create_task_group() as tasks:
            for use in ['claims'] * 12 + ['steps'] * 4:
                tasks.start_soon(acquire, use)
            while sum(rate_limiter.count_waiting().values()) < 16:
                await anyio.sleep(0.001)
            clock.now += 8.5 / 200
            while len(order) < 8:
                await anyio.sleep(0.001)
            assert order.count('steps') == 4
            clock.now += 1

    async def test_lease_renewals_never_wait(self):
        rate_limiter = self.make(10)
        with anyio.fail_after(2):
            for _ in range(100):
                await rate_limiter.acquire('leases')
        assert rate_limiter._tokens < -50

    async def test_a_call_that_would_wait_too_long_is_refused_at_once(self):
        rate_limiter = self.make(10)
        rate_limiter._tokens = -100
        with anyio.fail_after(2):
            with pytest.raises(
                errors.PlatformUnavailable, match='rate limit reached'
            ) as caught:
                await rate_limiter.acquire('claims')
        assert caught.value.step == 'budget of claims'

    async def test_a_cancelled_call_leaves_the_queue(self):
        rate_limiter = self.make(10)
        with anyio.move_on_after(0.01):
            await rate_limiter.acquire('claims')
        assert rate_limiter.count_waiting() == {}


class TestCircuitBreaker:
    def make(self, clock):
        return _breaker.CircuitBreaker(random.Random(0), clock)

    def test_the_breaker_opens_after_consecutive_failures(self, clock):
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

    def test_an_open_breaker_admits_one_trial_call_at_a_time(self, clock):
        breaker = self.make(clock)
        for _ in range(_breaker.FAILURES_TO_OPEN):
            breaker.record_failure(OSError('gone'))
        trial_calls = 0
        for _ in range(3600):
            clock.now += 1
            if breaker.admit_call():
                trial_calls += 1
                breaker.record_failure(OSError('gone'))
        assert 3600 / _breaker.MAX_BACKOFF_SECONDS <= trial_calls
        assert trial_calls <= 3600 / (_breaker.MAX_BACKOFF_SECONDS / 2) + 10
        assert breaker.outage_seconds() == 3600
        breaker.record_success()
        assert breaker.admit_call()
        assert breaker.outage_seconds() == 0


class TestResilientStore:
    async def test_calls_fail_at_once_during_a_reported_outage(
        self, store, clock
    ):
        resilient = make_resilient_store(store, clock)
        store.faults = ['refuse'] * 9
        for _ in range(3):
            with pytest.raises(errors.PlatformUnavailable):
                await resilient.list('claims/')
        remaining_faults = len(store.faults)
        with pytest.raises(
            errors.PlatformUnavailable, match='been unavailable'
        ):
            await resilient.list('claims/')
        assert len(store.faults) == remaining_faults
        clock.now += 3
        assert resilient.summarize()['state'] == 'outage'
        assert resilient.outage_seconds() == 3
        store.faults = []
        await resilient.list('claims/')
        assert resilient.summarize()['state'] == 'answers'

    async def test_lease_renewals_pass_an_open_breaker(self, store, clock):
        resilient = make_resilient_store(store, clock)
        store.faults = ['refuse'] * 5
        for _ in range(2):
            with pytest.raises(errors.PlatformUnavailable):
                await resilient.list('claims/')
        assert resilient.summarize()['state'] == 'outage'
        await resilient.create('leases/orders/1', b'1')
        assert resilient.summarize()['state'] == 'answers'

    async def test_conflicts_do_not_open_the_breaker(self, store):
        resilient = make_resilient_store(store)
        await resilient.create('claims/a', b'1')
        for _ in range(10):
            with pytest.raises(errors.RevisionConflict):
                await resilient.create('claims/a', b'2')
        assert resilient.summarize()['state'] == 'answers'


@pytest.mark.parametrize(
    ('faults', 'version'),
    [
        (['lose', 'ok'], 2),
        (['lose', 'refuse', 'ok'], 2),
        # The write never arrives and is retried.
        (['drop', 'ok', 'ok'], 2),
        (['drop', 'ok', 'lose', 'ok'], 2),
        # The write arrives between the read and the retry.
        (['delay', 'ok', 'land', 'ok'], 2),
        # The outcome cannot be determined.
        (['lose'] + ['refuse'] * 6, None),
    ],
)
@pytest.mark.parametrize('write', ['create', 'update'])
async def test_an_uncertain_write_is_resolved(store, faults, version, write):
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


async def test_an_uncertain_write_that_was_overwritten_stays_uncertain(store):
    await store.create('claims/a', b'1')
    store.faults = ['lose']
    read = store.read

    async def read_after_another(key):
        await store.update(key, b'3', store.objects[key].version)
        return await read(key)

    store.read = read_after_another
    with pytest.raises(errors.WriteUncertain, match='another writer changed'):
        await objectstore.update_or_confirm(store, 'claims/a', b'2', 1)
