import pytest

from swiftjunction import errors
from swiftjunction import spool


def make_store(tmp_path, max_bytes=1_000_000):
    return spool.DiskStore(tmp_path / 'spool', max_bytes)


@pytest.mark.parametrize('kind', ['disk', 'memory'])
def test_a_spool_keeps_the_newest_payload_until_the_step_is_dropped(
    tmp_path, kind
):
    store = make_store(tmp_path)
    if kind == 'memory':
        store = spool.MemoryStore(100)
    store.put('t.s', [spool.Payload(1, b'a'), spool.Payload(2, b'b')])
    store.put('t.s', [spool.Payload(1, b'c')])
    assert {p.index: p.data for p in store.fetch('t.s')} == {1: b'c', 2: b'b'}
    store.drop('t.s')
    assert store.fetch('t.s') == []
    assert store.used_bytes == 0


def test_the_newest_payload_of_an_index_is_fetched(tmp_path):
    store = make_store(tmp_path)
    store.put('t.s', [spool.Payload(1, b'a'), spool.Payload(2, b'b')])
    store.put('t.s', [spool.Payload(1, b'c')])
    found = {p.index: p.data for p in make_store(tmp_path).fetch('t.s')}
    assert found == {1: b'c', 2: b'b'}


@pytest.mark.parametrize('torn_bytes', range(1, 16))
def test_frames_before_a_torn_frame_remain_readable(tmp_path, torn_bytes):
    store = make_store(tmp_path)
    store.put('t.s', [spool.Payload(1, b'a')])
    store.put('t.s', [spool.Payload(2, b'b')])
    path = tmp_path / 'spool' / 't.s.spool'
    path.write_bytes(path.read_bytes()[:-torn_bytes])
    assert [p.index for p in store.fetch('t.s')] == [1]


def test_a_full_memory_spool_refuses_payloads():
    with pytest.raises(errors.LinkError, match='full'):
        spool.MemoryStore(3).put('t.s', [spool.Payload(1, bytes(4))])


def test_a_full_disk_spool_refuses_payloads(tmp_path):
    store = make_store(tmp_path, max_bytes=1_000_000)
    with pytest.raises(errors.LinkError, match='full'):
        store.put('t.s', [spool.Payload(1, bytes(1_000_001))])


def test_a_step_identifier_with_a_path_is_refused(tmp_path):
    with pytest.raises(errors.LinkError, match='invalid step identifier'):
        make_store(tmp_path).fetch('../../etc/passwd')


@pytest.mark.parametrize('torn_bytes', range(1, 16))
def test_frames_appended_after_a_torn_one_are_found(tmp_path, torn_bytes):
    make_store(tmp_path).put('t.s', [spool.Payload(1, b'a')])
    make_store(tmp_path).put('t.s', [spool.Payload(2, b'b')])
    path = tmp_path / 'spool' / 't.s.spool'
    path.write_bytes(path.read_bytes()[:-torn_bytes])
    store = make_store(tmp_path)
    store.put('t.s', [spool.Payload(3, b'c')])
    store.put('t.s', [spool.Payload(4, b'd')])
    assert [p.index for p in store.fetch('t.s')] == [1, 3, 4]
