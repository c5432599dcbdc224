"""Reports of usage by VMs of one process, in virtual time."""

import anyio
import pytest

from swiftjunction import errors
from tests.cover.test_coordination import make_status
from tests import usage_fleet

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio', usage_fleet.BACKEND_OPTIONS


async def test_reports_the_sum_over_all_vms_soon_after_the_window():
    fleet = usage_fleet.UsageFleet(['a', 'b', 'c'])
    async with fleet.run():
        await anyio.sleep(1)
        fleet.vms['a'].count('first', 2)
        fleet.vms['b'].count('first')
        fleet.vms['c'].count('second')
        await anyio.sleep(4.5)
        fleet.vms['c'].count('second')
        await fleet.sleep_until_age(1, 2)
    assert fleet.get_report(0) == {'first': 3, 'second': 1}
    assert fleet.get_report(1) == {'second': 1}
    assert fleet.get_delay(0) < 2


async def test_a_window_without_requests_is_reported_as_empty():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        await fleet.sleep_until_age(1, 2)
    assert fleet.get_report(0) == fleet.get_report(1) == {}


async def test_counts_of_a_vm_that_was_killed_after_telling_them_are_kept():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        fleet.vms['b'].count()
        await anyio.sleep(0.05)
        fleet.kill('b')
        await anyio.sleep(1)
        fleet.start('b').count()
        await fleet.sleep_until_age(0, 3)
    assert fleet.get_report(0) == {'org': 2}


async def test_a_vm_that_was_killed_before_telling_delays_no_report_for_long():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        fleet.cut = {('b', 'a')}
        fleet.vms['b'].count()
        fleet.vms['a'].count()
        fleet.kill('b')
        await fleet.sleep_until_age(0, 9)
    assert fleet.get_report(0) == {'org': 1}
    assert fleet.get_delay(0) < 7


async def test_a_repeated_message_counts_once():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        # Receipts are lost, so that each message is sent again and again.
        fleet.cut = {('a', 'b')}
        fleet.vms['b'].count()
        await anyio.sleep(1)
        fleet.vms['b'].count()
        await anyio.sleep(2)
        fleet.cut = set()
        await fleet.sleep_until_age(0, 3)
    assert fleet.get_report(0) == {'org': 2}


async def test_a_count_that_was_taken_back_is_not_reported():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        counter = fleet.vms['b'].counter
        window = counter.count('org')
        counter.settle(counter.count('org'))
        await anyio.sleep(1)
        counter.take_back('org', window)
        await fleet.sleep_until_age(0, 3)
    assert fleet.get_report(0) == {'org': 1}


async def test_a_vm_that_does_not_reach_the_coordinator_goes_through_a_peer():
    fleet = usage_fleet.UsageFleet(['a', 'b', 'c'])
    async with fleet.run():
        fleet.cut = {('a', 'b'), ('b', 'a')}
        fleet.vms['b'].count()
        await fleet.sleep_until_age(0, 3)
    assert fleet.get_report(0) == {'org': 1}
    assert fleet.get_delay(0) < 2


async def test_more_organisations_than_fit_one_message_are_all_reported():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        for number in range(150):
            fleet.vms['b'].count(f'org-{number}')
        await fleet.sleep_until_age(0, 3)
    assert fleet.get_report(0) == {f'org-{n}': 1 for n in range(150)}


async def test_a_successor_reports_what_its_predecessor_was_told():
    fleet = usage_fleet.UsageFleet(['a', 'b', 'c'])
    async with fleet.run():
        for vm in fleet.vms.values():
            vm.count()
        await anyio.sleep(2)
        fleet.kill('a')
        fleet.kill('c')
        await anyio.sleep(1)
        fleet.elect('b')
        fleet.start('a')
        fleet.start('c')
        await fleet.sleep_until_age(0, 3)
    assert fleet.get_report(0) == {'org': 3}


async def test_what_was_counted_is_kept_when_all_vms_are_killed():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        fleet.vms['a'].count()
        fleet.vms['b'].count()
        await anyio.sleep(2)
        fleet.kill('b')
        fleet.kill('a')
        await anyio.sleep(1)
        fleet.start('a')
        fleet.start('b')
        fleet.elect('b')
        await fleet.sleep_until_age(0, 3)
    assert fleet.get_report(0) == {'org': 2}


