import anyio
import msgspec
import pytest

from swiftjunction import errors
from swiftjunction import routing
from tests.cover import test_routing

pytestmark = pytest.mark.anyio


def use_all_capacity(harness):
    for server in harness.directory.select('fit'):
        server.in_flight = server.limit.requests


def release(server):
    with server.track():
        server.in_flight -= 1


def set_software(harness, **software):
    for name, version in software.items():
        report = msgspec.structs.replace(
            harness[name].report, software=version
        )
        harness.directory.update(report)


async def acquire(
    harness,
    request_class='live',
    seconds=5.0,
    excluded=(),
    isolated=False,
    software=None,
):
    return await harness.router.acquire(
        routing.RoutingRequest(
            'demo',
            'fit',
            excluded=frozenset(excluded),
            isolated=isolated,
            request_class=request_class,
            software=software,
            deadline=anyio.current_time() + seconds,
        ),
        'two-choices',
    )


async def test_waits_until_a_server_has_capacity(clock):
    harness = test_routing.RouterHarness(clock, 'dc-1')
    use_all_capacity(harness)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(acquire, harness)
        await anyio.wait_all_tasks_blocked()
        assert harness.router.count_waiting() == {'fit': 1}
        release(harness['s0'])
    assert harness.router.count_waiting() == {'fit': 0}


async def test_live_requests_come_before_others_in_order_of_arrival(clock):
    harness = test_routing.RouterHarness(clock, 'dc-1')
    use_all_capacity(harness)
    served = []

    async def run(name, request_class):
        server = await acquire(harness, request_class)
        served.append(name)
        server.in_flight += 1

    async with anyio.create_task_group() as tasks:
        for name, request_class in [
            ('sample', 'samples'),
            ('lookup', 'internal'),
            ('first', 'live'),
            ('second', 'live'),
        ]:
            tasks.start_soon(run, name, request_class)
            await anyio.wait_all_tasks_blocked()
        for _ in range(4):
            release(harness['s0'])
            await anyio.wait_all_tasks_blocked()
    assert served == ['first', 'second', 'lookup', 'sample']


@pytest.mark.parametrize('seconds', [0.0, 0.05])
async def test_gives_up_at_the_deadline_and_leaves_the_queue(clock, seconds):
    harness = test_routing.RouterHarness(clock, 'dc-1')
    use_all_capacity(harness)
    with pytest.raises(errors.ServersBusy):
        await acquire(harness, seconds=seconds)
    assert harness.router.count_waiting() == {'fit': 0}


async def test_refuses_a_request_at_once_if_it_would_wait_too_long(clock):
    harness = test_routing.RouterHarness(clock, 'dc-1')
    for _ in range(4):
        await acquire(harness)
        await anyio.sleep(0.01)
    use_all_capacity(harness)
    async with anyio.create_task_group() as tasks:
        for _ in range(300):
            tasks.start_soon(acquire, harness, 'samples', 60)
        await anyio.wait_all_tasks_blocked()
        with pytest.raises(errors.ServersBusy) as caught:
            with anyio.fail_after(0.1):
                await acquire(harness, 'samples', seconds=0.2)
        assert 0.2 <= caught.value.retry_after_seconds <= 30
        tasks.cancel_scope.cancel()


async def test_a_burst_after_a_quiet_period_waits(clock):
    harness = test_routing.RouterHarness(clock, 'dc-1')
    for _ in range(4):
        await acquire(harness)
        await anyio.sleep(0.1)
    use_all_capacity(harness)
    async with anyio.create_task_group() as tasks:
        for _ in range(32):
            tasks.start_soon(acquire, harness)
        await anyio.wait_all_tasks_blocked()
        assert harness.router.count_waiting() == {'fit': 32}
        tasks.cancel_scope.cancel()


async def test_a_request_that_excludes_the_free_server_lets_others_try(
    clock,
):
    harness = test_routing.RouterHarness(clock, 'dc-1', 'dc-1')
    use_all_capacity(harness)
    served = []

    async def run(excluded):
        server = await acquire(harness, excluded=excluded)
        served.append(server.name)
        server.in_flight += 1

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run, ['s0'])
        await anyio.wait_all_tasks_blocked()
        tasks.start_soon(run, [])
        await anyio.wait_all_tasks_blocked()
        release(harness['s0'])
        await anyio.wait_all_tasks_blocked()
        assert served == ['s0']
        release(harness['s1'])
    assert served == ['s0', 's1']


async def test_an_isolated_request_waits_for_an_idle_server(clock):
    harness = test_routing.RouterHarness(clock, 'dc-1', 'dc-1')
    for server in harness.directory.select('fit'):
        server.in_flight = 1
    acquired = []

    async def run():
        acquired.append(await acquire(harness, isolated=True))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        await anyio.wait_all_tasks_blocked()
        assert not acquired
        # Others have capacity, and do not queue behind it.
        with anyio.fail_after(0.1):
            await acquire(harness)
        release(harness['s1'])
    assert acquired == [harness['s1']]


