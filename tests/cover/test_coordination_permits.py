import math
import random

import anyio
import httpx
import msgspec
import pytest

from swiftjunction import backends
from swiftjunction import coordination
from swiftjunction.coordination import _permits
from swiftjunction.coordination import _statuses
from swiftjunction import errors
from swiftjunction import membership
from swiftjunction import objectstore
from tests import conftest

pytestmark = pytest.mark.anyio


class Vm:
    """One VM and what it knows of the only server."""

    def __init__(self, clock, index, handle=None, vms=3):
        self.clock = clock
        self.coordinates = False
        self.members = coordination.MemberTable(
            coordination.Member(
                f'vm-{index}', '10.0.0.1:1', '', 'dc', 'r', 'run'
            ),
            clock,
        )
        for other in range(vms):
            entry = coordination.Member(
                f'vm-{other}', '10.0.0.1:1', '', 'dc', 'r', 'run'
            )
            self.members.apply_entry(
                objectstore.Object(
                    f'members/{entry.name}', 1, _statuses.encode_member(entry)
                )
            )
        self.directory = backends.Directory(membership.RecordTable(), clock)
        self.directory.update(
            backends.ServerReport('s', 'h:1', 'plain', 'dc', born_ms=1)
        )
        self.server = self.directory.get('s')
        self.permits = coordination.SharedPermits(
            self.directory.rates,
            self.members,
            conftest.FakePeerClients(handle or self.refuse),
            lambda: self.coordinates,
            random.Random(index),
            clock,
        )

    def refuse(self, request):
        raise httpx.ConnectError('refused')

    def hear(self, limit):
        self.server.record_rate_limit(limit, self.clock())

    def follow(self, name):
        self.members.record_status(
            coordination.MemberStatus(
                name, 'run', 'live', fencing_token=1, lease_seconds=1.0
            )
        )

    async def try_acquire(self, request_class='internal'):
        with anyio.fail_after(1):
            try:
                await self.permits.acquire(self.server, request_class)
            except errors.RateLimited:
                return False
        return True


def make_pair(clock, vms=3):
    """Return the coordinator and a VM that calls it."""
    coordinator = Vm(clock, 0, vms=vms)
    coordinator.coordinates = True

    def handle(request):
        call = msgspec.msgpack.decode(request.read(), type=_permits.PermitCall)
        try:
            reply = coordinator.permits.grant(call)
        except errors.PlatformUnavailable as error:
            failure = {'kind': 'PlatformUnavailable', 'message': str(error)}
            return httpx.Response(
                409, stream=httpx.ByteStream(msgspec.msgpack.encode(failure))
            )
        return httpx.Response(
            200, stream=httpx.ByteStream(msgspec.msgpack.encode(reply))
        )

    vm = Vm(clock, 1, handle, vms)
    vm.follow('vm-0')
    return coordinator, vm


async def count_sent(vms, clock, seconds):
    sent = 0
    for _ in range(int(seconds / 0.05)):
        clock.now += 0.05
        for vm in vms:
            vm.members.record_status(
                coordination.MemberStatus(
                    'vm-0', 'run', 'live', fencing_token=1, lease_seconds=1.0
                )
            )
            if not vm.server.get_blocked_seconds():
                sent += await vm.try_acquire()
    return sent


async def test_a_server_without_a_limit_needs_no_permit(clock):
    assert await Vm(clock, 1).try_acquire()


async def test_all_vms_share_the_permits_of_the_coordinator(clock):
    coordinator, vm = make_pair(clock)
    vm.hear(4.0)
    coordinator.hear(4.0)
    assert 36 <= await count_sent([coordinator, vm], clock, 10) <= 44


async def test_one_vm_can_use_the_whole_limit(clock):
    _, vm = make_pair(clock)
    vm.hear(4.0)
    assert 36 <= await count_sent([vm], clock, 10) <= 44


async def test_the_coordinator_learns_the_limit_by_the_call(clock):
    coordinator, vm = make_pair(clock)
    vm.hear(4.0)
    assert await vm.try_acquire()
    assert coordinator.server.is_rate_limited()


async def test_a_vm_learns_by_the_reply_that_the_limit_has_ended(clock):
    coordinator, vm = make_pair(clock)
    vm.hear(4.0)
    coordinator.hear(4.0)
    clock.now += 1
    coordinator.hear(math.inf)
    assert await vm.try_acquire()
    assert not vm.server.is_rate_limited()


@pytest.mark.parametrize('vms', [3, 60])
async def test_vms_without_a_coordinator_stay_below_the_limit(clock, vms):
    alone = [Vm(clock, index, vms=vms) for index in range(vms)]
    sent = 0
    for vm in alone:
        vm.hear(1.0)
    for _ in range(20 * 20):
        clock.now += 0.05
        for vm in alone:
            if not vm.server.get_blocked_seconds():
                sent += await vm.try_acquire()
    assert 4 <= sent <= 20


async def test_a_vm_that_loses_the_coordinator_again_begins_anew(clock):
    coordinator, vm = make_pair(clock)
    vm.hear(0.5)
    sent = 0
    for _ in range(5):
        coordinator.coordinates = False
        sent += await count_sent([vm], clock, 2)
        coordinator.coordinates = True
        sent += await count_sent([vm], clock, 2)
    assert sent <= 0.5 * 20 + 1


async def test_a_coordinator_without_a_valid_lease_gives_no_permits(clock):
    coordinator, vm = make_pair(clock)
    coordinator.coordinates = False
    vm.hear(3.0)
    assert await count_sent([vm], clock, 10) <= 6


async def test_a_silent_coordinator_is_not_asked_for_each_request(clock):
    calls = []

    def handle(request):
        calls.append(clock.now)
        raise httpx.ReadTimeout('silent')

    vm = Vm(clock, 1, handle)
    vm.follow('vm-0')
    vm.hear(40.0)
    await count_sent([vm], clock, 3)
    assert 1 <= len(calls) <= 4


async def test_lower_classes_do_not_reserve_permits(clock):
    coordinator, _ = make_pair(clock)
    coordinator.hear(10.0)
    while await coordinator.try_acquire('internal'):
        pass
    assert await coordinator.try_acquire('live')
    assert not await coordinator.try_acquire('samples')
