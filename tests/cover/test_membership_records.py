import hypothesis
import hypothesis.strategies as st

from swiftjunction import links
from swiftjunction import membership

RECORDS = st.lists(
    st.builds(
        links.Record,
        key=st.sampled_from(['config/a', 'config/b', 'weights/fit']),
        version=st.integers(1, 6),
        value=st.binary(max_size=2),
    )
)


def test_an_outdated_record_does_not_replace_a_newer_one():
    table = membership.RecordTable()
    table.apply([links.Record('config/a', 7, b'new')])
    assert table.apply([links.Record('config/a', 6, b'old')]) == []
    assert table.get('config/a').value == b'new'


def test_a_new_listener_gets_the_existing_records():
    table = membership.RecordTable()
    table.put('config/a', b'x')
    received = []
    table.listen('config/', received.append)
    assert [record.value for record in received] == [b'x']


@hypothesis.given(RECORDS, st.randoms(use_true_random=False))
def test_the_final_state_does_not_depend_on_the_order_of_records(records, rng):
    first = membership.RecordTable()
    first.apply(records)
    shuffled = list(records)
    rng.shuffle(shuffled)
    second = membership.RecordTable()
    second.apply(shuffled)
    key = lambda record: record.key  # noqa: E731
    assert sorted(first.select(''), key=key) == sorted(
        second.select(''), key=key
    )


@hypothesis.given(RECORDS)
def test_no_listener_sees_a_version_decrease(records):
    table = membership.RecordTable()
    received = {}

    def listen(record):
        assert record.version >= received.get(record.key, 0)
        received[record.key] = record.version

    table.listen('', listen)
    table.apply(records)


def test_only_records_that_the_other_table_lacks_are_newer():
    table = membership.RecordTable()
    other = membership.RecordTable()
    other.apply([links.Record('a', 3, b'')])
    table.apply([links.Record('a', 3, b''), links.Record('b', 1, b'')])
    missing = table.select_newer(other.list_marks(range(256)), range(256))
    assert [record.key for record in missing] == ['b']


def test_a_process_replaces_an_outdated_record_of_itself():
    table = membership.RecordTable()
    process = membership.Process('vm', 'entry', 'a', 'l', 'dc', 'r')
    membership.Announcement(table, process)
    key = 'process/vm/entry'
    table.apply([links.Record(key, 9, b'it is dead')])
    assert table.get(key).version == 10
    assert list(membership.ProcessList(table).select('entry')) == [process]


def test_only_keys_of_a_leaving_member_change_their_owner():
    members = [f'vm-{n}' for n in range(10)]
    keys = [f'server-{n}' for n in range(1000)]
    before = {k: membership.choose_owner(k, members) for k in keys}
    after = {k: membership.choose_owner(k, members[1:]) for k in keys}
    moved = [k for k in keys if before[k] != after[k]]
    assert all(before[k] == 'vm-0' for k in moved)
    assert len(moved) < 150