async def test_a_successor_sends_a_fixed_report_unchanged():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        fleet.vms['a'].count()
        await fleet.sleep_until_age(0, 0)
        fleet.api.faults = ['busy'] * 6
        await fleet.sleep_until_age(0, 1.5)
        assert any(
            key.startswith('usage/report') for key in fleet.store.objects
        )
        assert fleet.get_report(0) is None
        # What its own run counted is lost with the predecessor's memory.
        fleet.store.objects.pop('usage/state')
        fleet.kill('a')
        fleet.start('a')
        fleet.elect('b')
        await fleet.sleep_until_age(0, 6)
    assert fleet.get_report(0) == {'org': 1}


@pytest.mark.parametrize('fault', ['lost', 'late'])
async def test_a_report_without_an_answer_is_repeated_exactly(fault):
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        fleet.vms['a'].count()
        fleet.api.faults = [fault]
        await fleet.sleep_until_age(0, 1.2)
        fleet.kill('a')
        fleet.start('a').count()
        fleet.elect('b')
        await fleet.sleep_until_age(0, 9)
    assert fleet.get_report(0) == {'org': 1}
    assert [call[2] for call in fleet.api.calls].count(1000) >= 2
    assert fleet.api.wrong == []


async def test_a_silent_api_makes_no_report_late():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        await fleet.sleep_until_age(0, 0)
        fleet.api.faults = ['busy'] * 10
        await fleet.sleep_until_age(2, 3)
    assert max(map(fleet.get_delay, range(3))) < usage_fleet.LATE_SECONDS


async def test_the_store_away_delays_reports_and_loses_no_counts():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        await anyio.sleep(3)
        fleet.store.faults = ['refuse'] * 60
        fleet.vms['b'].count()
        await anyio.sleep(4)
        fleet.vms['b'].count()
        fleet.store.faults = []
        await fleet.sleep_until_age(1, 3)
    assert fleet.get_report(0) == fleet.get_report(1) == {'org': 1}


async def test_a_successor_of_an_overdue_window_first_hears_the_vms():
    fleet = usage_fleet.UsageFleet(['a', 'b', 'c'])
    async with fleet.run():
        await anyio.sleep(4.9)
        fleet.depose()
        fleet.vms['b'].count()
        fleet.vms['c'].count()
        fleet.kill('a')
        await fleet.sleep_until_age(0, 7)
        fleet.elect('b')
        await fleet.sleep_until_age(0, 9.5)
    assert fleet.get_report(0) == {'org': 2}
    assert fleet.get_delay(0) < usage_fleet.LATE_SECONDS


async def test_a_fixed_report_whose_creation_is_not_answered_is_the_only_one():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        fleet.vms['b'].count()
        await fleet.sleep_until_age(0, 0)
        fleet.store.faults = ['lose'] * 4
        await anyio.sleep(0.2)
        fleet.vms['b'].count()
        await fleet.sleep_until_age(1, 3)
    assert fleet.get_report(0) == {'org': 1}
    assert fleet.get_report(1) == {'org': 1}


async def test_a_refused_fencing_token_ends_the_term():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        fleet.api.faults = ['fenced']
        await fleet.sleep_until_age(0, 3)
        assert fleet.coordinator is None
    assert fleet.api.calls == []


async def test_without_fencing_a_successor_waits_before_its_first_report():
    fleet = usage_fleet.UsageFleet(['a', 'b'], usage_fleet.LEASE_SECONDS)
    async with fleet.run():
        await fleet.sleep_until_age(0, -0.5)
        fleet.elect('b')
        await fleet.sleep_until_age(0, 9)
    calls = [at for at, token, _ in fleet.api.calls if token == 2]
    assert calls[0] >= 4.5 + usage_fleet.LEASE_SECONDS


async def test_holders_do_not_take_turns_within_the_time_of_a_lease():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        await fleet.sleep_until_age(0, 2)
        own_call_at = fleet.api.calls[-1][0]
        fleet.elect('b')
        await anyio.sleep(0.1)
        fleet.elect('a')
        fleet.store.objects.pop('usage/state')
        await fleet.sleep_until_age(0, 9)
    later = [at for at, token, _ in fleet.api.calls if token == 3]
    assert later
    assert min(later) >= own_call_at + usage_fleet.LEASE_SECONDS


async def test_a_count_after_its_window_was_fixed_changes_no_report():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        fleet.vms['b'].count()
        await anyio.sleep(1)
        fleet.cut = {('b', 'a')}
        fleet.vms['b'].count()
        await fleet.sleep_until_age(0, 6.5)
        fleet.cut = set()
        await fleet.sleep_until_age(0, 9)
        late_count = fleet.vms['a'].reporter._term.ledger.late_count
    assert fleet.get_report(0) == {'org': 1}
    assert late_count == 1
    assert fleet.api.wrong == []


