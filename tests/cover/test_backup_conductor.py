import anyio
import pytest

from swiftjunction import demo
from swiftjunction import weights

pytestmark = pytest.mark.anyio

# By when a version must be known everywhere.
KNOWN_SECONDS = 1.0


async def test_processes_learn_versions_while_their_own_conductor_is_away():
    plan = demo.FleetOptions(engines=1, services=1)
    async with demo.Fleet(plan).run() as fleet:
        publisher = weights.Publisher(fleet.create_store_client())
        await fleet.configure()
        await publisher.publish('fit')
        await fleet.wait_ready()
        # Two rounds in which the conductors look for whom to send to.
        await anyio.sleep(1.2)
        fleet.scopes['entry-0/conductor'].cancel()
        version = await publisher.publish('fit')
        await anyio.sleep(KNOWN_SECONDS)
        for daemon in (fleet.entries['entry-0'], fleet.rollouts['entry-0']):
            assert daemon.version_tracker.find_newest('fit') == version
