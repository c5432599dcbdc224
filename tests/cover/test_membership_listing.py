import pytest

from swiftjunction.daemons import _listing
from swiftjunction import membership
from swiftjunction import objectstore

VM = objectstore.Vm('server', '10.0.0.1:80', 'ledger', 'dc')


def make_listing():
    table = membership.RecordTable()
    return _listing.VmListing(None, table, lambda: 0), table


@pytest.mark.parametrize(('patience', 'reads'), [(0, 1), (3, 4)])
def test_the_second_reader_writes_what_the_first_did_not(patience, reads):
    listing, table = make_listing()
    for number in range(reads):
        assert table.get('vm/server') is None
        listing.write([VM], patience)
    assert table.get('vm/server') is not None


def test_a_list_that_goes_back_in_time_removes_nothing_at_once():
    listing, table = make_listing()
    listing.write([VM], 0)
    for _ in range(_listing.REMOVAL_READS):
        listing.write([], 0)
    assert table.get('vm/server').version == 1
    listing.write([], 0)
    assert b'removed' in table.get('vm/server').value


def test_a_gap_that_closes_is_forgotten():
    listing, table = make_listing()
    listing.write([VM], 0)
    for _ in range(3):
        listing.write([], 0)
        listing.write([], 0)
        listing.write([VM], 0)
    assert table.get('vm/server').version == 1
