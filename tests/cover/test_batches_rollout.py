import anyio
import pytest

from swiftjunction import backends
from swiftjunction import batches
from swiftjunction import errors
from swiftjunction import telemetry
from tests.cover import test_batches_planning


class ExpiringLease:
    """A lease that has expired once the rollout is about to send an order."""

    fencing_token = 7

    def __init__(self, expirations):
        self.expirations = expirations
        self.checks = 0

    def check(self, needed_seconds=0.0):
        self.checks += 1
        # The rollout checks once per iteration, and more often per order.
        if self.checks > 1 and self.expirations:
            self.expirations -= 1
            raise errors.LeaseLost('the lease has expired', step='check')

    def check_predecessor_done(self, seconds):
        pass


class FakeEngineClient(batches.SampleEngineClient):
    """Accepts each order, or refuses all of them for their fencing token."""

    def __init__(self, fenced=False):
        self.fenced = fenced
        self.orders = []

    def generate(
        self, server, host, sample, after_number, check, organisation=''
    ):
        raise NotImplementedError

    async def read_report(self, server):
        return batches.EngineReport({'m': 1}, busy=False, orders=0)

    async def send_order(self, server, order, check):
        check()
        if self.fenced:
            raise errors.LeaseLost(
                'the engine has seen a higher fencing token', step='order'
            )
        self.orders.append((server.name, order.version))
        return False


class OddEngineClient(FakeEngineClient):
    """The call ``odd_call`` of each odd engine raises an unexpected error."""

    def __init__(self, odd_call, odd_engines=('e0', 'e1')):
        super().__init__()
        self.odd_call = odd_call
        self.odd_engines = odd_engines
        self.odd_calls = 0

    def fail_if_odd(self, server, call):
        if call == self.odd_call and server.name in self.odd_engines:
            self.odd_calls += 1
            raise RecursionError('too deep')

    async def read_report(self, server):
        self.fail_if_odd(server, 'report')
        versions = {name: version for name, version in self.orders}
        version = versions.get(server.name, 1)
        return batches.EngineReport({'m': version}, busy=False, orders=0)

    async def send_order(self, server, order, check):
        self.fail_if_odd(server, 'order')
        return await super().send_order(server, order, check)


async def run_rollout(
    client, lease, seconds=0.6, engine_count=3, allocator=None, odd_service=''
):
    pool = test_batches_planning.EnginePool(engine_count)
    services = ['s']
    if odd_service:
        services.insert(0, odd_service)
        pool.directory.update(
            backends.ServerReport('odd-1', 'odd-1:1', odd_service, 'dc')
        )
    rollout = batches.VersionRollout(
        pool.registry,
        client,
        allocator or batches.EngineAllocator(),
        'vm-1',
        telemetry.Metrics(),
        lambda model: False,
    )
    rollout.set_target_version('m', 2)
    with anyio.move_on_after(seconds):
        await rollout.run(lambda: services, lease, 0.0)


@pytest.mark.anyio
class TestLease:
    async def test_late_lease_renewal_only_delays_the_order(self):
        # Guards against a late renewal that ends the rollout, and with it all
        # work of the coordinator and all running samples. Seen five times on
        # day trouble-1 of diurna-turneu-grown: a renewal was 0.3 s late.
        client = FakeEngineClient()
        await run_rollout(client, ExpiringLease(expirations=1))
        assert client.orders

    async def test_higher_fencing_token_at_an_engine_ends_the_rollout(self):
        with pytest.raises(BaseExceptionGroup) as caught:
            await run_rollout(
                FakeEngineClient(fenced=True), ExpiringLease(expirations=0)
            )
        assert caught.group_contains(errors.LeaseLost)

    async def test_lease_that_expires_while_connecting_only_delays_the_order(
        self,
    ):
        class LeaseThatExpiresWhileConnecting(ExpiringLease):
            def check(self, needed_seconds=0.0):
                # Only the check on the open connection asks for no time.
                if not needed_seconds and self.expirations:
                    self.expirations -= 1
                    raise errors.LeaseLost('expired', step='check')

        client = FakeEngineClient()
        lease = LeaseThatExpiresWhileConnecting(expirations=1)
        await run_rollout(client, lease, seconds=1.5)
        assert client.orders
        assert lease.expirations == 0


@pytest.mark.anyio
class TestUnexpectedErrors:
    @pytest.mark.parametrize('odd_call', ['report', 'order'])
    async def test_errors_of_two_engines_stop_no_orders_of_the_others(
        self, odd_call, caplog
    ):
        client = OddEngineClient(odd_call)
        await run_rollout(
            client, ExpiringLease(expirations=0), 3.0, engine_count=5
        )
        assert {name for name, _ in client.orders} == {'e2', 'e3', 'e4'}
        # Of each engine after 0.1, 0.6 and 1.6 s; the next one after 3.6 s.
        assert client.odd_calls <= 2 * 3
        records = [r for r in caplog.records if r.exc_info]
        assert len(records) == client.odd_calls
        assert {r.server for r in records} == {'e0', 'e1'}

    async def test_an_error_in_the_allocation_of_a_service_stops_no_other(
        self, caplog
    ):
        class OddAllocator(batches.EngineAllocator):
            odd_calls = 0

            def allocate(self, engines, target_versions):
                if any(e.server.report.service == 'odd' for e in engines):
                    OddAllocator.odd_calls += 1
                    raise RecursionError('too deep')
                return super().allocate(engines, target_versions)

        client = FakeEngineClient()
        await run_rollout(
            client,
            ExpiringLease(expirations=0),
            1.4,
            allocator=OddAllocator(),
            odd_service='odd',
        )
        assert {name for name, _ in client.orders} >= {'e0', 'e1'}
        # After 0.1 and 0.6 s; the next one is due after 1.6 s.
        assert OddAllocator.odd_calls == 2
        records = [r for r in caplog.records if r.exc_info]
        assert [r.service for r in records] == ['odd', 'odd']
