import anyio
import pytest

from swiftjunction import client
from swiftjunction import demo
from swiftjunction import errors
from swiftjunction import standins
from swiftjunction import weights

pytestmark = pytest.mark.anyio


async def test_a_request_that_crashes_servers_is_refused_after_the_second():
    async with demo.Fleet(
        demo.FleetOptions(services=1, scorers=0)
    ).run() as fleet:
        await fleet.configure()
        await weights.Publisher(fleet.create_store_client()).publish('fit')
        await fleet.wait_ready()
        for engine in fleet.engines.values():
            engine.faults.set('poison_seconds', 0.5)
        entries = fleet.list_entry_addresses()
        completed = []

        async def send_request(number):
            async with client.CallerClient(entries) as caller:
                prompt = f'healthy {number}'
                answer = await caller.complete('demo/advice', prompt)
                assert answer.text == standins.make_completion_text(
                    prompt, 0, 16
                )
                completed.append(number)

        async with anyio.create_task_group() as tasks:
            for number in range(10):
                tasks.start_soon(send_request, number)
            async with client.CallerClient(entries[:1]) as caller:
                with pytest.raises(errors.PoisonRefused):
                    await caller.complete('demo/advice', 'POISON')
        crashes = sum(engine.crash_count for engine in fleet.engines.values())
        assert crashes == 2
        await anyio.sleep(0.5)
        async with client.CallerClient(entries[1:]) as caller:
            with pytest.raises(errors.PoisonRefused):
                await caller.complete('demo/advice', 'POISON')
        assert sum(e.crash_count for e in fleet.engines.values()) == crashes
        assert sorted(completed) == list(range(10))
