"""Random and hostile external inputs, which must only raise typed errors."""

import json
import math
import random

import anyio
import httpx
import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from swiftjunction import backends
from swiftjunction.backends import _orders
from swiftjunction import configuration
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import links
from swiftjunction import membership
from swiftjunction import objectstore
from swiftjunction import requests
from swiftjunction.requests import _parsing
from swiftjunction import settings
from swiftjunction import spool
from swiftjunction import steps
from swiftjunction import weights
from tests import conftest

PREFIXES = (
    'config/',
    'keys/',
    'vm/',
    'weights/',
    'server/',
    'process/',
    'crash/',
    'other/',
)
NESTED_JSON = b'[' * 6_000 + b']' * 6_000
NESTED_FIELD = b'{"team":"team","x":' + NESTED_JSON + b'}'
NESTED_MESSAGE = b'\x91' * 6_000 + b'\x90'
NESTED_VALUES = [NESTED_JSON, NESTED_FIELD, NESTED_MESSAGE]
VALUES = st.one_of(
    st.binary(max_size=60),
    st.sampled_from(NESTED_VALUES),
    st.recursive(
        st.one_of(
            st.none(),
            st.booleans(),
            st.integers(-(2**63), 2**63 - 1),
            st.floats(),
            st.text(max_size=8),
        ),
        lambda inner: st.one_of(
            st.lists(inner, max_size=4),
            st.dictionaries(
                st.sampled_from(
                    ['model', 'versions', 'team', 'paths', 'vm', 'name']
                ),
                inner,
                max_size=4,
            ),
        ),
        max_leaves=8,
    ).flatmap(
        lambda value: st.sampled_from(
            [msgspec.msgpack.encode(value), msgspec.json.encode(value)]
        )
    ),
)
PROCESS = membership.Process('v1', 'entry', 'a:1', 'a:2', 'd', 'r')
REPORT = backends.ServerReport('s1', '127.0.0.1:1', 'fit', 'dc-1')


def build_table():
    """Return a record table with all listeners of a daemon."""
    table = membership.RecordTable()
    membership.ProcessList(table)
    configuration.Tree(table)
    configuration.KeyRing(table)
    backends.Directory(table)
    weights.VersionTracker(table)
    requests.SuspectTracker(requests.RecordCrashRegistry(table), 'v1/entry')
    membership.Announcement(table, PROCESS)
    return table


@hypothesis.given(st.binary(max_size=200))
def test_decoding_a_message_succeeds_or_raises_a_link_error(data):
    try:
        links.decode_message(data)
    except errors.LinkError as error:
        assert error.step == 'decode'


@pytest.mark.parametrize('version', [-1, 2**63, 2**64 - 1])
def test_a_version_that_cannot_be_incremented_is_refused(version):
    record = links.Record('process/v1/entry', version, b'')
    data = links.encode_message(links.Delta('peer', [record]))
    with pytest.raises(errors.LinkError):
        links.decode_message(data)


class _NullTransport(links.MessageTransport):
    """Encodes messages and discards them."""

    address = '127.0.0.1:1'

    def post(self, message, address):
        links.encode_message(message)


NUMBERS = st.integers(-(2**63), 2**64 - 1)
MESSAGES = st.one_of(
    st.builds(links.Compare, st.text(), st.binary(max_size=1030)),
    st.builds(
        links.Digest,
        st.text(),
        st.lists(NUMBERS, max_size=3),
        st.dictionaries(
            st.sampled_from(['a', 'process/v1/entry']),
            st.tuples(NUMBERS, NUMBERS),
        ),
        st.booleans(),
    ),
    st.builds(links.Ping, st.text(), st.text()),
    st.builds(links.PingRequest, st.text(), st.text()),
)


@hypothesis.given(MESSAGES)
def test_a_hostile_well_formed_message_crashes_no_daemon(message):
    decoded = links.decode_message(links.encode_message(message))
    replicator = membership.Replicator(
        _NullTransport(), build_table(), random.Random(1)
    )
    replicator.handle(decoded)


@pytest.mark.parametrize(
    'address', ['', 'x', 'host:1', '127.0.0.1:', '127.0.0.1:99999', ':1', '1']
)
def test_messages_to_invalid_addresses_are_dropped(address):
    transport = links.PeerTransport('127.0.0.1:0')
    try:
        transport.post(links.Ping('a'), address)
        assert transport.traffic.dropped_messages == 1
        assert not transport.traffic.sent_messages
    finally:
        transport.close()


