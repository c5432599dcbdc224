import anyio
import pytest

from swiftjunction import demo
from swiftjunction import weights

pytestmark = pytest.mark.anyio

# The time within which all processes must receive a version.
PROPAGATION_SECONDS = 1.0


async def test_processes_receive_versions_while_their_conductor_is_down():
    plan = demo.FleetOptions(engines=1, services=1)
    async with demo.Fleet(plan).run() as fleet:
        publisher = weights.Publisher(fleet.create_store_client())
        await fleet.configure()
        await publisher.publish('fit')
        await fleet.wait_ready()
        # Two rounds in which the conductors select their relay peers.
        await anyio.sleep(1.2)
        fleet.scopes['entry-0/conductor'].cancel()
        version = await publisher.publish('fit')
        await anyio.sleep(PROPAGATION_SECONDS)
        for daemon in (fleet.entries['entry-0'], fleet.rollouts['entry-0']):
            assert daemon.version_tracker.find_newest('fit') == version
