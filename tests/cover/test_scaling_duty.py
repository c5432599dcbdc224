"""Orders of servers under the coordinator's lease, in virtual time."""

import contextlib

import anyio
import pytest

from swiftjunction import backends
from swiftjunction import duties
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import membership
from swiftjunction import routes
from swiftjunction import scaling
from swiftjunction import telemetry
from tests import virtualtime

LIMITS = scaling.ServiceScaling(
    'engines',
    min_servers=1,
    max_servers=8,
    boot_seconds=4.0,
    spot_price=0.25,
    prices={'dc-1': 0.9, 'dc-2': 1.0, 'dc-3': 1.2},
)
LEASE_SECONDS = 3.0


@pytest.fixture
def anyio_backend():
    return 'asyncio', {'loop_factory': virtualtime.VirtualTimeLoop}


class FakeApi(duties.DutyApi):
    """Notes orders, and answers as listed; then carries all of them out."""

    def __init__(self):
        self.orders = []
        self.outcomes = []
        self.done = []
        self.seconds = 0.0

    async def report_usage(self, lease, report):
        raise NotImplementedError

    async def order_servers(self, lease, order):
        lease.check(1.0)
        outcome = self.outcomes.pop(0) if self.outcomes else True
        self.orders.append((anyio.current_time(), order, lease.fencing_token))
        if outcome is errors.WriteUncertain:
            await anyio.sleep(1)
        if isinstance(outcome, bool):
            await anyio.sleep(self.seconds)
            self.done.append((order.data_center, order.is_spot, order.servers))
            return outcome
        if not issubclass(outcome, errors.SwiftjunctionError):
            raise outcome
        raise outcome('scripted', step='test')

    def list_subjects(self):
        return [
            (order.data_center, order.is_spot, order.servers)
            for _, order, _ in self.orders
        ]


