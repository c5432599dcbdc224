"""The search for a VM that can take over the work of the coordinator."""

import types

import pytest

from swiftjunction import coordination
from swiftjunction import tunnels

pytestmark = pytest.mark.anyio

ENGINE = types.SimpleNamespace(
    address='10.0.1.1:1', accepts_requests=lambda: True
)


def make_tunnel(name):
    return types.SimpleNamespace(
        member=types.SimpleNamespace(name=name), address=f'{name}:2'
    )


def make_fitness(*names):
    """Return the fitness of a VM with peers that offer tunnels."""
    return coordination.EngineFitness(
        lambda: {'engines'},
        types.SimpleNamespace(select=lambda service: [ENGINE]),
        types.SimpleNamespace(),
        types.SimpleNamespace(
            list_duty_tunnels=lambda engines: [make_tunnel(n) for n in names]
        ),
    )


async def test_a_peer_whose_probe_fails_unexpectedly_is_no_successor(
    monkeypatch, caplog
):
    async def probe(tunnel_address, server_address, timeout_seconds):
        if tunnel_address == 'vm-1:2':
            raise RecursionError('nested too deeply')
        return tunnels.TunnelOutcome.CONNECTED

    monkeypatch.setattr(tunnels, 'probe', probe)
    successor = await make_fitness('vm-1', 'vm-2').find_successor()
    assert successor.name == 'vm-2'
    (record,) = [r for r in caplog.records if r.exc_info]
    assert record.peer == 'vm-1'