@hypothesis.given(
    st.sampled_from(PREFIXES),
    st.sampled_from(['v1/entry', 'x', 'a/b/c', '', 'team']),
    st.integers(1, 2**53),
    VALUES,
)
def test_an_invalid_record_crashes_no_daemon(prefix, name, version, value):
    table = build_table()
    table.apply([links.Record(prefix + name, version, value)])
    table.put('server/s1', msgspec.msgpack.encode(REPORT))


@pytest.mark.parametrize('team', ['other', 'team'])
def test_subtrees_with_equal_versions_or_a_wrong_team_crash_no_daemon(team):
    table = build_table()
    for author in ('a', 'b'):
        subtree = configuration.Subtree(team, changed_by=author)
        value = msgspec.json.encode(subtree)
        table.apply([links.Record('config/team', 3, value)])


def test_a_subtree_under_the_key_of_another_team_is_ignored():
    table = membership.RecordTable()
    tree = configuration.Tree(table)
    subtree = configuration.Subtree('other')
    value = msgspec.json.encode(subtree)
    table.apply([links.Record('config/team', 3, value)])
    assert tree.list_versions() == {}


def test_arbitrary_caller_paths_do_not_grow_the_cache():
    table = membership.RecordTable()
    tree = configuration.Tree(table)
    subtree = configuration.Subtree('team')
    table.put('config/team', msgspec.json.encode(subtree))
    for number in range(20_000):
        tree.resolve(f'team/{number}')
    assert len(tree._cache) < 20_000


def test_a_server_that_changes_service_leaves_the_old_one():
    table = membership.RecordTable()
    directory = backends.Directory(table)
    moved = msgspec.structs.replace(REPORT, address='b:2', service='riders')
    for report in (REPORT, moved):
        table.put('server/s1', msgspec.msgpack.encode(report))
    assert not list(directory.select('fit'))
    assert [s.address for s in directory.select('riders')] == ['b:2']


def read_engine_stream(content, headers):
    """Return the chunks of an engine's response."""

    def answer(request):
        return httpx.Response(200, content=content, headers=headers)

    async def read():
        peers = conftest.FakePeerClients(answer)
        client = backends.EngineClient(peers)
        server = backends.BackendServer(REPORT)
        call = backends.EngineCall('r1', 'fit', 'p', 8)
        chunks = [c async for c in client.stream(server, call)]
        assert math.isfinite(server.load)
        return chunks

    return anyio.run(read)


@hypothesis.given(
    st.one_of(
        st.binary(max_size=200),
        VALUES.map(lambda value: b'data: ' + value + b'\n\n'),
    ),
    st.sampled_from(['text/event-stream', 'text/event-stream; charset=x', '']),
)
def test_an_invalid_engine_stream_raises_a_backend_error(content, kind):
    with pytest.raises(errors.BackendError):
        read_engine_stream(content, {'content-type': kind})


@pytest.mark.parametrize('load', ['nan', 'inf', '-inf', 'x', '', '1e999'])
def test_a_load_that_is_not_a_finite_number_is_ignored(load):
    assert backends.read_load(httpx.Headers({'x-load': load})) is None


STORE_CALLS = (
    lambda store: store.read('k'),
    lambda store: store.list('k'),
    lambda store: store.create('k', b''),
    lambda store: store.update('k', b'', 1),
    lambda store: store.delete('k', 1),
    lambda store: store.watch('k', 1, 0.1),
)


@hypothesis.given(
    st.sampled_from(STORE_CALLS),
    st.sampled_from([200, 201, 302, 404, 412, 413, 429, 500, 503]),
    st.sampled_from(['', '"x"', '"12"', '"-1"', '"\u00b2"']),
    VALUES,
)
def test_reading_a_platform_response_succeeds_or_raises_a_platform_error(
    call, status, etag, content
):
    def answer(request):
        return httpx.Response(
            status, content=content, headers={'etag': etag.encode('latin-1')}
        )

    async def run():
        client = conftest.create_mock_client(answer)
        store = objectstore.HttpObjectStore(client)
        try:
            await call(store)
        except errors.PlatformError as error:
            assert error.step
        try:
            await objectstore.VmList(client).read()
        except errors.PlatformError as error:
            assert error.step

    anyio.run(run)


STORE_READERS = {
    'claim': lambda store: requests.ClaimStore(store, 'a').claim('p', 'k'),
    'lease': lambda store: leases.LeaseKeeper(store, 'l', 'a').acquire(),
    'weights': lambda store: weights.Publisher(store).publish('fit'),
}


class _ConstantStore(conftest.MemoryStore):
    """A store in which every key exists and has the same value."""

    def __init__(self, value):
        super().__init__()
        self.value = value

    async def read(self, key):
        return objectstore.Object(key, 1, self.value)

    async def create(self, key, value):
        raise errors.RevisionConflict(key)