@pytest.mark.parametrize('step_seconds', [2.0, -2.0])
async def test_a_coordinator_whose_clock_is_wrong_still_hears_all_vms(
    step_seconds,
):
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        await anyio.sleep(1)
        fleet.steps['a'] = step_seconds
        await fleet.sleep_until_age(0, -0.1)
        fleet.vms['b'].count()
        await fleet.sleep_until_age(2, -0.1)
        fleet.steps['a'] = 0.0
        fleet.vms['b'].count()
        await fleet.sleep_until_age(2, 4)
    assert fleet.get_report(0) == fleet.get_report(2) == {'org': 1}
    assert fleet.get_report(1) == {}
    assert fleet.api.wrong == []


async def test_counts_of_a_window_that_never_comes_are_not_kept():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        fleet.steps['b'] = 1e9
        fleet.vms['b'].count()
        await anyio.sleep(2)
        ledger = fleet.vms['a'].reporter._term.ledger
        assert ledger.list_records() == []


async def test_an_invalid_state_on_the_store_stops_no_reports():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    fleet.store._put('usage/state', b'{"next_window": "x"}')
    fleet.store._put('usage/report-1', b'[]')
    async with fleet.run():
        await fleet.sleep_until_age(1, 2)
    assert fleet.get_report(0) == fleet.get_report(1) == {}


async def test_reports_are_deleted_some_minutes_later():
    fleet = usage_fleet.UsageFleet(['a'])
    async with fleet.run():
        await anyio.sleep(400)
    reports = [k for k in fleet.store.objects if k.startswith('usage/report')]
    assert len(reports) < 65
    # Two windows had ended before the first coordinator began.
    assert len(fleet.api.reports) == 81
    with pytest.raises(errors.ObjectMissing):
        await fleet.store.read('usage/report-000000000001000')


@pytest.mark.parametrize(
    ('key', 'window'),
    [
        ('usage/report-000000000000', 10**12),
        ('usage/report-1000000000000', 10**12),
    ],
)
async def test_an_odd_object_of_usage_does_not_end_the_reports(key, window):
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    value = b'{"window":%d,"next_window":%d,"counts":{}}' % (window, window)
    await fleet.store.create(key, value)
    async with fleet.run():
        fleet.vms['b'].count()
        await fleet.sleep_until_age(0, 3)
    assert fleet.get_report(0) == {'org': 1}


async def test_counts_are_told_after_a_wrong_fencing_token_was_heard():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    async with fleet.run():
        vm = fleet.vms['b']
        vm.members.record_coordinator('x', 2**63 - 1)
        vm.count()
        await anyio.sleep(1)
        assert vm.counter.list_untold()
        vm.members.record_status(
            make_status('a', fencing_token=fleet.token, lease_seconds=2.0)
        )
        await anyio.sleep(1)
        assert not vm.counter.list_untold()
        await fleet.sleep_until_age(0, 2)
    assert fleet.get_report(0) == {'org': 1}


class FailingForOne(usage_fleet.FakeApi):
    """Fails on the first `failures` reports of one window."""

    def __init__(self, window, failures, error):
        super().__init__()
        self.window = window
        self.failures = failures
        self.error = error

    async def report_usage(self, lease, report):
        if report.window == self.window and self.failures:
            self.failures -= 1
            raise self.error
        await super().report_usage(lease, report)


async def test_an_unexpected_error_of_one_window_does_not_end_the_others():
    fleet = usage_fleet.UsageFleet(['a', 'b'])
    fleet.api = FailingForOne(1000, 5, RecursionError())
    async with fleet.run():
        fleet.vms['b'].count()
        await fleet.sleep_until_age(1, 2)
        # The first window still fails.
        assert fleet.get_report(0) is None
        assert fleet.get_report(1) == {}
        await fleet.sleep_until_age(3, 2)
    assert fleet.get_report(0) == {'org': 1}
    assert fleet.get_delay(1) < 2


async def test_a_report_without_memory_ends_the_term():
    fleet = usage_fleet.UsageFleet(['a'])
    fleet.api = FailingForOne(1000, 1, MemoryError())
    with pytest.RaisesGroup(MemoryError, flatten_subgroups=True):
        async with fleet.run():
            await fleet.sleep_until_age(0, 3)
