import pytest

from swiftjunction.daemons import _listing
from swiftjunction import membership
from swiftjunction import objectstore

VM = objectstore.Vm('server', '10.0.0.1:80', 'ledger', 'dc')


def make_poller():
    table = membership.RecordTable()
    return _listing.VmListPoller(None, table, lambda: 0), table


@pytest.mark.parametrize(('delay_reads', 'reads'), [(0, 1), (3, 4)])
def test_a_poller_of_lower_rank_waits_before_it_writes(delay_reads, reads):
    poller, table = make_poller()
    for number in range(reads):
        assert table.get('vm/server') is None
        poller.update_records([VM], delay_reads)
    assert table.get('vm/server') is not None


def test_an_outdated_list_removes_no_vm_immediately():
    poller, table = make_poller()
    poller.update_records([VM], 0)
    for _ in range(_listing.REMOVAL_DELAY_READS):
        poller.update_records([], 0)
    assert table.get('vm/server').version == 1
    poller.update_records([], 0)
    assert b'removed' in table.get('vm/server').value


def test_a_vm_that_is_listed_again_is_not_removed():
    poller, table = make_poller()
    poller.update_records([VM], 0)
    for _ in range(3):
        poller.update_records([], 0)
        poller.update_records([], 0)
        poller.update_records([VM], 0)
    assert table.get('vm/server').version == 1
