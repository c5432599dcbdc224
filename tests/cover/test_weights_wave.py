import contextlib

import anyio
import httpx
import msgspec
import pytest

from swiftjunction import backends
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import membership
from swiftjunction import standins
from swiftjunction import telemetry
from swiftjunction import weights
from swiftjunction.weights import _rollout
from swiftjunction.weights import _staging

pytestmark = pytest.mark.anyio

ROLLOUT_TIMEOUT_SECONDS = 10


class DirectEngines:
    """Delivers orders to stand-ins in this process, without HTTP."""

    def __init__(self, engines):
        self.engines = engines

    async def send_order(self, address, order, check):
        check()
        await anyio.lowlevel.checkpoint()
        if self.engines[address].faults.get('crashed'):
            raise errors.BackendUnreachable('crashed', peer=address)
        try:
            self.engines[address].apply_order(order)
        except Exception as error:
            raise errors.AnswerBroken(str(error), peer=address) from error


class RolloutHarness:
    """Engine stand-ins, their reports, and one controller of their shard."""

    def __init__(self, store, count, checks_fencing=True):
        self.table = membership.RecordTable()
        self.directory = backends.Directory(self.table)
        self.version_tracker = weights.VersionTracker(self.table)
        self.history = weights.VersionHistory('fit')
        self.weights = standins.WeightStoreStandin(0.01, 4)
        client = httpx.AsyncClient(
            transport=httpx.ASGITransport(app=self.weights.build_app()),
            base_url='http://weights',
        )
        self.engines = {
            f'engine-{number}': standins.EngineStandin(
                f'engine-{number}',
                'fit',
                client,
                checks_fencing=checks_fencing,
            )
            for number in range(count)
        }
        self.keeper = leases.LeaseKeeper(store, 'orders/1', 'a')
        self.controller = weights.RolloutController(
            self.directory,
            self.version_tracker,
            self.keeper,
            backends.OrderSender(
                DirectEngines(self.engines), lambda model: checks_fencing
            ),
            lambda name: True,
            anyio.sleep,
            telemetry.Metrics(),
        )

    @contextlib.asynccontextmanager
    async def run(self):
        await self.keeper.acquire()
        async with anyio.create_task_group() as tasks:
            for engine in self.engines.values():
                tasks.start_soon(engine.run)
            tasks.start_soon(self._report_periodically)
            tasks.start_soon(self.controller.run)
            yield self
            tasks.cancel_scope.cancel()

    def publish(self, source=0):
        version = self.history.add(0.0, source)
        self.table.put('weights/fit', msgspec.json.encode(self.history))
        return version

    async def wait_for(self, version):
        with anyio.fail_after(ROLLOUT_TIMEOUT_SECONDS):
            while any(
                engine.weight_version != version
                for engine in self.engines.values()
            ):
                await anyio.sleep(0.01)

    async def _report_periodically(self):
        while True:
            for name, engine in self.engines.items():
                status = engine.describe_status()
                down = engine.faults.get('crashed')
                report = backends.ServerReport(
                    name,
                    name,
                    'fit',
                    'dc-1',
                    state='down' if down else 'live',
                    weight_version=0 if down else status.weight_version,
                    staged_version=0 if down else status.staged_version,
                )
                self.table.put(
                    f'server/{name}', msgspec.msgpack.encode(report)
                )
            await anyio.sleep(0.01)


@pytest.mark.parametrize(
    ('fault', 'number'),
    [
        ('fail_orders', 3),
        ('ignore_orders', 1),
        ('fail_swaps', 2),
        ('crashed', 1),
    ],
)
async def test_an_engine_reaches_the_newest_version_after_a_fault(
    store, monkeypatch, fault, number
):
    monkeypatch.setattr(_staging, 'INITIAL_TIMEOUT_SECONDS', 0.3)
    monkeypatch.setattr(_staging, 'MIN_TIMEOUT_SECONDS', 0.3)
    async with RolloutHarness(store, 3).run() as harness:
        harness.publish()
        await harness.wait_for(1)
        engine = harness.engines['engine-1']
        engine.faults.set(fault, number)
        harness.publish()
        if fault == 'crashed':
            await anyio.sleep(0.2)
            assert engine.weight_version == 0
            engine.faults.set('crashed', 0)
        await harness.wait_for(2)


