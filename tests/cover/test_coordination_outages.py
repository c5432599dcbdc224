import random

import httpx
import msgspec
import pytest

from swiftjunction import coordination
from swiftjunction.coordination import _members
from swiftjunction import errors
from swiftjunction import objectstore
from tests import conftest

pytestmark = pytest.mark.anyio


def answer(kind):
    def handle(request):
        content = msgspec.msgpack.encode({'kind': kind, 'message': 'x'})
        return httpx.Response(409, stream=httpx.ByteStream(content))

    return handle


def refuse_connection(request):
    raise httpx.ConnectError('refused')


async def is_store_away(
    handle, direct_error=errors.PlatformUnavailable, peers=2, reached=True
):
    """Ask a VM with peers that answer by `handle`."""
    members = coordination.MemberTable(
        coordination.Member('vm-0', '10.0.0.1:1', '', 'dc', 'r', 'run'),
        conftest.FakeClock(),
    )
    for index in range(1, peers + 1):
        peer = coordination.Member(
            f'vm-{index}', f'10.0.0.{index}:1', '', 'dc', 'r', 'run'
        )
        members.apply_entry(
            objectstore.Object(
                f'members/{peer.name}', 1, _members.encode_member(peer)
            )
        )
        if reached:
            members.record_status(
                coordination.MemberStatus(peer.name, 'run', 'live')
            )

    class Direct(conftest.MemoryStore):
        async def read(self, key):
            raise direct_error('direct', step='read')

    probe = coordination.OutageProbe(
        Direct(), conftest.FakePeerClients(handle), members, random.Random(1)
    )
    return await probe.is_store_away()


async def test_the_store_is_away_if_no_vm_asked_reaches_it():
    assert await is_store_away(answer('PlatformUnavailable'))


async def test_it_is_not_away_if_a_peer_reaches_it():
    assert not await is_store_away(answer('ObjectMissing'))


async def test_it_is_not_away_if_this_vm_reaches_it():
    assert not await is_store_away(
        answer('PlatformUnavailable'), errors.ObjectMissing
    )


async def test_peers_that_do_not_answer_do_not_show_an_outage():
    assert not await is_store_away(refuse_connection)
    assert not await is_store_away(refuse_connection, reached=False)


async def test_a_vm_without_peers_relies_on_its_own_call():
    assert await is_store_away(refuse_connection, peers=0)
