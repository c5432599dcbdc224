import contextlib

import anyio
import msgspec
import pytest

from swiftjunction import backends
from swiftjunction import configuration
from swiftjunction import errors
from swiftjunction import leases
from swiftjunction import membership
from swiftjunction import standins
from swiftjunction import web

pytestmark = pytest.mark.anyio

ORDER = backends.Order('role', 'fit', argument='prefill', fencing_token=7)


@contextlib.asynccontextmanager
async def serve_engine():
    engine = standins.EngineStandin('engine-0', 'fit', web.create_client())
    listener = web.open_listener('127.0.0.1', 0)
    peers = web.PeerClients()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(standins.serve, listener, engine)
        yield engine, backends.EngineClient(peers), listener.address
        await peers.close()
        tasks.cancel_scope.cancel()


def make_lease(clock, has_predecessor=False):
    return leases.Lease('orders/1', 7, clock.now + 10, clock, has_predecessor)


@pytest.mark.parametrize(
    ('checks_fencing', 'has_predecessor', 'waited_seconds', 'sent'),
    [
        (True, True, 0, True),
        (True, False, 0, True),
        (False, False, 0, True),
        (False, True, 0, False),
        (False, True, 2.9, False),
        (False, True, 3.1, True),
        # The lease must outlast the order timeout.
        (True, True, 5.1, False),
        (False, True, 5.1, False),
    ],
)
async def test_an_order_is_sent_only_if_no_earlier_order_can_be_in_flight(
    clock, checks_fencing, has_predecessor, waited_seconds, sent
):
    async with serve_engine() as (engine, client, address):
        sender = backends.OrderSender(client, lambda model: checks_fencing)
        lease = make_lease(clock, has_predecessor)
        clock.now += waited_seconds
        if sent:
            await sender.send(lease, address, 'fit', ORDER)
        else:
            with pytest.raises(errors.LeaseLost):
                await sender.send(lease, address, 'fit', ORDER)
        assert engine.orders == ([ORDER] if sent else [])


async def test_a_lease_that_ends_while_connecting_stops_the_order(clock):
    async with serve_engine() as (engine, client, address):
        lease = make_lease(clock)
        checks = 0

        def check():
            nonlocal checks
            checks += 1
            lease.check(3)

        check()
        clock.now += 6
        with pytest.raises(errors.LeaseLost):
            await client.send_order(address, ORDER, check)
        assert checks == 2
        assert engine.orders == []


async def test_an_unanswered_order_times_out(clock, monkeypatch):
    class UnresponsiveEngines:
        async def send_order(self, address, order, check):
            check()
            await anyio.sleep_forever()

    monkeypatch.setattr(
        'swiftjunction.backends._engine.ORDER_TIMEOUT_SECONDS', 0.01
    )
    sender = backends.OrderSender(UnresponsiveEngines(), lambda model: True)
    with pytest.raises(
        errors.AnswerBroken,
        match='timed out waiting for the response to the order',
    ):
        await sender.send(make_lease(clock), 'engine-0', 'fit', ORDER)


@pytest.mark.parametrize(
    ('declared', 'checks'),
    [([], False), ([None], False), ([True], True), ([True, None], False)],
)
def test_engines_check_fencing_only_if_every_path_declares_it(
    declared, checks
):
    table = membership.RecordTable()
    tree = configuration.Tree(table)
    subtree = configuration.Subtree(
        'demo',
        paths={
            f'demo/{number}': configuration.PathSettings(
                model='fit', checks_fencing=value
            )
            for number, value in enumerate(declared)
        },
    )
    table.put('config/demo', msgspec.json.encode(subtree))
    assert tree.checks_fencing('fit') == checks