async def test_a_late_order_of_a_previous_holder_is_corrected(store):
    async with RolloutHarness(store, 2, checks_fencing=False).run() as harness:
        for version in (1, 2):
            harness.publish()
            await harness.wait_for(version)
        engine = harness.engines['engine-0']
        engine.apply_order(backends.Order('activate', 'fit', 1, 0))
        assert engine.weight_version == 1
        await harness.wait_for(2)


async def test_a_late_order_is_refused_by_engines_that_check_fencing(store):
    async with RolloutHarness(store, 2).run() as harness:
        for version in (1, 2):
            harness.publish()
            await harness.wait_for(version)
        with pytest.raises(Exception, match='fencing'):
            harness.engines['engine-0'].apply_order(
                backends.Order('activate', 'fit', 1, 0)
            )


async def test_a_rollback_is_a_new_version_that_reuses_earlier_files(store):
    async with RolloutHarness(store, 2).run() as harness:
        for version in (1, 2):
            harness.publish()
            await harness.wait_for(version)
        harness.publish(source=1)
        await harness.wait_for(3)
        orders = harness.engines['engine-0'].orders
        assert orders[-1].weight_version == 3
        assert orders[-1].source_version == 1


async def test_no_engine_is_activated_before_all_have_staged(store):
    async with RolloutHarness(store, 8).run() as harness:
        harness.publish()
        await harness.wait_for(1)
        staged = [e.staged_version for e in harness.engines.values()]
        for engine in harness.engines.values():
            kinds = [order.kind for order in engine.orders]
            assert kinds.count('stage') == 1
            assert kinds[-1] == 'activate'
        assert staged == [1] * 8


async def test_no_order_is_sent_without_a_lease(store):
    harness = RolloutHarness(store, 2)
    store.faults = ['ok', 'ok'] + ['refuse'] * 50
    async with harness.run():
        harness.keeper.lease = None
        harness.publish()
        await anyio.sleep(0.2)
    assert not any(engine.orders for engine in harness.engines.values())


def make_server(number, version, staged, state='live'):
    return backends.BackendServer(
        backends.ServerReport(
            f'engine-{number}',
            f'engine-{number}',
            'fit',
            'dc-1',
            state=state,
            weight_version=version,
            staged_version=staged,
        )
    )


def test_staged_engines_are_activated_when_staging_stalls():
    rollout = _rollout.Rollout('fit', 2, 2, 100)
    servers = [make_server(0, 1, 2), make_server(1, 1, 1)]
    rollout.update(servers, 100)
    assert rollout.list_activatable(100 + _rollout.STAGING_STALL_SECONDS) == []
    ready = rollout.list_activatable(100.1 + _rollout.STAGING_STALL_SECONDS)
    assert [s.name for s in ready] == ['engine-0']


def test_a_rollout_is_stuck_if_an_engine_stays_behind():
    rollout = _rollout.Rollout('fit', 2, 2, 100)
    rollout.update([make_server(0, 2, 2), make_server(1, 0, 2)], 100)
    assert not rollout.is_stuck(100 + _rollout.STUCK_TIMEOUT_SECONDS)
    assert rollout.is_stuck(100.1 + _rollout.STUCK_TIMEOUT_SECONDS)
    assert rollout.summarize(200)['behind'] == ['engine-1']


@pytest.mark.parametrize('state', ['leaving', 'down', 'gone'])
def test_an_engine_that_is_not_live_does_not_delay_a_rollout(state):
    rollout = _rollout.Rollout('fit', 2, 2, 100)
    rollout.update([make_server(0, 2, 2), make_server(1, 0, 0, state)], 100)
    assert rollout.is_complete()


def test_the_staging_limit_rises_with_fast_fetches_and_halves_on_a_slow_one():
    limiter = _staging.StagingLimiter()
    now = 0.0
    for number in range(40):
        assert limiter.try_start(str(number), now)
        now += 0.1
        limiter.record_staged(str(number), now)
    raised_limit = limiter.limit
    assert raised_limit > 2
    assert limiter.try_start('slow', now)
    limiter.record_staged('slow', now + 1)
    assert limiter.limit <= raised_limit // 2


def test_a_fetch_that_times_out_can_be_started_again():
    limiter = _staging.StagingLimiter()
    assert limiter.try_start('a', 0)
    assert not limiter.try_start('a', 1)
    assert limiter.expire(_staging.INITIAL_TIMEOUT_SECONDS + 1) == ['a']
    assert limiter.try_start('a', 40)
