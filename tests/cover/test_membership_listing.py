import pytest

from swiftjunction.daemons import _listing
from swiftjunction import membership
from swiftjunction import objectstore

VM = objectstore.Vm('server', '10.0.0.1:80', 'ledger', 'dc')


def make_listing():
    table = membership.RecordTable()
    return _listing.VmListing(None, table, lambda: 0), table


@pytest.mark.parametrize(('patience_reads', 'reads'), [(0, 1), (3, 4)])
def test_the_second_reader_waits_before_it_writes(patience_reads, reads):
    listing, table = make_listing()
    for number in range(reads):
        assert table.get('vm/server') is None
        listing.write([VM], patience_reads)
    assert table.get('vm/server') is not None


def test_a_stale_list_removes_no_vm_immediately():
    listing, table = make_listing()
    listing.write([VM], 0)
    for _ in range(_listing.REMOVAL_READS):
        listing.write([], 0)
    assert table.get('vm/server').version == 1
    listing.write([], 0)
    assert b'removed' in table.get('vm/server').value


def test_a_vm_that_is_listed_again_is_not_removed():
    listing, table = make_listing()
    listing.write([VM], 0)
    for _ in range(3):
        listing.write([], 0)
        listing.write([], 0)
        listing.write([VM], 0)
    assert table.get('vm/server').version == 1
