"""A receiver that refuses the fencing token of the coordinator."""

import contextlib

import anyio
import pytest

from swiftjunction import batches
from swiftjunction import coordination
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import supervision
from swiftjunction import telemetry
from tests.cover import test_batches_planning
from tests.cover import test_batches_rollout
from tests.cover import test_coordination

pytestmark = pytest.mark.anyio

TIMING = leases.LeaseTiming(
    ttl_seconds=6.0,
    margin_seconds=0.4,
    renew_interval_seconds=2.0,
    retry_interval_seconds=0.1,
)


class IdleRunner:
    """Stands for the batches, which each term opens again."""

    def __init__(self):
        self.tokens = []

    async def run(self, lease):
        self.tokens.append(lease.fencing_token)
        await anyio.sleep_forever()


class IdleEvents(coordination.DeploymentEvents):
    async def follow_versions(self, set_target_version):
        set_target_version('m', 2)
        await anyio.sleep_forever()

    async def acknowledge_drains(self):
        await anyio.sleep_forever()


class RefusedDuty(coordination.Duty):
    """Its receiver refuses the first of its calls, or all of them."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.tokens = []

    async def run(self, lease):
        while True:
            self.tokens.append(lease.fencing_token)
            if self.refusals:
                self.refusals -= 1
                raise errors.LeaseLost('fenced', step='test', peer='api')
            await anyio.sleep(0.3)


class RefusingEngineClient(test_batches_rollout.FakeEngineClient):
    """One engine refuses every order."""

    def __init__(self):
        super().__init__()
        self.refused = []

    async def read_report(self, server):
        version = dict(self.orders).get(server.name, 1)
        return batches.EngineReport({'m': version}, busy=False, orders=0)

    async def send_order(self, server, order, check):
        check()
        if server.name == 'e0':
            self.refused.append(order.fencing_token)
            raise errors.LeaseLost('412', step='order', peer='e0')
        return await super().send_order(server, order, check)


class Term:
    """A coordinator with a rollout and duties."""

    def __init__(self, store, client, *duties):
        metrics = telemetry.Metrics()
        pool = test_batches_planning.EnginePool(5)
        self.runner = IdleRunner()
        member = test_coordination.make_member('vm-1')
        members = coordination.MemberTable(member)
        members.apply_entry(test_coordination.make_entry(member))
        self.keeper = leases.LeaseKeeper(store, 'l', 'vm-1', timing=TIMING)
        self.coordinator = coordination.Coordinator(
            self.keeper,
            TIMING,
            members,
            coordination.ControlLoops(
                self.runner,
                batches.VersionRollout(
                    pool.registry,
                    client,
                    batches.EngineAllocator(),
                    'vm-1',
                    metrics,
                    lambda model: False,
                ),
                IdleEvents(),
                lambda: {'s'},
                0.0,
                0.0,
                supervision.Supervisor(metrics),
                duties,
            ),
        )


@contextlib.asynccontextmanager
async def run_term(term):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(term.coordinator.run)
        yield
        tasks.cancel_scope.cancel()


async def test_the_refusal_of_one_engine_stops_no_other_order(store):
    client = RefusingEngineClient()
    term = Term(store, client)
    async with run_term(term):
        await anyio.sleep(4.0)
    assert {name for name, _ in client.orders} == {'e1', 'e2', 'e3', 'e4'}
    # One term, in which the engine gets no order again under its token.
    assert len(term.runner.tokens) == 1
    assert client.refused == term.runner.tokens


async def test_a_refused_duty_goes_on_in_a_term_with_a_higher_token(store):
    duty = RefusedDuty(refusals=1)
    term = Term(store, RefusingEngineClient(), duty)
    async with run_term(term):
        await anyio.sleep(3.0)
    first, second = term.runner.tokens
    assert first < second
    assert duty.tokens[0] == first
    assert set(duty.tokens[1:]) == {second}


async def test_a_duty_that_is_always_refused_ends_few_terms(store):
    duty = RefusedDuty(refusals=1000)
    term = Term(store, RefusingEngineClient(), duty)
    async with run_term(term):
        await anyio.sleep(6.0)
    assert len(term.runner.tokens) == 2
    assert duty.tokens == term.runner.tokens


async def test_a_refusal_because_of_another_holder_ends_the_term_at_once(
    store,
):
    term = Term(store, RefusingEngineClient())
    async with run_term(term):
        with anyio.fail_after(1.0):
            while not term.runner.tokens:
                await anyio.sleep(0.01)
        item = await store.read('leases/l')
        await store.update(
            'leases/l', item.value.replace(b'vm-1', b'vm-2'), item.version
        )
        # The next renewal would be due after 2 s.
        await anyio.sleep(1.0)
        assert term.coordinator.lease is None
