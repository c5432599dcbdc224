"""The client of the platform's API for duties, before its stand-in."""

import contextlib
import time

import anyio
import pytest

from swiftjunction import duties
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction.leases._lease import LEASE_MARGIN_SECONDS
from swiftjunction.platform import _duty_api
from swiftjunction import standins
from swiftjunction import web

REPORT = duties.UsageReport(7, {'first': 3})
ORDER = duties.ServerOrder('engines', 'dc-1', 4)


def make_lease(token=5, seconds=10.0):
    return leases.Lease(
        'coordinator', token, time.monotonic() + seconds, time.monotonic
    )


@contextlib.asynccontextmanager
async def run_api(**options):
    standin = standins.DutyApiStandin(**options)
    listener = web.open_listener('127.0.0.1', 0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(standins.serve, listener, standin)
        peers = web.PeerClients()
        yield (
            standin,
            _duty_api.PlatformDutyApi(peers, listener.address, 'vm-1'),
        )
        await peers.close()
        tasks.cancel_scope.cancel()


async def call_and_catch(api, lease=None):
    try:
        await api.report_usage(lease or make_lease(), REPORT)
    except errors.SwiftjunctionError as error:
        return type(error)
    return None


@pytest.mark.anyio
async def test_sends_a_report_and_an_order_under_the_fencing_token():
    async with run_api() as (standin, api):
        await api.report_usage(make_lease(5), REPORT)
        assert await api.order_servers(make_lease(6), ORDER)
    assert standin.reports == {7: {'first': 3}}
    assert standin.orders == {('engines', 'dc-1', False): 4}
    assert [call.fencing_token for call in standin.calls] == [5, 6]
    assert {call.holder for call in standin.calls} == {'vm-1'}


@pytest.mark.anyio
async def test_an_outdated_fencing_token_means_that_the_lease_is_lost():
    async with run_api() as (standin, api):
        await api.report_usage(make_lease(6), REPORT)
        assert await call_and_catch(api, make_lease(5)) is errors.LeaseLost
    assert len(standin.refused) == 1


@pytest.mark.anyio
async def test_sends_nothing_under_a_lease_that_ends_too_soon():
    async with run_api() as (standin, api):
        lease = make_lease(5, LEASE_MARGIN_SECONDS + 0.5)
        assert await call_and_catch(api, lease) is errors.LeaseLost
    assert standin.calls == []


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('fault', 'error'),
    [
        ('busy', errors.PlatformUnavailable),
        ('many', errors.PlatformUnavailable),
        ('lost', errors.WriteUncertain),
        ('late', errors.WriteUncertain),
    ],
)
async def test_says_whether_a_failed_call_may_be_carried_out(fault, error):
    async with run_api() as (standin, api):
        standin.faults.set(fault, 1)
        assert await call_and_catch(api) is error


@pytest.mark.anyio
async def test_says_that_no_servers_can_be_had():
    async with run_api() as (standin, api):
        standin.faults.set('none_left', 1)
        assert not await api.order_servers(make_lease(), ORDER)
        assert standin.orders == {}


@pytest.mark.anyio
async def test_the_standin_notes_two_reports_of_a_window():
    async with run_api(checks_fencing=False) as (standin, api):
        await api.report_usage(make_lease(6), REPORT)
        await api.report_usage(make_lease(6), REPORT)
        assert standin.faulty_calls == []
        other = duties.UsageReport(7, {'first': 4})
        await api.report_usage(make_lease(5), other)
    assert len(standin.faulty_calls) == 2


@pytest.mark.anyio
async def test_a_vm_whose_name_is_not_ascii_reports():
    async with run_api() as (standin, api):
        api._holder = 'Ia\u0219i'
        await api.report_usage(make_lease(), REPORT)
    assert standin.reports == {7: {'first': 3}}
