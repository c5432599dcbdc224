"""Odd entries of VMs, and odd messages of peers: none ends anything."""

import http
import math

import httpx
import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from swiftjunction import coordination
from swiftjunction.coordination import _messages
from swiftjunction.coordination import _statuses
from swiftjunction import decoding
from swiftjunction import errors
from swiftjunction import objectstore
from tests import conftest
from tests import odd_values

MEMBER = {
    'name': 'vm-2',
    'address': '10.0.0.2:1',
    'front': '10.0.0.2:2',
    'data_center': 'dc',
    'region': 'r',
    'run': '1',
    'processor_cores': 1.0,
}
ODD_FIELDS = {
    'nested in an unknown field': {'notes': odd_values.NESTED},
    'a nested name': {'name': odd_values.NESTED},
    'the name of another VM': {'name': 'vm-1'},
    'a port out of range': {'address': '10.0.0.2:70000'},
    'a port of other digits': {'address': '10.0.0.2:\u0668'},
    'a host name': {'address': 'host.example:80'},
    'a front out of range': {'front': '10.0.0.2:70000'},
    'negative cores': {'processor_cores': -1},
    'too many cores': {'processor_cores': 1e300},
    'a number out of range': {'processor_cores': odd_values.INFINITE},
}
NESTED_MESSAGE = b'\x91' * 6_000 + b'\x90'


def make_entry(version, **fields):
    value = msgspec.json.encode({**MEMBER, **fields})
    return objectstore.Object('members/vm-2', version, value)


@pytest.fixture
def members():
    return coordination.MemberTable(
        coordination.Member('vm-1', '10.0.0.1:1', '', 'dc', 'r', '1')
    )


@pytest.mark.parametrize('odd', ODD_FIELDS.values(), ids=ODD_FIELDS.keys())
def test_an_odd_entry_of_a_vm_is_ignored(members, odd, caplog):
    members.apply_entry(make_entry(1, **odd))
    members.apply_entry(make_entry(1, **odd))
    assert not members.list_peers()
    assert len(caplog.records) == 1
    assert members.own.address == '10.0.0.1:1'


@pytest.mark.parametrize('odd', ODD_FIELDS.values(), ids=ODD_FIELDS.keys())
def test_a_vm_whose_entry_becomes_odd_stays_known(members, odd):
    members.apply_entry(make_entry(1))
    members.apply_entry(make_entry(2, **odd))
    assert [peer.address for peer in members.list_peers()] == ['10.0.0.2:1']


@pytest.mark.anyio
async def test_operators_see_the_vms_beside_an_odd_entry(store):
    store._put('members/vm-2', make_entry(1).value)
    store._put('members/vm-3', msgspec.json.encode(odd_values.NESTED))

    def refuse(request):
        raise httpx.ConnectError('refused')

    reader = coordination.DeploymentReader(
        store, conftest.FakePeerClients(refuse)
    )
    found = await reader.list_vms()
    assert [report.member.name for report in found] == ['vm-2']


@hypothesis.given(odd_values.replace_fields(MEMBER))
def test_an_entry_of_a_vm_is_decoded_or_raises_object_broken(value):
    found = objectstore.Object('members/vm-2', 1, value)
    try:
        member = _statuses.decode_member(found)
    except errors.ObjectBroken:
        return
    msgspec.msgpack.encode(member)


@pytest.mark.parametrize(
    'fields',
    [
        {'tunnel_port': 70_000},
        {'tunnel_port': -1},
        {'fencing_token': 2**64 - 1},
        {'fencing_token': -1},
        {'lease_seconds': math.nan},
        {'ages': {'servers/': math.nan}},
        {'watch_ages': {'servers/': -1.0}},
        {'revisions': {'servers/': 2**64 - 1}},
        {'rates': [['s', -1, 1.0, 1.0]]},
        {'rates': [['s', 1, math.nan, 1.0]]},
        {'flow_rates': {'s': [{'flow': 'f', 'asked': -1, 'started': 0}]}},
        {
            'flow_rates': {
                's': [{'flow': 'f', 'asked': math.inf, 'started': 0}]
            }
        },
    ],
)
def test_an_odd_number_in_a_status_is_refused(fields):
    sound = {'name': 'vm-2', 'run': '1', 'state': 'live'}
    decoding.decode_msgpack(
        msgspec.msgpack.encode(sound), coordination.MemberStatus
    )
    with pytest.raises(errors.ContentBroken):
        decoding.decode_msgpack(
            msgspec.msgpack.encode({**sound, **fields}),
            coordination.MemberStatus,
        )


@pytest.mark.anyio
@pytest.mark.parametrize(
    'path',
    [
        _messages.STORE_PATH,
        _messages.OBJECTS_PATH,
        _messages.RESULTS_PATH,
        _messages.SAMPLE_BODY_PATH,
        _messages.END_BATCH_PATH,
        _messages.PERMIT_PATH,
    ],
)
@pytest.mark.parametrize(
    'body', [NESTED_MESSAGE, b'', b'\xc1', b'\x81\xa1x' + NESTED_MESSAGE]
)
async def test_an_odd_call_of_a_peer_gets_a_typed_failure(path, body):
    app = coordination.PeerApp(lambda: None, None, None, lambda: None).build()
    async with httpx.AsyncClient(
        transport=httpx.ASGITransport(app), base_url='http://peer'
    ) as client:
        response = await client.post(path, content=body)
    assert response.status_code == http.HTTPStatus.CONFLICT
    failure = msgspec.msgpack.decode(response.content, type=_messages.Failure)
    assert failure.kind == 'ContentBroken'


@pytest.mark.anyio
@pytest.mark.parametrize('status', [200, 409, 500])
@pytest.mark.parametrize(
    'body', [NESTED_MESSAGE, b'', b'\xc1', b'\x81\xa1x' + NESTED_MESSAGE]
)
async def test_an_odd_answer_of_a_peer_raises_a_typed_error(status, body):
    peers = conftest.FakePeerClients(
        lambda request: httpx.Response(status, content=body)
    )
    client = coordination.PeerClient(peers, '10.0.0.2:1')
    with pytest.raises(errors.PlatformError):
        await client.call(
            _messages.OBJECTS_PATH,
            _messages.ObjectsCall('servers/'),
            _messages.FeedCopy,
        )


@hypothesis.given(st.binary(max_size=100))
def test_a_status_is_decoded_or_raises_the_typed_error(data):
    try:
        decoding.decode_msgpack(data, coordination.MemberStatus)
    except errors.ContentBroken:
        pass