class World:
    """A service of three servers in each data center, and its duty.

    In the first one are three spot servers more.
    """

    def __init__(self, store, limits=LIMITS):
        self.api = FakeApi()
        self.directory = backends.Directory(
            membership.RecordTable(), anyio.current_time
        )
        self.active_routes = routes.ActiveRoutes()
        self.active_routes.update(
            routes.RouteTable(
                1, [], routes.ConnectionLimits(), scalings=[limits]
            )
        )
        for data_center in LIMITS.prices:
            for index in range(3):
                self.add(f'{data_center}-{index}', data_center)
        for index in range(3):
            self.add(f'spot-{index}', 'dc-1', is_spot=True)
        self.archive = scaling.OrderArchive(store)

    def add(self, name, data_center, **changes):
        self.directory.update(
            backends.ServerReport(
                name, '10.0.0.1:1', 'engines', data_center, slots=4, **changes
            )
        )

    def take_spot_servers(self):
        for index in range(3):
            self.add(
                f'spot-{index}',
                'dc-1',
                is_spot=True,
                state='leaving',
                leaves_seconds=2.5,
            )

    def make_lease(self, token=5, has_predecessor=False):
        now = anyio.current_time()
        return leases.Lease(
            'coordinator',
            token,
            now + LEASE_SECONDS,
            anyio.current_time,
            has_predecessor,
            margin_seconds=0.4,
        )

    @contextlib.asynccontextmanager
    async def run(self, lease, renews=True):
        duty = duties.ScalingDuty(
            self.api,
            self.archive,
            self.active_routes,
            self.directory,
            list,
            telemetry.Metrics(),
            LEASE_SECONDS,
            10,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(duty.run, lease)
            if renews:
                tasks.start_soon(self._renew, lease)
            yield
            tasks.cancel_scope.cancel()

    async def _renew(self, lease):
        while True:
            await anyio.sleep(0.9)
            lease.extend(anyio.current_time() + LEASE_SECONDS)


@pytest.mark.anyio
class TestScalingDuty:
    async def test_what_is_there_is_recorded_and_nothing_is_ordered(
        self, store
    ):
        world = World(store)
        async with world.run(world.make_lease()):
            await anyio.sleep(30)
            record, _ = await world.archive.read('engines')
        assert world.api.orders == []
        assert record.target == 12
        assert {row.servers for row in record.subjects} == {3}

    async def test_servers_taken_away_are_replaced_elsewhere_at_once(
        self, store
    ):
        world = World(store)
        async with world.run(world.make_lease()):
            await anyio.sleep(20)
            world.take_spot_servers()
            taken_at = anyio.current_time()
            await anyio.sleep(20)
        at, _, _ = world.api.orders[0]
        assert at - taken_at <= 1.1
        assert ('dc-2', True, 2) in world.api.list_subjects()
        assert all(
            not o.is_spot or o.data_center != 'dc-1'
            for t, o, _ in world.api.orders
            if t - taken_at < 10
        )

    async def test_an_order_without_a_response_is_sent_again_unchanged(
        self, store
    ):
        world = World(store)
        world.api.outcomes = [errors.WriteUncertain] * 4
        async with world.run(world.make_lease()):
            await anyio.sleep(20)
            world.take_spot_servers()
            await anyio.sleep(12)
        numbers = {}
        for _, order, token in world.api.orders:
            key = order.data_center, order.is_spot
            assert numbers.setdefault(key, order.servers) == order.servers
            assert token == 5
        assert len(world.api.orders) >= 5

    async def test_a_refused_order_goes_to_another_data_center_after_a_renewal(
        self, store
    ):
        world = World(store)
        world.api.outcomes = [False, False]
        async with world.run(world.make_lease()):
            await anyio.sleep(20)
            world.take_spot_servers()
            await anyio.sleep(6)
        subjects = world.api.list_subjects()
        assert len(set(subjects[:2])) == 2
        # All spot servers were refused in these two: a regular one is next.
        assert any(not is_spot for _, is_spot, _ in subjects[2:])
        first, third = world.api.orders[0][0], world.api.orders[2][0]
        assert third - first >= 0.9

    async def test_an_unexpected_error_of_one_order_does_not_end_the_others(
        self, store
    ):
        world = World(store)
        world.api.outcomes = [RecursionError]
        world.api.seconds = 0.1
        async with world.run(world.make_lease()):
            await anyio.sleep(20)
            world.take_spot_servers()
            await anyio.sleep(5)
        first, second = world.api.list_subjects()[:2]
        assert first[0] != second[0]
        assert second in world.api.done
        assert world.api.list_subjects().count(second) == 1
        # The first one is sent again, unchanged.
        assert first in world.api.done

    async def test_an_order_with_an_unexpected_error_may_be_carried_out(
        self, store
    ):
        world = World(store)
        world.api.outcomes = [RecursionError] * 100
        async with world.run(world.make_lease()):
            await anyio.sleep(20)
            world.take_spot_servers()
            await anyio.sleep(20)
        # Nothing is ordered anew for it while it may be open.
        first_at = {}
        for at, order, _ in world.api.orders:
            key = order.data_center, order.is_spot
            assert at - first_at.setdefault(key, at) <= 11
        assert len(world.api.orders) >= 5

    async def test_orders_without_memory_end_the_duty(self, store):
        world = World(store)
        world.api.outcomes = [MemoryError]
        with pytest.RaisesGroup(MemoryError, flatten_subgroups=True):
            async with world.run(world.make_lease()):
                await anyio.sleep(20)
                world.take_spot_servers()
                await anyio.sleep(5)

    async def test_nothing_is_sent_under_a_lease_that_is_not_renewed(
        self, store
    ):
        world = World(store)
        async with world.run(world.make_lease(), renews=False):
            await anyio.sleep(20)
            world.take_spot_servers()
            await anyio.sleep(10)
        assert world.api.orders == []

    async def test_a_successor_waits_and_keeps_what_was_ordered(self, store):
        world = World(store)
        world.api.outcomes = [errors.WriteUncertain] * 9
        async with world.run(world.make_lease()):
            await anyio.sleep(20)
            world.take_spot_servers()
            await anyio.sleep(2.5)
        ordered = {
            (order.data_center, order.is_spot): order.servers
            for _, order, _ in world.api.orders
        }
        count = len(world.api.orders)
        began_at = anyio.current_time()
        async with world.run(world.make_lease(9, has_predecessor=True)):
            await anyio.sleep(14)
            # No other number of these subjects while they may be open.
            for at, order, token in world.api.orders[count:]:
                key = order.data_center, order.is_spot
                assert ordered.get(key, order.servers) == order.servers
                assert token == 9
                assert at - began_at >= LEASE_SECONDS
            await anyio.sleep(20)
        # They did not come, and were ordered again then.
        assert len(world.api.orders) > count

    async def test_nothing_is_ordered_while_it_cannot_be_recorded(self, store):
        world = World(store)
        async with world.run(world.make_lease()):
            await anyio.sleep(20)
            world.take_spot_servers()
            store.faults = ['refuse'] * 3
            await anyio.sleep(2.5)
            assert world.api.orders == []
            await anyio.sleep(2)
        assert world.api.orders

    async def test_limits_that_cannot_be_kept_are_logged_once(
        self, store, caplog
    ):
        limits = scaling.ServiceScaling(
            'engines', min_servers=3, max_servers=2, prices={'dc-1': 1.0}
        )
        world = World(store, limits)
        async with world.run(world.make_lease()):
            await anyio.sleep(20)
        assert world.api.orders == []
        assert caplog.text.count('min 3 is above max 2') == 1