@pytest.mark.parametrize('name', STORE_READERS)
@hypothesis.given(value=VALUES)
def test_an_invalid_platform_object_raises_a_typed_error(name, value):
    store = _ConstantStore(value)
    with pytest.raises(errors.SwiftjunctionError):
        anyio.run(STORE_READERS[name], store)


def _agrees(decoded, stored):
    """Return whether `decoded` has all known fields of `stored`, unchanged."""
    if not isinstance(decoded, dict):
        return type(decoded) is type(stored) and decoded == stored
    return isinstance(stored, dict) and all(
        _agrees(value, stored[name])
        for name, value in decoded.items()
        if name in stored
    )


@hypothesis.given(value=VALUES)
@hypothesis.example(value=b'{"":null,"":null,"team":""}')
@hypothesis.example(value=b'{"team":"a","revision":"1"}')
def test_a_subtree_says_what_its_object_does_or_raises_a_typed_error(value):
    editor = configuration.Editor(_ConstantStore(value))
    try:
        subtree, _ = anyio.run(editor.read, 'team')
    except errors.SwiftjunctionError:
        return
    stored = json.loads(value)
    assert isinstance(stored['team'], str)
    assert subtree.paths.keys() == stored.get('paths', {}).keys()
    assert _agrees(msgspec.to_builtins(subtree), stored)


@hypothesis.given(st.binary(max_size=300))
def test_each_problem_of_a_settings_file_names_the_file(
    tmp_path_factory, content
):
    path = tmp_path_factory.mktemp('s') / 'vm.toml'
    path.write_bytes(content)
    with pytest.raises(errors.SettingsError) as caught:
        settings.read_settings(str(path))
    assert all(line.startswith(str(path)) for line in caught.value.problems)


@hypothesis.given(st.data())
def test_a_torn_spool_write_loses_only_itself(tmp_path_factory, data):
    folder = tmp_path_factory.mktemp('spool')
    store = spool.DiskStore(folder, 1_000_000)
    store.put('t.s', [spool.Payload(0, b'first')])
    first_bytes = (folder / 't.s.spool').read_bytes()
    store.put('t.s', [spool.Payload(1, b'second')])
    all_bytes = (folder / 't.s.spool').read_bytes()
    cut = data.draw(st.integers(len(first_bytes) + 1, len(all_bytes) - 1))
    (folder / 't.s.spool').write_bytes(all_bytes[:cut])
    reopened = spool.DiskStore(folder, 1_000_000)
    reopened.put('t.s', [spool.Payload(2, b'third')])
    found = {p.index: p.data for p in reopened.fetch('t.s')}
    assert found == {0: b'first', 2: b'third'}


@hypothesis.given(VALUES)
def test_reading_a_spool_reply_succeeds_or_raises_a_link_error(value):
    class _Requester:
        address = 'spool'

        async def call(self, request, timeout_seconds):
            return value

    client = spool.SpoolClient('127.0.0.1:9')
    client._requester.close()
    client._requester = _Requester()
    try:
        anyio.run(client.fetch, 't.s')
    except errors.LinkError:
        pass


@hypothesis.given(VALUES)
def test_decoding_a_step_succeeds_or_raises_a_typed_error(value):
    try:
        decoding.decode_json(value, steps.StepSpec)
    except errors.ContentBroken:
        pass


@pytest.mark.parametrize('prefix', PREFIXES)
@pytest.mark.parametrize('value', NESTED_VALUES)
def test_a_nested_record_keeps_no_other_from_being_applied(prefix, value):
    table = build_table()
    directory = backends.Directory(table)
    record = links.Record(prefix + 'v1/entry', 2, value)
    sound = links.Record('server/s1', 3, msgspec.msgpack.encode(REPORT))
    table.apply([record, sound])
    assert [server.name for server in directory.select('fit')] == ['s1']


@pytest.mark.parametrize('nested', [NESTED_MESSAGE, b'\x95' * 6_000])
def test_a_nested_message_raises_a_link_error(nested):
    with pytest.raises(errors.LinkError):
        links.decode_message(nested)


@pytest.mark.parametrize('body', [NESTED_JSON, NESTED_FIELD])
def test_a_nested_request_is_invalid(body):
    with pytest.raises(errors.RequestInvalid):
        _parsing.decode_completion(body)


def test_a_nested_status_of_an_engine_breaks_the_answer():
    with pytest.raises(errors.AnswerBroken):
        _orders.decode_status(NESTED_JSON.decode(), 'e')
