"""VMs that receive a fencing token which the store has never given."""

import socket

import anyio
import msgspec
import pytest

from swiftjunction import coordination
from swiftjunction.coordination import _polling
from swiftjunction import decoding
from tests import platform_deployment

pytestmark = pytest.mark.anyio

VMS = ('vm-1', 'vm-2')
WRONG_TOKEN = decoding.MAX_INTEGER


def send_status(deployment, receiver, sender, **fields):
    """Send a VM the status of another, as whoever reaches its port can."""
    member = deployment.programs[sender]._members.own
    status = coordination.MemberStatus(
        member.name, member.run, 'live', **fields
    )
    # Replies to later rounds than the present one are accepted.
    reply = _polling.StatusReply(decoding.MAX_INTEGER, status)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(
            msgspec.msgpack.encode(reply),
            (deployment.vm_ip, deployment.ports[receiver]['peer']),
        )


def find_coordinating(deployment):
    return [
        program._coordinator.lease.fencing_token
        for program in deployment.programs.values()
        if program._coordinator.lease is not None
    ]


def list_known(deployment):
    return [
        program._members.newest_coordinator[1]
        for program in deployment.programs.values()
    ]


async def wait_for(is_met):
    with anyio.fail_after(5):
        while not is_met():
            await anyio.sleep(0.02)


@pytest.mark.parametrize(
    'fields',
    [
        {'coordinator': 'x', 'coordinator_token': WRONG_TOKEN},
        {'fencing_token': WRONG_TOKEN, 'lease_seconds': 3600.0},
    ],
    ids=['of another VM', 'of itself'],
)
async def test_a_wrong_fencing_token_in_a_datagram_stops_no_coordinator(
    tmp_path, fields
):
    deployment = platform_deployment.PlatformDeployment(tmp_path)
    async with deployment.run(VMS):
        await wait_for(lambda: find_coordinating(deployment))
        (token,) = find_coordinating(deployment)
        await wait_for(lambda: list_known(deployment) == [token] * 2)
        for sender, receiver in (VMS, VMS[::-1]):
            send_status(deployment, receiver, sender, **fields)
        await anyio.sleep(1.0)
        assert find_coordinating(deployment) == [token]
        # A claimed lease is forgotten after 3 s.
        await wait_for(lambda: list_known(deployment) == [token] * 2)
        await deployment.submit('vm-1', 'b1', platform_deployment.make_batch())
        results = await deployment.wait_for_results('vm-1', 'b1', 4)
        assert find_coordinating(deployment) == [token]
    assert len(results) == 4


async def test_wrong_fencing_tokens_of_a_peer_cut_no_samples(tmp_path):
    deployment = platform_deployment.PlatformDeployment(tmp_path)
    async with deployment.run(VMS):
        await wait_for(lambda: find_coordinating(deployment))
        (token,) = find_coordinating(deployment)
        await deployment.submit('vm-1', 'b1', platform_deployment.make_batch())
        with anyio.move_on_after(2.0):
            while True:
                for sender, receiver in (VMS, VMS[::-1]):
                    send_status(
                        deployment,
                        receiver,
                        sender,
                        coordinator=sender,
                        coordinator_token=WRONG_TOKEN,
                    )
                await anyio.sleep(0.1)
        await deployment.wait_for_results('vm-1', 'b1', 4)
        assert find_coordinating(deployment) == [token]
