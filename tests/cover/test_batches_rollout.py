import anyio
import pytest

from swiftjunction import batches
from swiftjunction import errors
from swiftjunction import telemetry
from tests.cover import test_batches_planning


class LapsingLease:
    """Holds while the rollout looks, and has lapsed when it acts."""

    token = 7

    def __init__(self, lapses):
        self.lapses = lapses
        self.checks = 0

    def check(self, needed_seconds=0.0):
        self.checks += 1
        # The rollout checks once a round, and once more for each order.
        if self.checks > 1 and self.lapses:
            self.lapses -= 1
            raise errors.LeaseLost('has lapsed', step='check')

    def check_settled(self, seconds):
        pass


class Engines(batches.SampleEngineClient):
    """Takes each order, or says that a higher token was seen."""

    def __init__(self, fenced=False):
        self.fenced = fenced
        self.orders = []

    def generate(self, server, host, item, after):
        raise NotImplementedError

    async def read_report(self, server):
        return batches.EngineReport({'m': 1}, busy=False, orders=0)

    async def send_order(self, server, order):
        if self.fenced:
            raise errors.LeaseLost('a higher token was seen', step='order')
        self.orders.append((server.name, order.version))
        return False


async def run_rollout(engines, lease, seconds=0.6):
    world = test_batches_planning.World()
    rollout = batches.VersionRollout(
        world.book,
        engines,
        batches.EngineAllocator(),
        'vm-1',
        telemetry.Metrics(),
        lambda model: False,
    )
    rollout.set_target_version('m', 2)
    with anyio.move_on_after(seconds):
        await rollout.run(lambda: {'s'}, lease, 0.0)


@pytest.mark.anyio
class TestLease:
    async def test_an_order_waits_for_a_lease_that_is_renewed_late(self):
        # trouble-1 of diurna-turneu-grown: a renewal that came 0.3 s late
        # ended the whole duty, and with it all samples that ran; five times.
        engines = Engines()
        await run_rollout(engines, LapsingLease(lapses=1))
        assert engines.orders

    async def test_a_higher_token_at_an_engine_ends_the_duty(self):
        with pytest.raises(BaseExceptionGroup) as caught:
            await run_rollout(Engines(fenced=True), LapsingLease(lapses=0))
        assert caught.group_contains(errors.LeaseLost)
