"""Orders of servers by VMs on the platform, before a stand-in of its API."""

import anyio
import pytest

from swiftjunction.scaling import _supply
from tests import platform_deployment

SETTINGS = ('cloud_api.address={duty_api}', 'cloud_api.duties=autoscale')
SCALING = {
    'min': 1,
    'max': 4,
    'boot_time_s': 1.0,
    'spot_price': 0.5,
    'zone_prices': {'dc-1': 1.0, 'dc-2': 1.0},
}


@pytest.fixture
def deployment(tmp_path, monkeypatch):
    monkeypatch.setattr(_supply, 'SETTLE_SECONDS', 0.5)
    config = platform_deployment.make_config()
    config['services'] = [
        {'name': platform_deployment.ENGINES, 'scaling': SCALING},
        {'name': platform_deployment.SERVICE},
    ]
    return platform_deployment.PlatformDeployment(
        tmp_path, settings=SETTINGS, config=config
    )


async def wait_for_order(deployment, count=1):
    with anyio.fail_after(15):
        while len(deployment.duty_api.calls) < count:
            await anyio.sleep(0.05)


@pytest.mark.anyio
class TestOrders:
    async def test_a_data_center_below_the_minimum_gets_its_servers(
        self, deployment
    ):
        deployment.duty_api.faults.set('late', 1)
        async with deployment.run():
            # The first order is carried out after the one sent again.
            await wait_for_order(deployment, 2)
        key = (platform_deployment.ENGINES, 'dc-2', False)
        assert deployment.duty_api.orders == {key: 1}
        assert deployment.duty_api.faulty_calls == []

    async def test_a_silent_api_holds_up_no_batch_and_gets_the_order_later(
        self, deployment
    ):
        deployment.duty_api.faults.set('silent', 1)
        async with deployment.run():
            await anyio.sleep(2)
            await deployment.submit(
                'vm-1', 'b1', platform_deployment.make_batch()
            )
            await deployment.wait_for_results('vm-1', 'b1', 4)
            await anyio.sleep(2)
            assert deployment.duty_api.orders == {}
            deployment.duty_api.faults.set('silent', 0)
            await wait_for_order(deployment)
        assert list(deployment.duty_api.orders.values()) == [1]

    async def test_a_new_coordinator_orders_under_its_own_token(
        self, deployment
    ):
        deployment.duty_api.faults.set('none_left', 1000)
        async with deployment.run(('vm-1', 'vm-2')):
            await wait_for_order(deployment)
            # Until the refusal is recorded, the order counts as open.
            await anyio.sleep(1.5)
            holder = deployment.duty_api.calls[0].holder
            deployment.kill_vm(holder)
            count = len(deployment.duty_api.calls)
            await wait_for_order(deployment, count + 1)
        calls = deployment.duty_api.calls
        others = [call for call in calls if call.holder != holder]
        assert others
        assert others[0].fencing_token > calls[0].fencing_token
        before = [call.at for call in calls if call.holder == holder]
        assert others[0].at - before[-1] >= 3.0
        assert deployment.duty_api.faulty_calls == []
