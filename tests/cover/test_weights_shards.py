import anyio
import msgspec
import pytest

from swiftjunction.daemons import _shards
from swiftjunction.demo import _fleet
from swiftjunction import errors
from swiftjunction import weights

pytestmark = pytest.mark.anyio


async def read_holders(store):
    found = await store.list('leases/orders/')
    return [
        msgspec.json.decode(item.value)['holder'] for item in found.changed
    ]


async def test_a_conductor_that_stops_releases_its_leases():
    plan = _fleet.FleetOptions(vms=1, engines=4, services=0, scorers=0)
    async with _fleet.Fleet(plan).run() as fleet:
        store = fleet.create_store_client()
        await fleet.configure()
        await weights.Publisher(store).publish('fit')
        await fleet.wait_ready()
        shards = {_shards.compute_shard(name) for name in fleet.engines}
        held = await read_holders(store)
        assert held == ['entry-0/conductor'] * len(shards)
        fleet.conductors['entry-0'].stop()
        with anyio.fail_after(20):
            while any(await read_holders(store)):
                await anyio.sleep(0.05)


async def test_another_conductor_takes_over_the_rollout_of_a_stopped_one():
    plan = _fleet.FleetOptions(vms=2, engines=4, services=0, scorers=0)
    async with _fleet.Fleet(plan).run() as fleet:
        await fleet.configure()
        publisher = weights.Publisher(fleet.create_store_client())
        await publisher.publish('fit')
        await fleet.wait_ready()
        fleet.conductors['entry-0'].stop()
        await publisher.publish('fit')
        with anyio.fail_after(40):
            while any(
                engine.weight_version < 2 for engine in fleet.engines.values()
            ):
                await anyio.sleep(0.05)


async def test_a_rollout_continues_after_an_outage_of_the_object_store():
    plan = _fleet.FleetOptions(vms=1, engines=3, services=0, scorers=0)
    async with _fleet.Fleet(plan).run() as fleet:
        await fleet.configure()
        publisher = weights.Publisher(fleet.create_store_client())
        await publisher.publish('fit')
        await fleet.wait_ready()
        fleet.objects.faults.set('outage', 1)
        with pytest.raises(errors.PlatformUnavailable):
            await publisher.publish('fit')
        conductor = fleet.conductors['entry-0']
        with anyio.fail_after(20):
            while not conductor.store.outage_seconds():
                await anyio.sleep(0.05)
        assert b'"state":"outage"' in conductor.dump.render().replace(
            b' ', b''
        )
        fleet.objects.faults.set('outage', 0)
        await publisher.publish('fit')
        with anyio.fail_after(30):
            while any(
                engine.weight_version < 2 for engine in fleet.engines.values()
            ):
                await anyio.sleep(0.05)
