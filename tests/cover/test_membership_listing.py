import pytest

from swiftjunction.daemons import _listing
from swiftjunction import membership
from swiftjunction import objectstore

VM = objectstore.Vm('server', '10.0.0.1:80', 'ledger', 'dc')


def make_poller():
    table = membership.RecordTable()
    return _listing.VmListPoller(None, table, lambda: 0), table


@pytest.mark.parametrize(('patience', 'reads'), [(0, 1), (3, 4)])
def test_the_second_reader_writes_what_the_first_did_not(patience, reads):
    poller, table = make_poller()
    for number in range(reads):
        assert table.get('vm/server') is None
        poller.update_records([VM], patience)
    assert table.get('vm/server') is not None


def test_a_list_that_goes_back_in_time_removes_nothing_at_once():
    poller, table = make_poller()
    poller.update_records([VM], 0)
    for _ in range(_listing.REMOVAL_DELAY_READS):
        poller.update_records([], 0)
    assert table.get('vm/server').version == 1
    poller.update_records([], 0)
    assert b'removed' in table.get('vm/server').value


def test_a_gap_that_closes_is_forgotten():
    poller, table = make_poller()
    poller.update_records([VM], 0)
    for _ in range(3):
        poller.update_records([], 0)
        poller.update_records([], 0)
        poller.update_records([VM], 0)
    assert table.get('vm/server').version == 1
