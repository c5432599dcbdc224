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


def test_keeps_the_newest_version_after_a_stale_one():
    table = membership.RecordTable()
    table.apply([links.Record('config/a', 7, b'new')])
    assert table.apply([links.Record('config/a', 6, b'old')]) == []
    assert table.get('config/a').value == b'new'


def test_tells_a_late_listener_of_what_is_there():
    table = membership.RecordTable()
    table.put('config/a', b'x')
    heard = []
    table.listen('config/', heard.append)
    assert [record.value for record in heard] == [b'x']


@hypothesis.given(RECORDS, st.randoms(use_true_random=False))
def test_any_order_of_records_ends_in_the_same_state(records, rng):
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
def test_no_listener_sees_a_version_go_back(records):
    table = membership.RecordTable()
    heard = {}

    def listen(record):
        assert record.version >= heard.get(record.key, 0)
        heard[record.key] = record.version

    table.listen('', listen)
    table.apply(records)


def test_a_digest_is_answered_with_what_its_sender_lacks():
    table = membership.RecordTable()
    other = membership.RecordTable()
    other.apply([links.Record('a', 3, b'')])
    table.apply([links.Record('a', 3, b''), links.Record('b', 1, b'')])
    missing = table.select_newer(other.list_marks(range(256)), range(256))
    assert [record.key for record in missing] == ['b']


def test_a_process_refutes_what_others_say_of_it():
    table = membership.RecordTable()
    process = membership.Process('vm', 'entry', 'a', 'l', 'dc', 'r')
    membership.Announcement(table, process)
    key = 'process/vm/entry'
    table.apply([links.Record(key, 9, b'it is dead')])
    assert table.get(key).version == 10
    assert list(membership.ProcessList(table).select('entry')) == [process]


def test_few_keys_move_when_a_member_leaves():
    members = [f'vm-{n}' for n in range(10)]
    keys = [f'server-{n}' for n in range(1000)]
    before = {k: membership.choose_owner(k, members) for k in keys}
    after = {k: membership.choose_owner(k, members[1:]) for k in keys}
    moved = [k for k in keys if before[k] != after[k]]
    assert all(before[k] == 'vm-0' for k in moved)
    assert len(moved) < 150