async def test_an_isolated_request_is_not_sent_to_the_last_server(clock):
    harness = test_routing.RouterHarness(clock, 'dc-1')
    with pytest.raises(errors.NotRun) as caught:
        await acquire(harness, isolated=True)
    assert not isinstance(caught.value, errors.ServersBusy)


async def test_a_service_with_no_server_is_refused_at_once(clock):
    harness = test_routing.RouterHarness(clock)
    with pytest.raises(errors.NotRun) as caught:
        await acquire(harness)
    assert not isinstance(caught.value, errors.ServersBusy)


async def test_the_start_rate_of_an_earlier_queue_refuses_no_request(clock):
    # Guards against a fault in which the start rate of an earlier queue
    # decayed while no request waited. In a soak run with seed 12, this refused
    # scoring calls for 7 s after an outage.
    harness = test_routing.RouterHarness(clock, 'dc-1')
    use_all_capacity(harness)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(acquire, harness)
        await anyio.sleep(0.4)
        release(harness['s0'])
    await anyio.sleep(2.5)
    use_all_capacity(harness)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(acquire, harness)
        await anyio.sleep(0.05)
        assert harness.router.count_waiting() == {'fit': 1}
        release(harness['s0'])
    assert harness.router.count_waiting() == {'fit': 0}


async def test_a_text_waits_for_its_software_and_holds_up_no_others(clock):
    harness = test_routing.RouterHarness(clock, 'dc-1', 'dc-1')
    set_software(harness, s0='v1', s1='v2')
    harness['s0'].in_flight = harness['s0'].limit.requests
    acquired = []

    async def run():
        acquired.append(await acquire(harness, software='v1'))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        await anyio.wait_all_tasks_blocked()
        assert not acquired
        with anyio.fail_after(0.1):
            assert await acquire(harness) is harness['s1']
        release(harness['s0'])
    assert acquired == [harness['s0']]


@pytest.mark.parametrize('software', ['v3', ''])
async def test_a_text_whose_software_is_gone_is_refused_at_once(
    clock, software
):
    harness = test_routing.RouterHarness(clock, 'dc-1', 'dc-1')
    set_software(harness, s0='v1', s1='')
    with anyio.fail_after(0.1):
        with pytest.raises(errors.NotRun):
            await acquire(harness, software=software)


class TestShares:
    async def ask(self, harness, organisation):
        request = routing.RoutingRequest(
            'demo',
            'fit',
            deadline=anyio.current_time() + 5,
            organisation=organisation,
        )
        with anyio.move_on_after(0):
            return await harness.router.acquire(request, 'two-choices')
        return 'waits'

    async def press(self, harness, count):
        """Let one organisation ask often while a second asks seldom."""
        refused = {'large': 0, 'small': 0}
        for number in range(count):
            organisation = 'small' if number % 20 == 0 else 'large'
            if number % 3 == 0:
                release(harness['s0'])
            try:
                server = await self.ask(harness, organisation)
                if server != 'waits':
                    server.in_flight += 1
            except errors.ServersBusy as error:
                assert 'share' in error.message
                assert error.retry_after_seconds > 0
                refused[organisation] += 1
        return refused

    async def test_who_asks_for_more_than_its_share_is_refused_at_once(
        self, clock, monkeypatch
    ):
        harness = test_routing.RouterHarness(clock, 'dc-1')
        use_all_capacity(harness)
        # The level is known after some requests, not after some time.
        monkeypatch.setattr(
            'swiftjunction.routing._shares.LEVEL_INTERVAL_SECONDS', 0.0
        )
        refused = await self.press(harness, 300)
        assert refused['large'] > 100
        assert refused['small'] == 0
        levels = harness.router.summarize_shares()
        assert list(levels['fit']['above']) == ['large']

    async def test_requests_without_organisation_have_no_shares(self, clock):
        harness = test_routing.RouterHarness(clock, 'dc-1')
        use_all_capacity(harness)
        for _ in range(100):
            assert await self.ask(harness, '') == 'waits'
        assert harness.router.list_flow_rates() == {}

    async def test_the_load_that_peers_tell_counts(self, clock):
        harness = test_routing.RouterHarness(clock, 'dc-1')
        use_all_capacity(harness)
        assert await self.ask(harness, 'small') == 'waits'
        rates = harness.router.list_flow_rates()
        assert [rate.flow for rate in rates['fit']] == ['small']
        harness.router.record_flow_rates(
            'vm-2',
            {
                'fit': [routing.FlowRate('large', 90.0, 30.0)],
                'unknown': [],
            },
        )
        assert 'large' not in harness.router.summarize_shares()['fit']['above']
