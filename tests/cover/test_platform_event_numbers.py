"""Engines that leave out an event of a text, or send one twice."""

import pytest

from swiftjunction import standins
from tests import platform_deployment

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize('fault', ['skip', 'repeat'])
async def test_a_text_has_each_event_once(tmp_path, fault):
    deployment = platform_deployment.PlatformDeployment(tmp_path)
    engines = deployment.engines.values()
    async with deployment.run():
        for engine in engines:
            engine.faults.set(fault, 3)
        await deployment.submit(
            'vm-1', 'b1', platform_deployment.make_batch(groups=4)
        )
        results = await deployment.wait_for_results('vm-1', 'b1', 8)
    assert [engine.faults.get(fault) for engine in engines] == [0, 0]
    assert {result['state'] for result in results} == {'completed'}
    for result in results:
        assert result['text'] == standins.make_platform_text(result['id'])
    resumed = [run for e in engines for run in e.runs if run[1] >= 0]
    assert len(resumed) >= 6


async def test_an_engine_that_always_leaves_an_event_out_lists_no_text(
    tmp_path,
):
    deployment = platform_deployment.PlatformDeployment(tmp_path)
    async with deployment.run():
        deployment.engines['e1'].faults.set('skip', 1000)
        await deployment.submit(
            'vm-1', 'b1', platform_deployment.make_batch(groups=4)
        )
        results = await deployment.wait_for_results('vm-1', 'b1', 8)
    for result in results:
        assert result['text'] == standins.make_platform_text(result['id'])
